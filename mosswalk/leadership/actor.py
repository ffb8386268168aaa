"""Keeps this controller's lease, stands for election, and changes terms when it leads."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
from collections.abc import Callable, Mapping
from typing import Protocol

from msgspec import UNSET, Raw, structs

from mosswalk.actors import Clock, to_us
from mosswalk.config import Settings
from mosswalk.leadership.terms import (
    all_support_detection,
    max_unconfirmed_us,
    needs_new_term,
    next_term,
    verdicts_between,
)
from mosswalk.leadership.upgrade import eligible_runs, may_upgrade
from mosswalk.store import records
from mosswalk.store.client import (
    ConflictError,
    NoLeaseError,
    RefusedError,
    StateClient,
    UnknownOutcomeError,
)
from mosswalk.store.mirror import Mirror
from mosswalk.store.records import Presence, TermRecord, Verdict
from mosswalk.wire import state as wire

log = logging.getLogger(__name__)

# A controller that joins gets teams only once it has stayed this long: one that keeps
# crashing must not cause a term each time.
_SETTLE_US = 2_000_000
# One that has handed over does not stand for this long, so that another one does.
_YIELD_US = 5_000_000


class Authority(Protocol):
    """Whether a controller that may have stood still can rely on what it last knew."""

    def may_act(self) -> bool:
        """Whether it may act at all."""

    def may_renew_worker_leases(self) -> bool:
        """Whether it may renew workers' leases."""

    async def confirm(self) -> None:
        """Return once it may act; RefusedError if the state service does not say so now."""


class FailureDetector(Protocol):
    """What a failure detector holds of the other controllers."""

    def suspected(self) -> frozenset[str]:
        """Those that get nothing new."""

    def verdict(self, node: str, run: str) -> Verdict:
        """Why a controller's teams, or the lead, are given to others."""


