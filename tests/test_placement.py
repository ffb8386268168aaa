from hypothesis import given, settings
from hypothesis import strategies as st

from mosswalk.config import Objective, Team
from mosswalk.jobs.state import Assignment, Draft, Job, new_record
from mosswalk.leadership.terms import assign_teams, needs_new_term, next_term
from mosswalk.placement.capacity import FreeCapacity, capacity_to_claim, zone_rule
from mosswalk.placement.preemption import Victim, choose_victims, should_checkpoint
from mosswalk.placement.queues import QueueOrder, TeamQueue, Usage, is_protected, place_across_teams
from tests.fakes import RECORD_LIMITS, job_spec


def make_job(job_id="j-1", at_us=0, live=(), **changes):
    made = Job(new_record(job_spec(job_id, **changes), at_us, 256), 1)
    draft = Draft(made, RECORD_LIMITS)
    for index, machine in enumerate(live):
        draft.place(Assignment(index, machine, 1), 1)
    record = draft.record
    from msgspec import structs

    return Job(structs.replace(record, tasks=draft._tasks(0)), 2)


def room(name="vm-1", cpus=4000, zone="a", spot=False, **changes):
    return FreeCapacity(name, "small", zone, spot, 1, cpus, 0, 16_000, **changes)


URGENCY = QueueOrder([Objective("finished", "soon", 60.0), Objective("finished", "soon", 90.0)])


def queue(team, jobs, usage=None, zones=None, now_us=0):
    return TeamQueue(team, jobs, usage or Usage(), zones or {}, {}, {}, URGENCY, now_us)


