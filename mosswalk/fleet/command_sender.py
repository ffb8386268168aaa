"""Sends commands to workers directly, so that they take effect before the next report."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

import aiohttp
import msgspec
from msgspec import Struct, field

from mosswalk.actors import Clock
from mosswalk.fleet.command_log import CommandLog
from mosswalk.fleet.inventory import Inventory, Machine, SentStart
from mosswalk.fleet.messages import DirectCommandsDone
from mosswalk.fleet.worker_tokens import WorkerTokens
from mosswalk.jobs.registry import AttemptKey, JobRegistry
from mosswalk.jobs.state import parse_task_name
from mosswalk.leadership.actor import Leadership
from mosswalk.wire.workers import MAX_COMMANDS_PER_MESSAGE, Command, DirectCommands, Report

log = logging.getLogger(__name__)

# Commands for a machine that are issued within this time are sent in one request.
_BATCH_DELAY_S = 0.01
_REQUEST_TIMEOUT_S = 3.0
_CONNECT_TIMEOUT_S = 1.5
_CLOSE_CONNECTION = {"Connection": "close"}


class _PendingRequest(Struct):
    commands: list[Command] = field(default_factory=list)
    in_flight: bool = False
    # Whether to send a request even without commands, as an answer shows that the worker receives
    # them.
    probe: bool = False
    scheduled: bool = False


class CommandSender:
    """Sends at most one request at a time to each machine, and reports the end of each."""

    def __init__(
        self,
        inventory: Inventory,
        registry: JobRegistry,
        leadership: Leadership,
        tokens: WorkerTokens,
        http_session: aiohttp.ClientSession,
        is_to_stop: Callable[[Machine, AttemptKey], bool],
        on_done: Callable[[DirectCommandsDone], None],
        spawn: Callable[[Awaitable[None]], None],
        clock: Clock,
        worker_sockets: int,
        command_log: CommandLog,
    ) -> None:
        self._inventory = inventory
        self._registry = registry
        self._leadership = leadership
        self._tokens = tokens
        self._http_session = http_session
        self._is_to_stop = is_to_stop
        self._on_done = on_done
        self._spawn = spawn
        self._clock = clock
        self._command_log = command_log
        self._pending: dict[str, _PendingRequest] = {}
        # Number of sockets for all connections with workers, and the machines to which a connection
        # may stay open. Each machine also takes one of these sockets for its reports.
        self._worker_sockets = worker_sockets
        self._keep_alive: set[str] = set()
        self._shortage_logged = False

    def reset(self) -> None:
        """Discard all state; called when this controller stops leading."""
        self._pending.clear()
        self._keep_alive.clear()

    def remove_machine(self, name: str) -> None:
        """Discard the state of a machine whose release the cloud has confirmed."""
        self._pending.pop(name, None)
        self._keep_alive.discard(name)

    def request_ended(self, name: str) -> None:
        """Note that the request in flight has ended, and send what is pending."""
        pending = self._pending.get(name)
        if pending is not None:
            pending.in_flight = False
            self._schedule(name, pending)

    def send(self, machine: Machine, command: Command) -> None:
        """Queue a command, to be sent together with others for the machine."""
        pending = self._pending.setdefault(machine.name, _PendingRequest())
        pending.commands.append(command)
        self._schedule(machine.name, pending)

    def resend_refused_starts(self, machine: Machine, done: DirectCommandsDone) -> None:
        """Send the starts again that the worker refused because its token was raised meanwhile.

        The answer lists every attempt whose start was executed.
        """
        if done.report is None or done.token >= self._tokens.current(machine):
            return
        listed = {(task.task, task.attempt) for task in done.report.tasks}
        for task, attempt in done.starts:
            if (task, attempt) not in listed:
                self.send(machine, Command("run", task, attempt))

    def probe(self, machine: Machine) -> None:
        """Request a machine's state and show it the term, without waiting for its next report."""
        pending = self._pending.setdefault(machine.name, _PendingRequest())
        pending.probe = True
        machine.probed_at_us = self._clock.now_us()
        self._schedule(machine.name, pending)

    def _may_keep_alive(self, name: str) -> bool:
        """Whether the connection to a machine may stay open for further commands.

        If all stayed open, a large fleet would take two sockets per machine, and connections of
        users would be refused.
        """
        spare = self._worker_sockets - len(self._inventory.machines)
        if spare < 0 and not self._shortage_logged:
            self._shortage_logged = True
            log.info(
                "%d machines, but sockets for the reports of only %d: raise max_connections",
                len(self._inventory.machines),
                self._worker_sockets,
            )
        if name not in self._keep_alive and len(self._keep_alive) < spare:
            self._keep_alive.add(name)
        elif name in self._keep_alive and len(self._keep_alive) > spare:
            self._keep_alive.discard(name)
        return name in self._keep_alive

    def _schedule(self, name: str, pending: _PendingRequest) -> None:
        if (pending.commands or pending.probe) and not pending.in_flight and not pending.scheduled:
            pending.scheduled = True
            asyncio.get_running_loop().call_later(_BATCH_DELAY_S, self._send_pending, name)

    def _send_pending(self, name: str) -> None:
        pending = self._pending.get(name)
        machine = self._inventory.machines.get(name)
        if pending is None:
            return
        pending.scheduled = False
        commands = pending.commands[:MAX_COMMANDS_PER_MESSAGE]
        pending.commands = pending.commands[MAX_COMMANDS_PER_MESSAGE:]
        probe, pending.probe = pending.probe, False
        if (
            machine is None
            or machine.address is None
            or machine.releasing
            or not self._leadership.may_renew_worker_leases()
        ):
            pending.commands.clear()
            return
        may_start = self._leadership.may_start_tasks()
        attempts = self._registry.attempts_on(name)
        to_send: list[Command] = []
        for command in commands:
            parsed_name = parse_task_name(command.task)
            key = (*parsed_name, command.attempt) if parsed_name is not None else None
            # Since the command was queued, the job may have been withdrawn or the attempt ended.
            if command.op == "run" and (
                not may_start
                # Not sent twice: an answer to the second copy would not prove that the first can't
                # be executed any more.
                or (command.task, command.attempt) in machine.unanswered_starts
                or key not in attempts
                or attempts[key].session != machine.session
                or self._is_to_stop(machine, key)
            ):
                continue
            to_send.append(command)
        if not to_send and not probe:
            self._schedule(name, pending)
            return
        pending.in_flight = True
        starts = tuple((c.task, c.attempt) for c in to_send if c.op == "run")
        token = self._tokens.current(machine)
        if starts:
            machine.record_starts(token, starts)
        for start in starts:
            # Until it is answered, the start may be executed at any later time.
            machine.unanswered_starts[start] = SentStart(token, machine.session)
        message = DirectCommands(token, machine.session, tuple(to_send))
        self._command_log.direct_sent(name, message)
        self._spawn(self._post(machine.name, machine.address, message, starts))

    async def _post(
        self, name: str, address: str, message: DirectCommands, starts: tuple[tuple[str, int], ...]
    ) -> None:
        report: Report | None = None
        sent = True
        try:
            async with self._http_session.post(
                f"http://{address}/orders",
                data=msgspec.json.encode(message),
                headers=None if self._may_keep_alive(name) else _CLOSE_CONNECTION,
                timeout=aiohttp.ClientTimeout(
                    total=_REQUEST_TIMEOUT_S, sock_connect=_CONNECT_TIMEOUT_S
                ),
            ) as response:
                body = await response.read()
                if response.status in (200, 409):
                    report = msgspec.json.decode(body, type=Report)
                self._command_log.direct_answered(name, message, response.status, report)
        except aiohttp.ClientConnectorError as error:
            # A failed connection attempt does not complete later, so nothing was sent.
            sent = False
            self._command_log.direct_failed(name, message, error, sent=False)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self._command_log.direct_failed(name, message, error, sent=True)
        except msgspec.DecodeError as error:
            self._command_log.direct_failed(name, message, error, sent=True)
            log.error("worker %s: discarding malformed answer to /orders: %s", name, error)
        self._on_done(
            DirectCommandsDone(name, message.token, message.session, starts, sent, report)
        )
