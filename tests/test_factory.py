import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mosswalk.config.operator import FactoryTuning
from mosswalk.factory.consolidate import ReplicaHost, choose_machine_to_drain
from mosswalk.factory.cordon import Occupancy, choose_machines_to_cordon
from mosswalk.factory.load import Dwell, load_ratio, machine_share
from mosswalk.factory.loop import Factory
from mosswalk.factory.pareto import (
    PoolEstimate,
    dominates,
    evaluate,
    optimize,
    pareto_front,
    pools_within_call_limit,
)
from mosswalk.factory.view import FleetView, MachineView, Release, Rent, WaitingTasks
from mosswalk.jobs.state import Job, new_record
from mosswalk.placement.capacity import FreeCapacity, ZoneRule
from tests.fakes import job_spec, machine_type
from tests.test_placement import make_job

S = 1_000_000
figures = st.builds(
    PoolEstimate,
    st.tuples(st.just("t"), st.text("abcdef", min_size=1, max_size=3), st.booleans()),
    st.floats(0.01, 10),
    st.floats(0, 1e8),
    st.floats(1, 1e8),
    st.floats(0.5, 2),
)


def test_the_papers_time_and_cost_by_a_worked_example():
    a = PoolEstimate(("t", "a", False), price=2.0, queue_us=10.0, boot_us=30.0)
    b = PoolEstimate(("t", "b", False), price=1.0, queue_us=20.0, boot_us=60.0)
    action = evaluate([a, b], walltime_us=100.0)
    # k is a: 40 against 80. c = 2 * (30 + 100) + 1 * 60; r = 20 * (1 + exp(1 - 1.5)) + 100.
    assert action.cost == pytest.approx(320.0)
    assert action.time_us == pytest.approx(20 * (1 + math.exp(-0.5)) + 100)
    # A pool alone: the gain is 1 and r = q + b + phi e.
    assert evaluate([b], 100.0).time_us == pytest.approx(180.0)


@given(st.lists(figures, min_size=1, max_size=5, unique_by=lambda f: f.pool), st.floats(0, 1e9))
def test_no_member_of_the_front_is_dominated_and_none_is_missing(pools, walltime):
    front = pareto_front(pools, walltime)
    assert front
    assert not any(dominates(a, b) for a in front for b in front)
    for pool in pools:
        alone = evaluate([pool], walltime)
        assert any(
            dominates(a, alone) or (a.time_us, a.cost) == (alone.time_us, alone.cost) for a in front
        )


@given(st.lists(figures, min_size=1, max_size=4, unique_by=lambda f: f.pool))
def test_lambda_moves_from_the_cheapest_to_the_fastest(pools):
    front = pareto_front(pools, 5e6)
    assert optimize(front, 1.0).time_us == min(a.time_us for a in front)
    assert optimize(front, 0.0).cost == min(a.cost for a in front)


def test_short_of_calls_the_set_keeps_its_best_pools():
    pools = [PoolEstimate(("t", z, False), 1.0, q, 1.0) for z, q in (("a", 9.0), ("b", 2.0))]
    kept = pools_within_call_limit(evaluate(pools, 1.0), 1)
    assert [p.pool[1] for p in kept] == ["b"]
    assert pools_within_call_limit(evaluate(pools, 1.0), 0) == ()


def test_the_dwell_rule_wants_the_ratio_to_stay():
    dwell = Dwell()
    assert not dwell.update(True, 0, 5 * S)
    assert not dwell.update(True, 4 * S, 5 * S)
    assert not dwell.update(False, 4 * S + 1, 5 * S)
    assert not dwell.update(True, 5 * S, 5 * S)
    assert dwell.update(True, 10 * S, 5 * S)
    assert load_ratio(0.0, 0) == 0.0 and load_ratio(0.1, 0) == math.inf


def test_a_task_weighs_by_its_scarcest_amount():
    job = Job(new_record(job_spec(cpus=1.0, memory_gb=8.0), 0, 8), 1)
    assert machine_share(job, machine_type()) == pytest.approx(0.5)
    assert FreeCapacity("vm", "small", "a", False, 1, 4000, 0, 16_000).max_tasks(job) == 2


