"""The cloud caller: decisions from before a pause are not carried out after it.

A leader that was paused may have been deposed, so authority is checked right before each call.
"""

import asyncio
import random

from mosswalk.actors import SystemClock
from mosswalk.cloud.actor import CloudCaller, ReleaseResult, RentResult


class RecordingCloud:
    def __init__(self):
        self.calls = []

    async def rent(self, request):
        self.calls.append("rent")
        return tuple(f"vm-{i}" for i in range(request.count))

    async def release(self, names):
        self.calls.append(names)


def test_leader_without_authority_neither_rents_nor_releases():
    async def run():
        cloud, results, may_act = RecordingCloud(), [], True
        caller = CloudCaller(
            cloud,
            SystemClock(),
            random.Random(1),
            1000.0,
            results.append,
            lambda: may_act,
            lambda: True,
        )
        release_loop = asyncio.create_task(caller.run_releases())
        may_act = False
        caller.release(["vm-1"])
        await caller.rent((1, 2), ("small", "a", False))
        await asyncio.sleep(0.05)
        # The result goes out although nothing was rented: else the factory would count the
        # machines as requested for ever.
        assert cloud.calls == [] and results == [RentResult((1, 2), ("small", "a", False), ())]
        # The leader's authority returns: the pending release is made.
        may_act = True
        await asyncio.sleep(0.6)
        assert cloud.calls == [("vm-1",)] and results[1:] == [ReleaseResult(("vm-1",))]
        may_act = False
        caller.release(["vm-2"])
        await asyncio.sleep(0.05)
        caller.clear_pending_releases()
        may_act = True
        await asyncio.sleep(0.6)
        assert cloud.calls == [("vm-1",)]
        release_loop.cancel()

    asyncio.run(run())


def test_machines_with_withdrawn_tasks_are_released_without_state_service():
    async def run():
        cloud, results, may_release_without_state_service = RecordingCloud(), [], True
        caller = CloudCaller(
            cloud,
            SystemClock(),
            random.Random(1),
            1000.0,
            results.append,
            lambda: False,
            lambda: may_release_without_state_service,
        )
        release_loop = asyncio.create_task(caller.run_releases())
        caller.release(["vm-1", "vm-2"])
        caller.release(["vm-1"], requires_state_service=False)
        await asyncio.sleep(0.6)
        assert cloud.calls == [("vm-1",)] and results == [ReleaseResult(("vm-1",))]
        # No longer once the leader's time to act without the state service is over.
        may_release_without_state_service = False
        caller.release(["vm-3"], requires_state_service=False)
        await asyncio.sleep(0.6)
        assert cloud.calls == [("vm-1",)]
        release_loop.cancel()

    asyncio.run(run())
