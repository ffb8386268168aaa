"""Outcomes that arrive after the term of the leader that sent them."""

import asyncio

import pytest

from mosswalk.config import Team
from mosswalk.leadership.actor import Leadership
from mosswalk.placement.received_outcomes import ReceivedOutcomes
from mosswalk.store.records import TermRecord
from mosswalk.wire.peers import MachineOffer, Offer, Outcome, Outcomes, TeamOffer
from tests.fakes import job_spec
from tests.fault_injection import JOB_KINDS, Fault, run_scenario
from tests.simulation import Simulation
from tests.test_transaction_size import owner_of_large_job
from tests.test_unsettled_records import OwnedJob, until
from tests.virtual_time import run_in_virtual_time

# Each broke a rule before outcomes were bound to their term.
SEEDS = (60, 67, 70, 79, 83, 90, 92, 93, 97)
TEAMS = tuple(Team(f"team-{i}") for i in range(6))
KEEPS_FIRST, FILLS_FIRST, KEEPS_SECOND, JOB = (f"j-{i:06d}" for i in range(4))
TASK = f"{JOB}/0"
# How long what the ended leader sent is held: longer than its lease and an election take.
HELD_S = 12.0


class HeldOutcomes:
    """Holds the outcomes of a task that one controller sends to another one."""

    def __init__(self, region, sender, receiver):
        self._region, self._sender = region, sender
        self._address = f"{receiver}:8081"
        self._name, self._serve = region.network.hosts[self._address]
        self.bodies = []
        region.network.hosts[self._address] = (self._name, self._hold)

    async def _hold(self, method, path, body, sender):
        if path == "/outcomes" and sender == self._sender and TASK.encode() in body:
            self.bodies.append(body)
            await asyncio.sleep(60.0)
        return await self._serve(method, path, body, sender)

    async def deliver(self):
        self._region.network.hosts[self._address] = (self._name, self._serve)
        for body in self.bodies:
            await self._serve("POST", "/outcomes", body, self._sender)


async def bring_up_two_machines(region):
    """Replicas keep two machines of 4 cores; the task fits the second one until one is withdrawn.

    From then on it fits the first one more closely.
    """
    for job_id, cpus, machines in (
        (KEEPS_FIRST, 0.9, 1),
        (FILLS_FIRST, 2.9, 1),
        (KEEPS_SECOND, 0.5, 2),
    ):
        job = job_spec(job_id, team=TEAMS[0].name, tasks=1, kind="daemon", cpus=cpus)
        assert await region.submit(job, 1e9)
        await region.wait_until(lambda task=f"{job_id}/0": task in region.running_on)
        assert len({worker.name for worker in region.running_on.values()}) == machines


def stop_first_attempt(manager):
    """Have the leader decide to stop the task before it is sent to its machine."""
    stopped = []

    def stop(_machine, job, attempt):
        if job.id == JOB and not stopped:
            stopped.append(attempt)
            manager._stops.stop(job, attempt, 0.0)

    manager._registry.on_attempt_added.append(stop)


@pytest.mark.parametrize("seed", [51, 52, 53])
@pytest.mark.parametrize("leader_returns", [False, True])
def test_lost_of_an_ended_leader_does_not_end_an_attempt_that_runs_by_now(seed, leader_returns):
    """Guards against review/4: ran_twice by an outcome of an ended leader that arrives late."""

    async def run():
        region = Simulation(seed, teams=TEAMS)
        region.start()
        await region.wait_until(region.leader)
        await bring_up_two_machines(region)
        leader = region.leader()
        controller = region.controllers[leader][0]
        # The first team of a controller that doesn't lead keeps its owner when the leader ends.
        team, owner = min(
            (t, o) for t, o in controller.leadership.term.owners.items() if o != leader
        )
        held = HeldOutcomes(region, leader, owner)
        stop_first_attempt(controller.manager)
        assert await region.submit(job_spec(JOB, team=team, tasks=1, cpus=3.0), 40.0)
        await region.wait_until(lambda: held.bodies, 20.0)
        assert controller.manager._outcome_sender._pending[(TASK, 1)].outcome.kind == "lost"
        region.kill_controller(leader)
        if leader_returns:
            await asyncio.sleep(0.3)
            region.start_controller(leader)
        await asyncio.sleep(HELD_S)
        # The next leader knows of no stop: it has the attempt started.
        machine = region.running_on[TASK]
        assert region.controllers[owner][0].leadership.owns(team)
        await region.withdraw(FILLS_FIRST)
        await asyncio.sleep(2.0)
        await held.deliver()
        await asyncio.sleep(5.0)
        assert region.violations == []
        assert region.running_on[TASK] is machine and (TASK, 1) in machine.tasks
        await region.wait_until(lambda: TASK in region.done_tasks, 60.0)
        assert TASK in region.done_tasks and region.violations == []

    run_in_virtual_time(run())