def waiting(count, **changes):
    job = Job(new_record(job_spec(tasks=count, **changes), 0, 256), 1)
    return WaitingTasks(job, count, ZoneRule(False, count))


def view(now_us, machines=(), tasks=(), calls=10):
    return FleetView(now_us, {"small": machine_type()}, list(machines), list(tasks), calls)


def machine(name, zone="a", spot=False, phase="up", idle_us=0, load=0.0, since_us=0):
    return MachineView(
        name,
        ("small", zone, spot),
        phase,
        since_us,
        0,
        True,
        idle_us if phase == "up" and not load else None,
        load,
    )


def test_nothing_is_rented_before_the_dwell_and_enough_after_it():
    factory = Factory(FactoryTuning(high_dwell_s=5.0, most_rented=3))
    tasks = [waiting(8, cpus=1.0)]
    assert factory.decide(view(0, tasks=tasks)) == []
    rents = factory.decide(view(6 * S, tasks=tasks))
    # Eight tasks of one core need two machines of four.
    assert len(rents) == 2 and all(isinstance(r, Rent) for r in rents)


def test_machines_on_their_way_count_as_slots():
    factory = Factory(FactoryTuning(high_dwell_s=0.0))
    coming = [machine(f"vm-{i}", phase="booting") for i in range(2)]
    assert factory.decide(view(6 * S, coming, [waiting(8, cpus=1.0)])) == []


def test_steady_work_is_never_rented_spot_machines():
    factory = Factory(FactoryTuning(high_dwell_s=0.0))
    rents = factory.decide(view(0, tasks=[waiting(8, spot=False)]))
    assert rents and all(not pool[2] for r in rents for pool in r.pools)


def test_a_pool_at_its_cap_or_refusing_is_left_alone():
    factory = Factory(FactoryTuning(high_dwell_s=0.0, pool_cap=1, weight_of_time=0.0))
    full = [machine("vm-1", "a", False, load=1.0), machine("vm-2", "a", True, load=1.0)]
    factory.pools.on_rental_refused(("small", "b", True), 0)
    (rent,) = factory.decide(view(1 * S, full, [waiting(4)]))
    assert rent.pools == (("small", "b", False),)


def test_the_losers_of_a_replicated_rent_are_returned_in_the_papers_order():
    factory = Factory(FactoryTuning(high_dwell_s=0.0, weight_of_time=1.0))
    rent = factory.decide(view(0, tasks=[waiting(1)]))[0]
    assert len(rent.pools) > 1
    first, *others = rent.pools
    machines = [MachineView("vm-0", first, "up", 9, 0, True, None, 0.0)]
    for i, pool in enumerate(others):
        machines += [
            MachineView(f"vm-{i}-idle", pool, "up", 1, 0, True, 1, 0.0),
            MachineView(f"vm-{i}-old", pool, "booting", 2, 0, True, None, 0.0),
            MachineView(f"vm-{i}-new", pool, "booting", 3, 0, True, None, 0.0),
        ]
    gone = factory.on_copy_booted(rent.group, first, lambda: view(9 * S, machines))
    assert {g.machine for g in gone} == {f"vm-{i}-new" for i in range(len(others))}
    again = Factory(FactoryTuning(high_dwell_s=0.0, weight_of_time=1.0))
    rent = again.decide(view(0, tasks=[waiting(1)]))[0]
    # Copies that waiting tasks would take stay.
    assert (
        again.on_copy_booted(rent.group, first, lambda: view(9 * S, machines, [waiting(1)])) == []
    )
    # The group is settled: a second copy that boots loses nothing more.
    assert factory.on_copy_booted(rent.group, others[0], lambda: view(9 * S, machines)) == []


