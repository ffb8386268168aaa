"""The leader of many machines stays within its socket budget and leaves sockets for users."""

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from mosswalk.config.sockets import socket_budget
from mosswalk.fleet.command_log import CommandLog
from mosswalk.fleet.command_sender import CommandSender
from mosswalk.fleet.inventory import Inventory, Machine
from tests.fakes import FakeClock


@given(st.integers(200, 5000))
def test_socket_budget_leaves_sockets_for_users(max_connections):
    budget = socket_budget(max_connections)
    assert budget.calls + budget.commands + budget.workers <= max_connections * 0.96


def test_fewer_command_connections_stay_open_as_the_fleet_grows():
    """With two sockets per machine, as once used, 900 machines took 1800 of the 1551 sockets."""

    async def run():
        inventory = Inventory()
        budget = socket_budget(1551)
        sender = CommandSender(
            inventory,
            None,
            None,
            None,
            None,
            lambda *_: False,
            lambda _: None,
            lambda _: None,
            FakeClock(),
            budget.workers,
            CommandLog(),
        )
        for count in (300, 600, 900, 1100):
            for i in range(count):
                name = f"vm-{i:06d}"
                inventory.machines.setdefault(name, Machine(name, "small", "a", False, "up", 0, 0))
            open_count = sum(sender._may_keep_alive(name) for name in inventory.machines)
            assert open_count == min(count, max(0, budget.workers - count))
        for name in list(inventory.machines)[200:]:
            inventory.remove(name, 0)
            sender.remove_machine(name)
        assert all(sender._may_keep_alive(name) for name in inventory.machines)

    asyncio.run(run())
