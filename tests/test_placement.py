"""Placement: team queues, zone rules, preemption, and teams' assignment to controllers."""

from hypothesis import given, settings
from hypothesis import strategies as st

from mosswalk.config import Objective, Team
from mosswalk.jobs.state import Assignment, Draft, Job, new_record
from mosswalk.leadership.terms import assign_teams, needs_new_term, next_term
from mosswalk.placement.capacity import FreeCapacity, capacity_to_claim, zone_rule
from mosswalk.placement.preemption import Victim, choose_victims, should_checkpoint
from mosswalk.placement.queues import QueueOrder, TeamQueue, Usage, is_protected, place_across_teams
from tests.fakes import RECORD_LIMITS, job_spec


def make_job(job_id="j-1", submitted_at_us=0, live=(), **changes):
    """A job whose first tasks run on the machines named by ``live``."""
    unplaced = Job(new_record(job_spec(job_id, **changes), submitted_at_us, 256), 1)
    draft = Draft(unplaced, RECORD_LIMITS)
    for index, machine in enumerate(live):
        draft.place(Assignment(index, machine, 1), 1)
    record = draft.record
    from msgspec import structs

    return Job(structs.replace(record, tasks=draft._tasks(0)), 2)


def free_capacity(name="vm-1", cpus=4000, zone="a", spot=False, **changes):
    return FreeCapacity(name, "small", zone, spot, 1, cpus, 0, 16_000, **changes)


QUEUE_ORDER = QueueOrder([Objective("finished", "soon", 60.0), Objective("finished", "soon", 90.0)])