def test_idle_machines_go_longest_idle_first_and_the_last_one_stays_under_load():
    factory = Factory(FactoryTuning(low_dwell_s=0.0, idle_keep_s=1.0, most_returned=9))
    late = 100 * S
    machines = [machine("vm-1", idle_us=20 * S), machine("vm-2", idle_us=10 * S)]
    gone = factory.decide(view(late, [*machines, machine("vm-3", load=0.1)]))
    assert [g.machine for g in gone] == ["vm-2", "vm-1"]
    assert all(isinstance(g, Release) for g in gone)
    busy = machine("vm-1", load=0.0, idle_us=10 * S)
    busy.load = 0.0
    only = Factory(FactoryTuning(low_dwell_s=0.0, idle_keep_s=1.0))
    assert [g.machine for g in only.decide(view(late, [busy]))] == ["vm-1"]


def test_nothing_is_given_back_before_it_would_save_money():
    factory = Factory(FactoryTuning(low_dwell_s=0.0, idle_keep_s=1.0))
    assert factory.decide(view(30 * S, [machine("vm-1")])) == []


@given(
    st.lists(
        st.tuples(st.integers(1, 40), st.booleans(), st.sampled_from(["a", "b", None])), max_size=6
    ),
    st.lists(
        st.tuples(
            st.sampled_from("ab"),
            st.booleans(),
            st.sampled_from(["requested", "booting", "up"]),
            st.floats(0, 1),
        ),
        max_size=12,
    ),
    st.integers(0, 12),
)
def test_whatever_it_sees_it_keeps_to_calls_caps_and_kinds(tasks, rows, calls):
    tuning = FactoryTuning(high_dwell_s=0.0, low_dwell_s=0.0, idle_keep_s=0.0, pool_cap=4)
    factory = Factory(tuning)
    machines = [
        machine(f"vm-{i}", zone, spot, phase, 0, load if phase == "up" else 0.0)
        for i, (zone, spot, phase, load) in enumerate(rows)
    ]
    pending = [waiting(n, spot=spot, zone=zone) for n, spot, zone in tasks]
    decisions = factory.decide(view(200 * S, machines, pending, calls))
    rented = [pool for d in decisions if isinstance(d, Rent) for pool in d.pools]
    # One call rents any number of machines of one pool.
    assert len(set(rented)) <= calls
    for pool in set(rented):
        have = sum(1 for m in machines if m.pool == pool)
        assert have + rented.count(pool) <= 4
    if not any(t.job.spec.spot for t in pending):
        assert not any(pool[2] for pool in rented)
    busy = {m.name for m in machines if m.load > 0}
    assert not busy & {d.machine for d in decisions if isinstance(d, Release)}


def occupancy(name, used, free, price=1.0, movable=True):
    return Occupancy(name, used, free, 0, 1, price, movable)


def test_the_dearest_waste_is_emptied_if_the_others_have_room():
    machines = [
        occupancy("dear", 10, 54, 4.8),
        occupancy("cheap", 10, 54, 1.8),
        occupancy("small", 2, 2, 0.3, movable=False),
    ]
    assert choose_machines_to_cordon(machines) == {"dear"}
    assert choose_machines_to_cordon([occupancy("only", 2, 62)]) == set()
    assert (
        choose_machines_to_cordon(
            [occupancy("a", 2, 62, 9.0, movable=False), occupancy("b", 60, 4)]
        )
        == set()
    )


@given(st.lists(st.tuples(st.integers(0, 64), st.integers(0, 64), st.floats(0.1, 5)), max_size=9))
def test_what_is_left_uncordoned_always_holds_the_work(rows):
    machines = [occupancy(f"vm-{i}", u, f, p) for i, (u, f, p) in enumerate(rows)]
    gone = choose_machines_to_cordon(machines)
    moved = sum(m.used_cpus for m in machines if m.machine in gone)
    assert moved <= sum(m.free_cpus for m in machines if m.machine not in gone)


def test_steady_work_does_not_fill_a_large_machine_with_what_waits_for_spot_ones():
    """Seen in a bench day: a few replicas were given the dearest machine for its whole length."""
    types = {
        "small": machine_type(price=0.26, spot_price=0.1),
        "big": machine_type("big", cpus=64.0, memory_gb=512.0, price=4.8, spot_price=1.0),
    }
    batch = waiting(40)
    batch.waits_for_spot = True
    seen = FleetView(0, types, [], [waiting(4, spot=False, kind="daemon"), batch], 9)
    rents = Factory(FactoryTuning(high_dwell_s=0.0)).decide(seen)
    pools = {pool for rent in rents for pool in rent.pools}
    assert not any(name == "big" and not spot for name, _, spot in pools)
    assert any(name == "small" and not spot for name, _, spot in pools)