class Leadership:
    """This controller's place among the others."""

    def __init__(
        self,
        settings: Settings,
        client: StateClient,
        mirror: Mirror,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._client = client
        self._mirror = mirror
        self._clock = clock
        self._rng = rng
        self.node = settings.host_name
        self.run_id = f"{rng.getrandbits(48):012x}"
        self._ttl_us = to_us(settings.tuning.leadership.ttl_s)
        self._renew_s = settings.tuning.leadership.renew_s
        self._teams = [team.name for team in settings.params.teams]
        workers = settings.params.workers
        self.max_unconfirmed_us = max_unconfirmed_us(workers.lease_s, workers.cancel_s)
        # Read and written by a lease renewer beside the main loop, if there is one.
        self.lease: int | None = None
        self.lease_renewed_at_us = 0
        # Both are there if failure detection is on.
        self.authority: Authority | None = None
        self.failure_detector: FailureDetector | None = None
        self._absent = 0
        self.term: TermRecord | None = None
        self.term_version = 0
        self._lead: Presence | None = None
        self._lead_version = 0
        # Which controllers are up, as the state service shows them.
        self.present: dict[str, Presence] = {}
        self._controllers = (self.node, *(peer.host_name for peer in settings.known))
        self._runs_since_us = 0
        # What has been logged since the term was last changed.
        self._logged_epoch = 0
        self._logged: set[str] = set()
        self._outbid = 0
        self._wanted_above = 0
        self._hands_over = False
        self._yields_until_us = 0
        self._unreachable: frozenset[str] = frozenset()
        self._wake = asyncio.Event()
        # A lease that is known to have ended need not wait for the next renewal to be replaced.
        self._lease_lost = asyncio.Event()
        self.on_term: list[Callable[[], None]] = []
        mirror.listen(records.TERM_KEY, self._term_changed)
        mirror.listen(records.LEADER_KEY, self._lead_changed)
        mirror.listen(records.NODE_PREFIX, self._node_changed)

    # What others ask.

    def leads(self) -> bool:
        """Whether this controller leads, as far as the state service has said."""
        return (
            self.term is not None
            and self._lead is not None
            and self._lead.run == self.run_id
            and self._lead.node == self.node
            and self.term.leader == self.node
            and self.term.runs.get(self.node) == self.run_id
            and self.term.term >= self._outbid
        )

    def may_renew_worker_leases(self) -> bool:
        """Whether a leader may still renew workers' leases."""
        if self.authority is not None and not self.authority.may_renew_worker_leases():
            return False
        confirmed_us = min(self.lease_renewed_at_us, self._mirror.confirmed_until_us)
        return self.leads() and self._clock.now_us() - confirmed_us < self.max_unconfirmed_us

    def may_renew_worker_leases_as_follower(self) -> bool:
        """Whether one that does not lead may renew workers' leases, when nobody else can.

        For as long as a leader might, and for the same reason: what it doesn't know to be
        withdrawn by then is dead in time.
        """
        if self.term is None or self.leads() or self.term.term < self._outbid:
            return False
        return self._clock.now_us() - self._mirror.confirmed_until_us < self.max_unconfirmed_us

    def zones_with_controller(self, zones: Mapping[str, str]) -> set[str]:
        """The zones in which a controller is up, given each one's zone."""
        return {zones[node] for node in {*self.present, self.node} if node in zones}

    def may_start_tasks(self) -> bool:
        """Whether a leader may start tasks: only while it hears from the state service."""
        if not self._may_act():
            return False
        fresh_us = self._clock.now_us() - self._mirror.confirmed_until_us
        return self.leads() and fresh_us < to_us(5.0)

    def _may_act(self) -> bool:
        return self.authority is None or self.authority.may_act()

    def suspected(self) -> frozenset[str]:
        """Controllers that get nothing new."""
        return (
            self.failure_detector.suspected() if self.failure_detector is not None else frozenset()
        )

    def leader(self) -> str | None:
        """Which controller leads, if any is known to."""
        if self._lead is None or self.term is None:
            return None
        return self._lead.node

    def gangs_allowed(self) -> bool:
        """Whether every controller can deal with gangs; once it is so, it stays so."""
        return self.term is not None and self.term.version >= records.GANG_VERSION

    def term_number(self) -> int:
        """The term."""
        return self.term.term if self.term is not None else 0

    def owns(self, team: str) -> bool:
        """Whether this run of this controller places for a team."""
        return (
            self.term is not None
            and self.term.owners.get(team) == self.node
            and self.term.runs.get(self.node) == self.run_id
        )

    def owns_any_team(self) -> bool:
        """Whether this run of this controller places for any team."""
        return any(self.owns(team) for team in self._teams)

    def observe_term(self, term_number: int) -> None:
        """A worker has seen a higher epoch: someone else leads."""
        if term_number > self.term_number() and self.leads():
            log.info(
                "stepping down: a worker has seen epoch %d, ours is %d",
                term_number,
                self.term_number(),
            )
            self._outbid = max(self._outbid, term_number)

    def note_unreachable(self, nodes: frozenset[str]) -> None:
        """Controllers that can't be reached from here, as far as is known."""
        if nodes != self._unreachable:
            log.info("can't reach: %s", ", ".join(sorted(nodes)) or "none")
            self._unreachable = nodes
            self._wake.set()

    def request_new_term(self) -> None:
        """Have a new term made, so that every order of this one is outdated."""
        self._wanted_above = max(self._wanted_above, self.term_number())
        self._wake.set()

    def hand_over(self) -> None:
        """Let another controller lead, as this one can't do its work."""
        if self.leads() and not self._hands_over:
            log.info("handing over: the workers can't reach us, but others")
            self._hands_over = True
            self._wake.set()

    # What the mirror tells.

    def _term_changed(self, _key: str, value: bytes | None, version: int) -> None:
        self.term = records.decode_term(value) if value is not None else None
        self.term_version = version if value is not None else 0
        if self.term is not None:
            log.info(
                "term %d: leader %s, owners %s",
                self.term.term,
                self.term.leader,
                sorted(self.term.owners.items()),
            )
        for action in self.on_term:
            action()
        self._wake.set()

    def _lead_changed(self, _key: str, value: bytes | None, version: int) -> None:
        self._lead = records.decode_presence(value) if value is not None else None
        self._lead_version = version if value is not None else 0
        log.info("leader key: %s", self._lead.node if self._lead else "free")
        self._wake.set()

    def _node_changed(self, key: str, value: bytes | None, _version: int) -> None:
        node = key.removeprefix(records.NODE_PREFIX)
        if value is None:
            self.present.pop(node, None)
        else:
            self.present[node] = records.decode_presence(value)
        self._runs_since_us = self._clock.now_us()
        self._wake.set()

    # The lease.

    def _me(self, lease: int | None) -> Raw:
        return Raw(records.encode(self._presence(lease)))

    def _presence(self, lease: int | None) -> Presence:
        """What others see of us; the lease only if it may be ended by a verdict."""
        told = UNSET if self.failure_detector is None or lease is None else lease
        return Presence(self.node, self.run_id, records.CURRENT_VERSION, told)

    async def _take_lease(self) -> None:
        asked_us = self._clock.now_us()
        lease = await self._client.grant(self._ttl_us // 1000)
        await self._write_presence(lease)
        self.lease = lease
        self.lease_renewed_at_us = asked_us
        log.info("present: lease %d", lease)

    async def _restore_presence(self) -> None:
        """Write our presence again if it was overwritten or removed.

        A request of our last run may arrive late and write that run's presence over ours, on a
        lease about to end. Then others would take this run for dead: its teams would stand still.
        """
        shown = self.present.get(self.node)
        if shown is not None and shown.run == self.run_id:
            self._absent = 0
            return
        self._absent += 1
        if self._absent < 3 or self.lease is None:
            # The mirror may only be behind.
            return
        log.info("our presence shows %s: written again", shown)
        await self._write_presence(self.lease)
        self._absent = 0

    async def _write_presence(self, lease: int) -> None:
        key = records.NODE_PREFIX + self.node
        await self._client.commit(
            wire.Transaction((), (wire.Write(key=key, value=self._me(lease), lease=lease),))
        )

    async def keep_lease(self) -> None:
        """Hold a lease for ever."""
        while True:
            try:
                if self.lease is None:
                    await self._take_lease()
                else:
                    asked_us = self._clock.now_us()
                    await self._client.renew(self.lease, self._ttl_us / 1e6)
                    self.lease_renewed_at_us = asked_us
                    await self._restore_presence()
            except NoLeaseError:
                if self.lease is not None:
                    log.info("lease %d has ended", self.lease)
                self.lease = None
                continue
            except (RefusedError, UnknownOutcomeError) as error:
                log.debug("lease: %s", error)
                await asyncio.sleep(0.2 * self._rng.uniform(0.8, 1.2))
                continue
            self._wake.set()
            self._lease_lost.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._renew_s * self._rng.uniform(0.9, 1.1)):
                    await self._lease_lost.wait()

    # Elections and terms.

    async def run(self) -> None:
        """Stand when nobody leads; when leading, keep the term in step with who is up."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.5):
                    await self._wake.wait()
            self._wake.clear()
            if not self._mirror.loaded or self.lease is None:
                continue
            try:
                if self.authority is not None:
                    await self.authority.confirm()
                await self._review_term()
            except ConflictError as conflict:
                self._log_once(f"term not changed: {conflict}")
                await asyncio.sleep(0.1)
            except (RefusedError, UnknownOutcomeError, NoLeaseError) as error:
                self._log_once(f"term not changed: {error}")
                await asyncio.sleep(0.3 * self._rng.uniform(0.8, 1.2))

    def _log_once(self, line: str) -> None:
        """Tell what is tried again and again, for as long as an outage lasts, once a term."""
        epoch = self.term_number()
        if epoch != self._logged_epoch:
            self._logged_epoch = epoch
            self._logged.clear()
        level = logging.DEBUG if line in self._logged else logging.INFO
        self._logged.add(line)
        log.log(level, "%s", line)

    async def _review_term(self) -> None:
        now_us = self._clock.now_us()
        mine = self._lead is not None and self._lead.node == self.node
        if self.term is not None and self.term.version > records.CURRENT_VERSION:
            # The others can do more than we know of: following is all that is left to us.
            return
        if self._hands_over:
            await self._give_up_lead()
        elif self._lead is None and now_us < self._yields_until_us:
            return
        elif self._lead is None:
            # Those who notice together should not all write at once.
            await asyncio.sleep(self._rng.uniform(0.0, 0.08))
            if self._lead is None:
                await self._campaign("nobody leads")
        elif mine and self._lead is not None and self._lead.run != self.run_id:
            # Our last run led, and it is dead for certain: no need to wait for its lease.
            await self._campaign("our last run led")
        elif mine and self.term is not None:
            up = self._up()
            restarted = any(run != self.term.runs.get(node, run) for node, run in up.items())
            gone = any(node not in up for node in self.term.runs)
            cut_off = self._unreachable & set(self.term.owners.values())
            suspected = self.suspected()
            # Teams are not moved about while somebody is suspected: no term by suspicion alone.
            settled = now_us - self._runs_since_us > _SETTLE_US and not suspected
            wanted = max(self._outbid, self._wanted_above + 1) > self.term.term
            if wanted or (
                needs_new_term(self.term, up, self._unreachable, suspected)
                and (restarted or gone or cut_off or settled)
            ):
                await self._campaign("controllers changed")
            elif may_upgrade(self.term, self._controllers, self.present):
                await self._campaign("all controllers have the new version", upgrade=True)
            elif (
                self.failure_detector is not None
                and not self.term.detects
                and all_support_detection(self._controllers, self.present)
            ):
                await self._campaign("all controllers detect failures", detects=True)

    async def _give_up_lead(self) -> None:
        """Free the leader's key; who takes it makes a new term, which outdates this one."""
        self._hands_over = False
        if not self.leads():
            return
        self._yields_until_us = self._clock.now_us() + _YIELD_US
        await self._client.commit(
            wire.Transaction(
                (wire.Guard(records.LEADER_KEY, self._lead_version),),
                (wire.Write(delete=records.LEADER_KEY),),
            )
        )

    def _up(self) -> dict[str, str]:
        """The runs that a term may name, ours whether or not its presence is visible yet."""
        return eligible_runs(self.term, {**self.present, self.node: self._presence(self.lease)})

    def _with_detection(
        self, term: TermRecord, suspicions: FailureDetector, *, detects: bool
    ) -> TermRecord:
        """The term with what failure detection records in it."""
        in_force = detects or (self.term is not None and self.term.detects)
        verdicts = verdicts_between(self.term, term, self._unreachable, suspicions.verdict)
        for verdict in verdicts:
            by = f" by {', '.join(verdict.observers)}" if verdict.observers else ""
            self._log_once(f"verdict on {verdict.node}: {verdict.reason}{by}")
        return structs.replace(term, detects=in_force, verdicts=verdicts)

    async def confirm_authority(self) -> None:
        """Renew the lease, and read the term and the leader's key, after having stood still."""
        led, epoch = self.leads(), self.term_number()
        lease, asked_us = self.lease, self._clock.now_us()
        if lease is not None:
            try:
                await self._client.renew(lease, self._ttl_us / 1e6)
                self.lease_renewed_at_us = asked_us
            except NoLeaseError:
                log.info("lease %d has ended while we stood still", lease)
                if self.lease == lease:
                    self.lease = None
                    self._lease_lost.set()
        if self._mirror.loaded:
            await self._mirror.read_latest((records.TERM_KEY, records.LEADER_KEY))
        if led and not self.leads():
            log.info(
                "deposed while we stood still: led term %d, now %s leads in term %d",
                epoch,
                self.leader() or "nobody",
                self.term_number(),
            )

    async def _campaign(self, why: str, *, upgrade: bool = False, detects: bool = False) -> None:
        if self.lease is None:
            return
        term = next_term(
            self.term,
            self.node,
            self._up(),
            self._teams,
            self._outbid,
            self._unreachable,
            records.CURRENT_VERSION if upgrade else records.FIRST_VERSION,
            self.suspected(),
        )
        if self.failure_detector is not None:
            term = self._with_detection(term, self.failure_detector, detects=detects)
        guards: tuple[wire.Guard, ...] = (
            wire.Guard(records.LEADER_KEY, self._lead_version),
            wire.Guard(records.TERM_KEY, self.term_version),
        )
        if upgrade or detects:
            keys = [records.NODE_PREFIX + node for node in self._controllers]
            guards += tuple(wire.Guard(key, self._mirror.version(key)) for key in keys)
        writes = (
            wire.Write(key=records.LEADER_KEY, value=self._me(self.lease), lease=self.lease),
            wire.Write(key=records.TERM_KEY, value=Raw(records.encode_term(term))),
        )
        self._log_once(f"standing for term {term.term}: {why}")
        if not self._may_act():
            raise RefusedError("stood still while standing")
        revision = await self._client.commit(wire.Transaction(guards, writes))
        # Wait for the mirror to show it, so that the same term is not written twice.
        for _ in range(100):
            if self._mirror.revision >= revision:
                return
            await asyncio.sleep(0.02)
