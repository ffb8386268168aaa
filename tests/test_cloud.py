"""The cloud's caller: what was decided before a pause is not carried out after it."""

import asyncio
import random

from mosswalk.actors import SystemClock
from mosswalk.cloud.actor import CloudCaller, ReleaseResult, RentResult


class Cloud:
    def __init__(self):
        self.calls = []

    async def rent(self, request):
        self.calls.append("rent")
        return tuple(f"vm-{i}" for i in range(request.count))

    async def release(self, names):
        self.calls.append(names)


def test_a_leader_that_stood_still_neither_rents_nor_releases_what_it_had_decided():
    async def run():
        cloud, told, entitled = Cloud(), [], True
        caller = CloudCaller(
            cloud,
            SystemClock(),
            random.Random(1),
            1000.0,
            told.append,
            lambda: entitled,
            lambda: True,
        )
        work = asyncio.create_task(caller.run_releases())
        entitled = False
        caller.release(["vm-1"])
        await caller.rent((1, 2), ("small", "a", False))
        await asyncio.sleep(0.05)
        # The factory must not count them as requested for ever.
        assert cloud.calls == [] and told == [RentResult((1, 2), ("small", "a", False), ())]
        # It leads on after all: what is to be released still is.
        entitled = True
        await asyncio.sleep(0.6)
        assert cloud.calls == [("vm-1",)] and told[1:] == [ReleaseResult(("vm-1",))]
        entitled = False
        caller.release(["vm-2"])
        await asyncio.sleep(0.05)
        caller.clear_pending_releases()
        entitled = True
        await asyncio.sleep(0.6)
        assert cloud.calls == [("vm-1",)]
        work.cancel()

    asyncio.run(run())


def test_machines_that_hold_withdrawn_tasks_are_released_without_the_state_service():
    async def run():
        cloud, told, may_end = Cloud(), [], True
        caller = CloudCaller(
            cloud,
            SystemClock(),
            random.Random(1),
            1000.0,
            told.append,
            lambda: False,
            lambda: may_end,
        )
        work = asyncio.create_task(caller.run_releases())
        caller.release(["vm-1", "vm-2"])
        caller.release(["vm-1"], requires_state_service=False)
        await asyncio.sleep(0.6)
        assert cloud.calls == [("vm-1",)] and told == [ReleaseResult(("vm-1",))]
        # But not by one whose time to lead without it is over.
        may_end = False
        caller.release(["vm-3"], requires_state_service=False)
        await asyncio.sleep(0.6)
        assert cloud.calls == [("vm-1",)]
        work.cancel()

    asyncio.run(run())