@given(
    st.lists(
        st.tuples(
            st.integers(1, 9),
            st.sampled_from([0.5, 1.0, 3.0]),
            st.booleans(),
            st.booleans(),
            st.booleans(),
        ),
        max_size=6,
    ),
    st.lists(st.tuples(st.integers(0, 16), st.sampled_from("abc"), st.booleans()), max_size=8),
    st.sampled_from([0.0, 2.0, 7.5]),
    st.integers(0, 4),
)
def test_no_placing_breaks_a_limit_a_zone_rule_or_a_machine(jobs, rooms, limit, used):
    made = [
        make_job(f"j-{i}", tasks=n, cpus=c, one_zone=one, spread=spread and not one, spot=spot)
        for i, (n, c, one, spread, spot) in enumerate(jobs)
    ]
    places = [room(f"vm-{i}", c * 1000, z, s) for i, (c, z, s) in enumerate(rooms)]
    before = {p.machine: p.cpus for p in places}
    got = []
    turn = queue(Team("red", cpus_max=limit), made, Usage(used * 1000))
    while (placing := turn.place_next(places)) is not None:
        got.append(placing)
    assert len({(p.job.id, p.index) for p in got}) == len(got)
    if limit and got:
        assert used * 1000 + sum(p.job.cpus for p in got) <= limit * 1000
    for place in places:
        took = sum(p.job.cpus for p in got if p.capacity is place)
        assert place.cpus == before[place.machine] - took >= 0
    for one in made:
        zones = [p.capacity.zone for p in got if p.job is one]
        if one.spec.one_zone:
            assert len(set(zones)) <= 1
        if one.spec.spread:
            assert all(zones.count(z) <= -(-one.spec.tasks // 2) for z in zones)
        if not one.spec.spot:
            assert not any(p.capacity.spot for p in got if p.job is one)


def test_live_attempts_count_for_zone_rules_and_an_unknown_zone_blocks():
    split = make_job(tasks=3, spread=True, live=["vm-8", "vm-9"])
    zones = {"vm-8": "a", "vm-9": "a"}
    assert queue(Team("red"), [split], zones=zones).place_next([room(zone="a")]) is None
    placing = queue(Team("red"), [split], zones=zones).place_next([room(zone="b")])
    assert placing is not None and placing.index == 2
    assert zone_rule(split, {"vm-8": "a"}) is None
    assert queue(Team("red"), [split], zones={"vm-8": "a"}).place_next([room(zone="b")]) is None


def test_the_queue_serves_priority_then_deadline_then_arrival():
    jobs = [
        make_job("j-1", 5, tasks=1),
        make_job("j-2", 9, tasks=1, deadline_s=40.0),
        make_job("j-3", 1, tasks=1),
        make_job("j-4", 99, tasks=1, priority="prod"),
        make_job("j-5", 0, tasks=1, priority="idle"),
    ]
    turn = queue(Team("red"), jobs)
    places = [room(cpus=9000)]
    order = [p.job.id for p in iter(lambda: turn.place_next(places), None)]
    assert order == ["j-4", "j-2", "j-3", "j-1", "j-5"]


def test_an_image_at_hand_and_cheap_room_are_preferred_and_a_bad_machine_avoided():
    places = [
        room("vm-1", core_price=0.06, fetch_s_per_gb=5.0),
        room("vm-2", core_price=0.06, fetch_s_per_gb=5.0, images=frozenset({"img"})),
        room("vm-3", core_price=0.06, fetch_s_per_gb=5.0, spot=True),
    ]
    places[2].core_price = 0.055
    assert queue(Team("red"), [make_job(tasks=1)]).place_next(places).capacity.machine == "vm-2"
    assert queue(Team("red"), [make_job(tasks=1)]).place_next([places[0], places[2]]).capacity.spot
    replica = make_job(tasks=1, kind="daemon", priority="prod", spot=False)
    assert queue(Team("red"), [replica]).place_next(places).capacity.machine == "vm-2"
    places[1].core_price = 0.08
    places[0].images, places[0].replica_cpus = places[1].images, places[1].replica_cpus
    assert queue(Team("red"), [replica]).place_next(places).capacity.machine == "vm-1"
    avoiding = TeamQueue(
        Team("red"), [make_job(tasks=1)], Usage(), {}, {"j-1": {"vm-1"}}, {}, URGENCY, 0
    )
    assert avoiding.place_next([room("vm-1")]) is None


def test_teams_are_served_by_guarantee_and_then_by_shares():
    teams = [Team("red", cpus=2.0), Team("blue"), Team("green")]
    queues = [queue(t, [make_job(f"j-{i}", tasks=50, team=t.name)]) for i, t in enumerate(teams)]
    shares = {"red": 1.0, "blue": 1.0, "green": 3.0}
    order = [p.job.spec.team for p in place_across_teams(queues, [room(cpus=14_000)], shares)]
    assert order[:2] == ["red", "red"]
    assert (order.count("red"), order.count("blue"), order.count("green")) == (3, 3, 8)


def victims(*jobs):
    return {"vm-1": [Victim(j, a) for j in jobs for a in j.live_attempts()]}


def test_preemption_takes_the_least_urgent_and_no_more_than_needed():
    idle = make_job("j-7", tasks=2, priority="idle", live=["vm-1", "vm-1"])
    normal = make_job("j-8", tasks=2, live=["vm-1", "vm-1"])
    urgent = make_job("j-9", tasks=1, priority="prod")
    teams = {"red": Team("red")}
    got = choose_victims([(urgent, 1)], [room(cpus=0)], victims(normal, idle), teams, {}, {}, 9)
    assert [v.job.id for v in got] == ["j-7"]
    # Work of the same priority stays, and so does everything when there is room anyway.
    same = make_job("j-6", tasks=1)
    assert choose_victims([(same, 1)], [room(cpus=0)], victims(normal), teams, {}, {}, 9) == []
    assert choose_victims([(urgent, 1)], [room()], victims(idle), teams, {}, {}, 9) == []


def test_a_guarantee_is_made_good_from_another_teams_surplus_only():
    teams = {"red": Team("red", cpus=4.0), "blue": Team("blue", cpus=1.0)}
    surplus = make_job("j-7", tasks=3, team="blue", live=["vm-1"] * 3)
    wanted = make_job("j-9", tasks=4)
    usage = {"blue": Usage(3000)}
    got = choose_victims([(wanted, 4)], [room(cpus=0)], victims(surplus), teams, usage, {}, 9)
    assert len(got) == 2


@given(
    st.sets(st.sampled_from([f"team{i}" for i in range(9)])),
    st.sets(st.sampled_from("abcd")),
    st.dictionaries(st.sampled_from([f"team{i}" for i in range(9)]), st.sampled_from("abcd")),
)
def test_teams_are_spread_over_live_controllers_and_move_little(teams, alive, before):
    owners = assign_teams(teams, "a", alive, before)
    assert set(owners) == teams
    assert set(owners.values()) <= {*alive, "a"}
    loads = [list(owners.values()).count(n) for n in {*alive, "a"}]
    if len(teams) > 1:
        assert max(loads) - min(loads) <= 1
    elif teams:
        assert set(owners.values()) == {"a"}
    assert assign_teams(teams, "a", alive, owners) == owners


def test_a_restarted_controller_means_a_new_and_higher_term():
    first = next_term(None, "a", {"a": "1", "b": "1"}, ["x", "y"])
    assert first.term == 1 and not needs_new_term(first, {"a": "1", "b": "1"})
    assert needs_new_term(first, {"a": "1", "b": "2"}) and needs_new_term(first, {"a": "1"})
    assert next_term(first, "b", {"b": "2"}, ["x"], higher_than=7).term == 8


def test_an_owner_that_the_leader_can_not_reach_gets_no_teams_until_it_can():
    """Seen on a grown day: connections between controllers refused, and its teams stood still."""
    runs = {"a": "1", "b": "1", "c": "1"}
    first = next_term(None, "a", runs, ["x", "y", "z"])
    assert "b" in first.owners.values() and not needs_new_term(first, runs)
    assert needs_new_term(first, runs, {"b"})
    second = next_term(first, "a", runs, ["x", "y", "z"], unreachable={"b"})
    assert "b" not in second.owners.values() and second.runs == runs
    assert not needs_new_term(second, runs, {"b"}) and needs_new_term(second, runs)


def test_room_freed_for_a_job_is_not_given_back_to_the_one_that_was_stopped():
    stopped, urgent = make_job("j-7", tasks=1, priority="idle"), make_job("j-9", tasks=1)
    claimed = room(claimed_by=frozenset({"j-9"}))
    assert queue(Team("red"), [stopped]).place_next([claimed]) is None
    assert queue(Team("red"), [urgent]).place_next([claimed]).job is urgent


def test_replicas_gather_so_that_other_machines_can_be_given_back():
    replica = make_job(tasks=1, kind="daemon", spot=False)
    alone, shared = room("vm-1", cpus=1000), room("vm-2", replica_cpus=1000)
    assert queue(Team("red"), [replica]).place_next([alone, shared]).capacity is shared


def test_a_job_that_can_not_be_in_time_gives_way_to_one_that_can():
    early = make_job("j-1", 0, tasks=1, job_class="soon", estimate_s=30.0)
    late = make_job("j-2", 50_000_000, tasks=1, job_class="soon", estimate_s=30.0)

    def first(now_s):
        turn = queue(Team("red"), [early, late], now_us=now_s * 1_000_000)
        return turn.place_next([room()]).job.id

    # In time for 60 s, then only for 90 s, which is still before the other's 60; then not at all.
    assert [first(s) for s in (20, 50, 70)] == ["j-1", "j-1", "j-2"]


S = 1_000_000


@settings(max_examples=25)
@given(
    st.integers(2, 6),
    st.sampled_from(["idle", "standard"]),
    st.integers(5, 40),
    st.sampled_from([None, 6.0]),
    st.sampled_from(["same team", "other team"]),
    st.sampled_from([1.0, 0.01]),
)
def test_the_largest_idle_job_begins_within_four_minutes_under_a_flood_of_small_urgent_work(
    machines, priority, flood_run_s, limit, whose, share
):
    """Scattered room, a full team limit and a low share: each alone would starve it for ever."""
    big = make_job("j-0", tasks=9, cpus=4.0, memory_gb=16.0, priority=priority)
    teams = [Team("red", cpus_max=limit or 0.0), Team("blue", cpus=99.0)]
    names = ["red" if whose == "same team" else "blue"]
    free = {f"vm-{i}": 4000 for i in range(machines)}
    running, kept = [], {}
    for second in range(0, 300, 5):
        for end_s, machine, cpus, team in [r for r in running if r[0] <= second]:
            free[machine] += cpus
            running.remove((end_s, machine, cpus, team))
        places = [
            room(name, cpus=c, claimed_by=frozenset({"j-0"} if name in kept else ()))
            for name, c in free.items()
        ]
        flood = [
            make_job(
                f"j-{1000 + second * 40 + i}",
                second * S,
                tasks=1,
                team=names[0],
                memory_gb=1.0,
                priority="high",
                deadline_s=60.0,
            )
            for i in range(30)
        ]
        queues = [
            queue(
                team,
                [j for j in [big, *flood] if j.spec.team == team.name],
                Usage(sum(r[2] for r in running if r[3] == team.name)),
                now_us=second * S,
            )
            for team in teams
        ]
        for n, placing in enumerate(
            place_across_teams(queues, places, {"red": share, "blue": 1.0})
        ):
            if placing.job is big:
                assert second <= 240
                return
            # Tasks end one after another, so that whole machines never come free together.
            end_s = second + flood_run_s + 5 * (n % 7)
            free[placing.capacity.machine] -= placing.job.cpus
            running.append(
                (end_s, placing.capacity.machine, placing.job.cpus, placing.job.spec.team)
            )
        for turn in queues:
            if big in turn.unschedulable and turn.is_overdue(big) and not kept:
                kept = {capacity_to_claim(big, places, {"small"}).machine}
    raise AssertionError("never begun")


def test_what_waited_long_to_begin_is_stopped_for_prod_work_only():
    old = make_job("j-7", tasks=1, priority="idle", live=["vm-1"])
    teams = {"red": Team("red")}
    running = {"vm-1": [Victim(old, a, protected=True) for a in old.live_attempts()]}
    for priority, stopped in (("prod", 1), ("high", 0)):
        urgent = make_job("j-9", tasks=1, priority=priority)
        got = choose_victims([(urgent, 1)], [room(cpus=0)], running, teams, {}, {}, 9)
        assert len(got) == stopped
    assert is_protected(old, 200 * S) and not is_protected(old, 100 * S)


def test_a_job_too_large_for_its_teams_limit_to_be_in_time_gives_way_and_waits_count():
    urgency = QueueOrder([Objective("wait", "soon", 90.0)], [Team("red", cpus_max=10.0)])
    giant = make_job("j-1", 0, tasks=50, estimate_s=60.0, deadline_s=210.0)
    small = make_job("j-2", 5 * S, tasks=9, estimate_s=60.0, deadline_s=210.0)
    waits = make_job("j-3", 9 * S, tasks=9, job_class="soon", estimate_s=60.0)
    order = sorted([giant, small, waits], key=lambda j: urgency.sort_key(j, 10 * S))
    assert [j.id for j in order] == ["j-3", "j-2", "j-1"]
    # Without a limit it can be in time, and it came first.
    assert QueueOrder([]).sort_key(giant, 10 * S) < QueueOrder([]).sort_key(small, 10 * S)


def test_a_stopped_task_saves_only_if_that_is_quicker_than_doing_the_work_again():
    assert should_checkpoint(job_spec(checkpoint_interval_s=20.0, checkpoint_duration_s=3.0))
    assert not should_checkpoint(job_spec(checkpoint_interval_s=15.0, checkpoint_duration_s=6.0))
    assert not should_checkpoint(job_spec(checkpoint_interval_s=0.0, checkpoint_duration_s=0.0))