def test_a_machine_is_not_rented_for_little_that_could_wait():
    factory = Factory(FactoryTuning(high_dwell_s=0.0))
    busy = [machine("vm-1", load=1.0)]
    little, urgent = waiting(1), waiting(1)
    urgent.urgent = True
    assert factory.decide(view(0, busy, [little])) == []
    assert factory.decide(view(1, busy, [urgent])) != []
    # With no machine to wait for, it is rented all the same.
    assert factory.decide(view(2, [], [little])) != []


def host(name, replicas, cpus=4000, settled=True, zone="a", images=("img",)):
    room = FreeCapacity(
        name,
        "small",
        zone,
        False,
        1,
        cpus - 1000 * len(replicas),
        0,
        16_000,
        frozenset(images),
        fetch_s_per_gb=5.0,
    )
    return ReplicaHost(room, 1000 * len(replicas) / cpus, 0.4, replicas, settled)


def replicas(job_id, machines, **changes):
    made = make_job(job_id, live=machines, kind="daemon", spot=False, **changes)
    return [(made, attempt) for attempt in made.live_attempts()]


def test_a_machine_with_few_replicas_is_emptied_onto_fuller_ones_with_their_image():
    few, more = replicas("j-1", ["vm-1"]), replicas("j-2", ["vm-2"] * 2)
    zones = {"vm-1": "a", "vm-2": "a"}
    assert (
        choose_machine_to_drain([host("vm-1", few), host("vm-2", more)], zones).capacity.machine
        == "vm-1"
    )
    # Not while other work is there, onto a machine without the image, or where it does not fit.
    assert (
        choose_machine_to_drain([host("vm-1", few, settled=False), host("vm-2", more)], zones)
        is None
    )
    assert (
        choose_machine_to_drain([host("vm-1", few), host("vm-2", more, images=())], zones) is None
    )
    assert (
        choose_machine_to_drain([host("vm-1", few), host("vm-2", more, cpus=2000)], zones) is None
    )
    assert choose_machine_to_drain([host("vm-1", few)], zones) is None


def test_replicas_that_must_be_spread_stay_in_their_zones():
    spread = replicas("j-1", ["vm-1", "vm-2"], tasks=2, spread=True)
    here, there = [spread[0]], [spread[1]]
    zones = {"vm-1": "a", "vm-2": "b", "vm-3": "b", "vm-4": "a"}
    busy = replicas("j-2", ["vm-3"] * 2)
    hosts = [
        host("vm-1", here),
        host("vm-2", there, zone="b", settled=False),
        host("vm-3", busy, zone="b", settled=False),
    ]
    assert choose_machine_to_drain(hosts, zones) is None
    hosts.append(host("vm-4", replicas("j-3", ["vm-4"] * 2), settled=False))
    assert choose_machine_to_drain(hosts, zones).capacity.machine == "vm-1"


def test_scattered_room_holds_the_load_low_and_machines_are_rented_for_a_gang_all_the_same():
    """DESIGN's limit: L is 0.65 of 1.02, and no machine has room for a task of the gang."""
    gang = Job(new_record(job_spec(kind="group", tasks=2, cpus=3.0, spot=False), 0, 8), 1)
    machines = [
        MachineView(f"vm-{i}", ("small", "a", False), "up", 0, 0, True, None, 0.5)
        for i in range(10)
    ]
    demand = sum(m.load for m in machines) + 2 * machine_share(gang, machine_type())
    assert load_ratio(demand, len(machines)) < 0.7
    waiting = [WaitingTasks(gang, 2, ZoneRule(False, 2), urgent=True)]
    factory = Factory(FactoryTuning())
    rents = []
    for now_us in (0, S):
        view = FleetView(now_us, {"small": machine_type()}, machines, waiting, 10)
        rents += [d for d in factory.decide(view) if isinstance(d, Rent)]
    assert len(rents) == 2
