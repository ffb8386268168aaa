"""A leader of many machines stays within its sockets, and users find some left."""

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from mosswalk.config.sockets import socket_budget
from mosswalk.fleet.command_sender import CommandSender
from mosswalk.fleet.inventory import Inventory, Machine
from tests.fakes import FakeClock


@given(st.integers(200, 5000))
def test_what_is_shared_out_leaves_sockets_for_users(most):
    budget = socket_budget(most)
    assert budget.calls + budget.commands + budget.workers <= most * 0.96


def test_connections_for_orders_are_closed_as_the_fleet_grows():
    """Two sockets a machine, as it was, are 1800 at 900 machines, of 1551 that there are."""

    async def run():
        inventory = Inventory()
        budget = socket_budget(1551)
        pushes = CommandSender(
            inventory,
            None,
            None,
            None,
            lambda *_: False,
            lambda _: None,
            lambda _: None,
            FakeClock(),
            budget.workers,
        )
        for count in (300, 600, 900, 1100):
            for i in range(count):
                name = f"vm-{i:06d}"
                inventory.machines.setdefault(name, Machine(name, "small", "a", False, "up", 0, 0))
            kept = sum(pushes._may_keep_alive(name) for name in inventory.machines)
            assert kept == min(count, max(0, budget.workers - count))
        for name in list(inventory.machines)[200:]:
            inventory.remove(name, 0)
            pushes.remove_machine(name)
        assert all(pushes._may_keep_alive(name) for name in inventory.machines)

    asyncio.run(run())