def team_queue(team, jobs, usage=None, zones=None, now_us=0):
    return TeamQueue(team, jobs, usage or Usage(), zones or {}, {}, {}, QUEUE_ORDER, now_us)


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
def test_placements_keep_to_team_limits_zone_rules_and_free_capacity(
    jobs, machines, limit, used_cpus
):
    unplaced_jobs = [
        make_job(
            f"j-{i}", tasks=n, cpus=c, one_zone=one_zone, spread=spread and not one_zone, spot=spot
        )
        for i, (n, c, one_zone, spread, spot) in enumerate(jobs)
    ]
    capacities = [free_capacity(f"vm-{i}", c * 1000, z, s) for i, (c, z, s) in enumerate(machines)]
    before = {p.machine: p.cpus for p in capacities}
    placements = []
    queue = team_queue(Team("red", cpus_max=limit), unplaced_jobs, Usage(used_cpus * 1000))
    while (placement := queue.place_next(capacities)) is not None:
        placements.append(placement)
    assert len({(p.job.id, p.index) for p in placements}) == len(placements)
    if limit and placements:
        assert used_cpus * 1000 + sum(p.job.cpus for p in placements) <= limit * 1000
    for capacity in capacities:
        taken_cpus = sum(p.job.cpus for p in placements if p.capacity is capacity)
        assert capacity.cpus == before[capacity.machine] - taken_cpus >= 0
    for job in unplaced_jobs:
        zones = [p.capacity.zone for p in placements if p.job is job]
        if job.spec.one_zone:
            assert len(set(zones)) <= 1
        if job.spec.spread:
            assert all(zones.count(z) <= -(-job.spec.tasks // 2) for z in zones)
        if not job.spec.spot:
            assert not any(p.capacity.spot for p in placements if p.job is job)


def test_zone_rules_count_live_attempts_and_an_unknown_zone_blocks_placement():
    split = make_job(tasks=3, spread=True, live=["vm-8", "vm-9"])
    zones = {"vm-8": "a", "vm-9": "a"}
    assert (
        team_queue(Team("red"), [split], zones=zones).place_next([free_capacity(zone="a")]) is None
    )
    placement = team_queue(Team("red"), [split], zones=zones).place_next([free_capacity(zone="b")])
    assert placement is not None and placement.index == 2
    assert zone_rule(split, {"vm-8": "a"}) is None
    assert (
        team_queue(Team("red"), [split], zones={"vm-8": "a"}).place_next([free_capacity(zone="b")])
        is None
    )


def test_queue_orders_jobs_by_priority_then_deadline_then_arrival():
    jobs = [
        make_job("j-1", 5, tasks=1),
        make_job("j-2", 9, tasks=1, deadline_s=40.0),
        make_job("j-3", 1, tasks=1),
        make_job("j-4", 99, tasks=1, priority="prod"),
        make_job("j-5", 0, tasks=1, priority="idle"),
    ]
    queue = team_queue(Team("red"), jobs)
    capacities = [free_capacity(cpus=9000)]
    order = [p.job.id for p in iter(lambda: queue.place_next(capacities), None)]
    assert order == ["j-4", "j-2", "j-3", "j-1", "j-5"]


def test_cached_images_and_cheap_machines_are_preferred_and_failed_machines_avoided():
    capacities = [
        free_capacity("vm-1", core_price=0.06, fetch_s_per_gb=5.0),
        free_capacity("vm-2", core_price=0.06, fetch_s_per_gb=5.0, images=frozenset({"img"})),
        free_capacity("vm-3", core_price=0.06, fetch_s_per_gb=5.0, spot=True),
    ]
    capacities[2].core_price = 0.055
    assert (
        team_queue(Team("red"), [make_job(tasks=1)]).place_next(capacities).capacity.machine
        == "vm-2"
    )
    assert (
        team_queue(Team("red"), [make_job(tasks=1)])
        .place_next([capacities[0], capacities[2]])
        .capacity.spot
    )
    replica = make_job(tasks=1, kind="daemon", priority="prod", spot=False)
    assert team_queue(Team("red"), [replica]).place_next(capacities).capacity.machine == "vm-2"
    capacities[1].core_price = 0.08
    capacities[0].images, capacities[0].replica_cpus = (
        capacities[1].images,
        capacities[1].replica_cpus,
    )
    assert team_queue(Team("red"), [replica]).place_next(capacities).capacity.machine == "vm-1"
    avoiding = TeamQueue(
        Team("red"), [make_job(tasks=1)], Usage(), {}, {"j-1": {"vm-1"}}, {}, QUEUE_ORDER, 0
    )
    assert avoiding.place_next([free_capacity("vm-1")]) is None


def test_teams_are_served_by_guarantee_and_then_by_share():
    teams = [Team("red", cpus=2.0), Team("blue"), Team("green")]
    queues = [
        team_queue(t, [make_job(f"j-{i}", tasks=50, team=t.name)]) for i, t in enumerate(teams)
    ]
    shares = {"red": 1.0, "blue": 1.0, "green": 3.0}
    order = [
        p.job.spec.team for p in place_across_teams(queues, [free_capacity(cpus=14_000)], shares)
    ]
    assert order[:2] == ["red", "red"]
    assert (order.count("red"), order.count("blue"), order.count("green")) == (3, 3, 8)


def running_attempts(*jobs):
    return {"vm-1": [Victim(j, a) for j in jobs for a in j.live_attempts()]}


def test_preemption_stops_the_least_urgent_tasks_and_no_more_than_needed():
    idle = make_job("j-7", tasks=2, priority="idle", live=["vm-1", "vm-1"])
    normal = make_job("j-8", tasks=2, live=["vm-1", "vm-1"])
    urgent = make_job("j-9", tasks=1, priority="prod")
    teams = {"red": Team("red")}
    victims = choose_victims(
        [(urgent, 1)], [free_capacity(cpus=0)], running_attempts(normal, idle), teams, {}, {}, 9
    )
    assert [v.job.id for v in victims] == ["j-7"]
    # Tasks of the same priority are not stopped, and none are if free capacity suffices.
    same = make_job("j-6", tasks=1)
    assert (
        choose_victims(
            [(same, 1)], [free_capacity(cpus=0)], running_attempts(normal), teams, {}, {}, 9
        )
        == []
    )
    assert (
        choose_victims([(urgent, 1)], [free_capacity()], running_attempts(idle), teams, {}, {}, 9)
        == []
    )


def test_preemption_for_a_guarantee_takes_only_another_teams_surplus():
    teams = {"red": Team("red", cpus=4.0), "blue": Team("blue", cpus=1.0)}
    surplus = make_job("j-7", tasks=3, team="blue", live=["vm-1"] * 3)
    wanted = make_job("j-9", tasks=4)
    usage = {"blue": Usage(3000)}
    victims = choose_victims(
        [(wanted, 4)], [free_capacity(cpus=0)], running_attempts(surplus), teams, usage, {}, 9
    )
    assert len(victims) == 2


@given(
    st.sets(st.sampled_from([f"team{i}" for i in range(9)])),
    st.sets(st.sampled_from("abcd")),
    st.dictionaries(st.sampled_from([f"team{i}" for i in range(9)]), st.sampled_from("abcd")),
)
def test_team_assignment_is_balanced_over_live_controllers_and_stable(teams, alive, before):
    owners = assign_teams(teams, "a", alive, before)
    assert set(owners) == teams
    assert set(owners.values()) <= {*alive, "a"}
    loads = [list(owners.values()).count(n) for n in {*alive, "a"}]
    if len(teams) > 1:
        assert max(loads) - min(loads) <= 1
    elif teams:
        assert set(owners.values()) == {"a"}
    assert assign_teams(teams, "a", alive, owners) == owners


def test_restarted_controller_requires_a_new_and_higher_term():
    first = next_term(None, "a", {"a": "1", "b": "1"}, ["x", "y"])
    assert first.term == 1 and not needs_new_term(first, {"a": "1", "b": "1"})
    assert needs_new_term(first, {"a": "1", "b": "2"}) and needs_new_term(first, {"a": "1"})
    assert next_term(first, "b", {"b": "2"}, ["x"], higher_than=7).term == 8


def test_controller_out_of_the_leaders_reach_owns_no_teams_until_it_is_reachable():
    """Guards against teams that stay with an owner out of the leader's reach.

    Connections between controllers were refused, and nothing was placed for that owner's teams.
    """
    runs = {"a": "1", "b": "1", "c": "1"}
    first = next_term(None, "a", runs, ["x", "y", "z"])
    assert "b" in first.owners.values() and not needs_new_term(first, runs)
    assert needs_new_term(first, runs, {"b"})
    second = next_term(first, "a", runs, ["x", "y", "z"], unreachable={"b"})
    assert "b" not in second.owners.values() and second.runs == runs
    assert not needs_new_term(second, runs, {"b"}) and needs_new_term(second, runs)


def test_claimed_capacity_is_not_given_back_to_the_preempted_job():
    stopped, urgent = make_job("j-7", tasks=1, priority="idle"), make_job("j-9", tasks=1)
    claimed = free_capacity(claimed_by=frozenset({"j-9"}))
    assert team_queue(Team("red"), [stopped]).place_next([claimed]) is None
    assert team_queue(Team("red"), [urgent]).place_next([claimed]).job is urgent


def test_replicas_are_placed_together_so_that_other_machines_can_be_released():
    replica = make_job(tasks=1, kind="daemon", spot=False)
    alone, shared = free_capacity("vm-1", cpus=1000), free_capacity("vm-2", replica_cpus=1000)
    assert team_queue(Team("red"), [replica]).place_next([alone, shared]).capacity is shared


def test_job_that_cannot_meet_its_objectives_yields_to_one_that_can():
    early = make_job("j-1", 0, tasks=1, job_class="soon", estimate_s=30.0)
    late = make_job("j-2", 50_000_000, tasks=1, job_class="soon", estimate_s=30.0)

    def first(now_s):
        queue = team_queue(Team("red"), [early, late], now_us=now_s * 1_000_000)
        return queue.place_next([free_capacity()]).job.id

    # j-1 can meet 60 s, then only 90 s, which is still before the 60 s of j-2; then neither.
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
def test_large_low_priority_job_starts_within_four_minutes_despite_many_small_urgent_jobs(
    machines, priority, small_run_s, limit, team_relation, share
):
    """Fragmented capacity, a full team limit or a low share would each starve the large job."""
    large_job = make_job("j-0", tasks=9, cpus=4.0, memory_gb=16.0, priority=priority)
    teams = [Team("red", cpus_max=limit or 0.0), Team("blue", cpus=99.0)]
    small_jobs_teams = ["red" if team_relation == "same team" else "blue"]
    free_cpus = {f"vm-{i}": 4000 for i in range(machines)}
    running, claimed = [], {}
    for second in range(0, 300, 5):
        for end_s, machine, cpus, team in [r for r in running if r[0] <= second]:
            free_cpus[machine] += cpus
            running.remove((end_s, machine, cpus, team))
        capacities = [
            free_capacity(name, cpus=c, claimed_by=frozenset({"j-0"} if name in claimed else ()))
            for name, c in free_cpus.items()
        ]
        small_jobs = [
            make_job(
                f"j-{1000 + second * 40 + i}",
                second * S,
                tasks=1,
                team=small_jobs_teams[0],
                memory_gb=1.0,
                priority="high",
                deadline_s=60.0,
            )
            for i in range(30)
        ]
        queues = [
            team_queue(
                team,
                [j for j in [large_job, *small_jobs] if j.spec.team == team.name],
                Usage(sum(r[2] for r in running if r[3] == team.name)),
                now_us=second * S,
            )
            for team in teams
        ]
        for n, placement in enumerate(
            place_across_teams(queues, capacities, {"red": share, "blue": 1.0})
        ):
            if placement.job is large_job:
                assert second <= 240
                return
            # Tasks end at different times, so that no machine becomes free as a whole.
            end_s = second + small_run_s + 5 * (n % 7)
            free_cpus[placement.capacity.machine] -= placement.job.cpus
            running.append(
                (end_s, placement.capacity.machine, placement.job.cpus, placement.job.spec.team)
            )
        for queue in queues:
            if large_job in queue.unschedulable and queue.is_overdue(large_job) and not claimed:
                # "small" is the type of all machines here.
                claimed = {capacity_to_claim(large_job, capacities, {"small"}).machine}
    raise AssertionError("the large job never started")


def test_job_that_waited_long_to_start_is_preempted_for_prod_jobs_only():
    old = make_job("j-7", tasks=1, priority="idle", live=["vm-1"])
    teams = {"red": Team("red")}
    running = {"vm-1": [Victim(old, a, protected=True) for a in old.live_attempts()]}
    for priority, stopped in (("prod", 1), ("high", 0)):
        urgent = make_job("j-9", tasks=1, priority=priority)
        victims = choose_victims([(urgent, 1)], [free_capacity(cpus=0)], running, teams, {}, {}, 9)
        assert len(victims) == stopped
    assert is_protected(old, 200 * S) and not is_protected(old, 100 * S)


def test_queue_order_considers_the_teams_limit_and_wait_objectives():
    queue_order = QueueOrder([Objective("wait", "soon", 90.0)], [Team("red", cpus_max=10.0)])
    large = make_job("j-1", 0, tasks=50, estimate_s=60.0, deadline_s=210.0)
    small = make_job("j-2", 5 * S, tasks=9, estimate_s=60.0, deadline_s=210.0)
    wait_job = make_job("j-3", 9 * S, tasks=9, job_class="soon", estimate_s=60.0)
    order = sorted([large, small, wait_job], key=lambda j: queue_order.sort_key(j, 10 * S))
    assert [j.id for j in order] == ["j-3", "j-2", "j-1"]
    # Without a limit the large job can meet its deadline, and it arrived first.
    assert QueueOrder([]).sort_key(large, 10 * S) < QueueOrder([]).sort_key(small, 10 * S)


def test_preempted_task_saves_a_checkpoint_only_if_that_is_quicker_than_redoing_the_work():
    assert should_checkpoint(job_spec(checkpoint_interval_s=20.0, checkpoint_duration_s=3.0))
    assert not should_checkpoint(job_spec(checkpoint_interval_s=15.0, checkpoint_duration_s=6.0))
    assert not should_checkpoint(job_spec(checkpoint_interval_s=0.0, checkpoint_duration_s=0.0))