@pytest.mark.parametrize("seed", SEEDS)
def test_no_rule_is_violated_by_late_outcomes_as_leaders_change(seed):
    """Guards against review/4: ran_twice and quota, where many attempts are stopped early."""
    faults = [Fault(8, "late_outcomes", 70), Fault(20, "leaders_change", 40)]
    region = run_scenario(seed, faults, 28, JOB_KINDS)
    assert region.counts["early_stops"] > 5 and region.counts["late_outcomes"] > 5
    assert region.violations == []


def test_outcomes_are_taken_in_the_term_in_which_they_were_sent():
    received = ReceivedOutcomes()
    early, same, late = (Outcome(TASK, number, "vm-1", "lost") for number in (1, 2, 3))
    for term, outcome in ((4, early), (5, same), (6, late)):
        received.add(Outcomes(term, (outcome,)))
    assert received.take(5) == [same]
    # That of term 4 is gone, and that of term 6 waits until its term has been seen here.
    assert len(received) == 1 and received.take(4) == []
    assert received.take(6) == [late] and not received


def test_late_message_does_not_replace_an_outcome_of_a_later_term():
    received = ReceivedOutcomes()
    proven, late = Outcome(TASK, 1, "vm-1", "done"), Outcome(TASK, 1, "vm-1", "lost")
    received.add(Outcomes(6, (proven,)))
    received.add(Outcomes(5, (late,)))
    assert received.take(6) == [proven]


def change_term_within_round(owner):
    """Let the next round find a new term once its first requests have been answered."""

    async def change_term():
        owner._leadership.term = TermRecord(2, "b", {"red": "a"})

    owner._split_records = change_term


def test_term_that_changes_within_a_round_outdates_its_outcomes(tmp_path):
    """Guards against review/4 where an owner's round waits for the state service."""

    def runs(owned):
        return owned.registry.jobs["j-000001"].find_attempt(0, 1) is not None

    async def run():
        async with OwnedJob(tmp_path) as owned:
            change_term_within_round(owned.owner)
            lost = Outcome("j-000001/0", 1, "vm-1", "lost")
            owned.owner.receive_outcomes(Outcomes(1, (lost,)))
            await asyncio.sleep(0.1)
            assert runs(owned)
            owned.owner.receive_outcomes(Outcomes(2, (lost,)))
            await until(lambda: not runs(owned))

    asyncio.run(run())


def test_term_that_changes_within_a_round_outdates_its_offers(tmp_path):
    async def run():
        async with owner_of_large_job(tmp_path, 2) as (owner, _, _):
            change_term_within_round(owner)
            offers = (
                TeamOffer("red", (MachineOffer("vm-1", "small", "a", True, 1, 4000, 0, 16000),)),
            )
            assert (await owner.receive_offer(Offer(1, offers))).placed == 0
            assert (await owner.receive_offer(Offer(2, offers))).placed == 2

    asyncio.run(run())


def test_lead_that_is_lost_and_regained_in_a_term_is_not_used():
    """Messages of the term may be on the way that what was forgotten with the lead sent."""

    async def run():
        region = Simulation(54)
        region.start()
        await region.wait_until(region.leader)
        assert await region.submit(job_spec("j-000001", tasks=1, kind="daemon"), 1e9)
        await region.wait_until(lambda: region.running_on)
        controller = region.controllers[region.leader()][0]
        manager, leadership, leads = controller.manager, controller.leadership, Leadership.leads
        term = leadership.term_number()
        leadership.leads = lambda: False
        manager._check_leadership()
        assert not manager._leading
        leadership.leads = lambda: leads(leadership)
        assert leadership.leads() and leadership.term_number() == term
        manager._check_leadership()
        assert not manager._leading
        await region.wait_until(lambda: manager._leading, 5.0)
        assert manager._leading and leadership.term_number() > term
        await asyncio.sleep(10.0)
        assert region.running_on and not region.violations

    run_in_virtual_time(run())
