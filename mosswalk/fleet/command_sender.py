"""Orders sent straight to workers, so that a start need not wait for the next report."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

import aiohttp
import msgspec
from msgspec import Struct, field

from mosswalk.actors import Clock
from mosswalk.fleet.inventory import Inventory, Machine
from mosswalk.fleet.messages import DirectCommandsDone
from mosswalk.jobs.registry import AttemptKey, JobRegistry
from mosswalk.jobs.state import parse_task_name
from mosswalk.leadership.actor import Leadership
from mosswalk.wire.workers import Command, DirectCommands, Report

log = logging.getLogger(__name__)

# Orders for one machine that are decided together go in one message.
_PUSH_GAP_S = 0.01
_PUSH_TIMEOUT_S = 3.0
_CLOSE = {"Connection": "close"}


class _Push(Struct):
    orders: list[Command] = field(default_factory=list)
    in_flight: bool = False
    # Send even if there is nothing to order: the answer tells that the machine hears us.
    probe: bool = False
    scheduled: bool = False


class CommandSender:
    """One message a machine under way at most; the leader's actor is told each one's end."""

    def __init__(
        self,
        inventory: Inventory,
        registry: JobRegistry,
        leadership: Leadership,
        session: aiohttp.ClientSession,
        is_to_stop: Callable[[Machine, AttemptKey], bool],
        tell: Callable[[DirectCommandsDone], None],
        spawn: Callable[[Awaitable[None]], None],
        clock: Clock,
        sockets: int,
    ) -> None:
        self._inventory = inventory
        self._registry = registry
        self._leadership = leadership
        self._session = session
        self._is_to_stop = is_to_stop
        self._tell = tell
        self._spawn = spawn
        self._clock = clock
        self._pushes: dict[str, _Push] = {}
        # Sockets for all that has to do with workers, and the machines to which a connection may
        # stay open: each machine holds one to us for its reports anyway.
        self._sockets = sockets
        self._kept: set[str] = set()
        self._short = False

    def reset(self) -> None:
        """Forget all: another controller leads."""
        self._pushes.clear()
        self._kept.clear()

    def remove_machine(self, name: str) -> None:
        """A machine is gone."""
        self._pushes.pop(name, None)
        self._kept.discard(name)

    def request_ended(self, name: str) -> None:
        """The message under way has ended, answered or not."""
        push = self._pushes.get(name)
        if push is not None:
            push.in_flight = False
            self._schedule(name, push)

    def send(self, machine: Machine, order: Command) -> None:
        """Send an order soon."""
        push = self._pushes.setdefault(machine.name, _Push())
        push.orders.append(order)
        self._schedule(machine.name, push)

    def probe(self, machine: Machine) -> None:
        """Have a machine see our epoch and say how it is, without waiting for its report."""
        push = self._pushes.setdefault(machine.name, _Push())
        push.probe = True
        machine.probed_at_us = self._clock.now_us()
        self._schedule(machine.name, push)

    def _may_keep(self, name: str) -> bool:
        """Whether the connection to a machine may stay open for the next order.

        Else a fleet of many machines would take two sockets each, and users be refused.
        """
        spare = self._sockets - len(self._inventory.machines)
        if spare < 0 and not self._short:
            self._short = True
            log.info(
                "%d machines, but sockets for the reports of %d: raise max_connections",
                len(self._inventory.machines),
                self._sockets,
            )
        if name not in self._kept and len(self._kept) < spare:
            self._kept.add(name)
        elif name in self._kept and len(self._kept) > spare:
            self._kept.discard(name)
        return name in self._kept

    def _schedule(self, name: str, push: _Push) -> None:
        if (push.orders or push.probe) and not push.in_flight and not push.scheduled:
            push.scheduled = True
            asyncio.get_running_loop().call_later(_PUSH_GAP_S, self._send, name)

    def _send(self, name: str) -> None:
        push = self._pushes.get(name)
        machine = self._inventory.machines.get(name)
        if push is None:
            return
        push.scheduled = False
        orders, push.orders = push.orders, []
        probe, push.probe = push.probe, False
        if (
            machine is None
            or machine.address is None
            or machine.releasing
            or not self._leadership.may_renew_worker_leases()
        ):
            return
        may_start = self._leadership.may_start_tasks()
        attempts = self._registry.attempts_on(name)
        kept: list[Command] = []
        for order in orders:
            split = parse_task_name(order.task)
            key = (*split, order.attempt) if split is not None else None
            # The job may have been withdrawn, or the attempt settled, since it was queued.
            if order.op == "run" and (
                not may_start
                # One copy under way is enough: an answer to the second would not tell that the
                # first can't be carried out any more.
                or (order.task, order.attempt) in machine.unanswered_starts
                or key not in attempts
                or attempts[key].session != machine.session
                or self._is_to_stop(machine, key)
            ):
                continue
            kept.append(order)
        if not kept and not probe:
            return
        push.in_flight = True
        starts = tuple((o.task, o.attempt) for o in kept if o.op == "run")
        epoch = self._leadership.term_number()
        for start in starts:
            # Until it is answered it may be carried out at any later time.
            machine.unanswered_starts[start] = (epoch, machine.session)
        message = DirectCommands(epoch, machine.session, tuple(kept))
        self._spawn(self._post(machine.name, machine.address, message, starts))

    async def _post(
        self, name: str, address: str, message: DirectCommands, starts: tuple[tuple[str, int], ...]
    ) -> None:
        report: Report | None = None
        sent = True
        try:
            async with self._session.post(
                f"http://{address}/orders",
                data=msgspec.json.encode(message),
                headers=None if self._may_keep(name) else _CLOSE,
                timeout=aiohttp.ClientTimeout(total=_PUSH_TIMEOUT_S, sock_connect=1.5),
            ) as response:
                body = await response.read()
                if response.status in (200, 409):
                    report = msgspec.json.decode(body, type=Report)
                else:
                    log.error("worker %s: /orders answered %d", name, response.status)
        except aiohttp.ClientConnectorError:
            # A connection attempt that was given up does not complete afterwards.
            sent = False
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            log.debug("orders to %s: no answer: %r", name, error)
        except msgspec.DecodeError as error:
            log.error("worker %s: malformed answer to /orders dropped: %s", name, error)
        self._tell(DirectCommandsDone(name, message.term, message.session, starts, sent, report))
