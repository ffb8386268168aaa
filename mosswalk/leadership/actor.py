"""Renews this controller's lease, campaigns for leadership, and changes terms while it leads."""

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
from mosswalk.leadership.upgrade import (
    eligible_runs,
    may_begin_with_current_version,
    may_upgrade,
)
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
from mosswalk.wire.tokens import first_token_of_range

log = logging.getLogger(__name__)

# A controller that joins is given teams only after the set of controllers has been stable for this
# long: one that crashes repeatedly must not cause a new term each time.
_JOIN_SETTLE_US = 2_000_000
# A controller that has handed over leadership does not campaign for this long, so that another one
# takes it.
_HANDOVER_PAUSE_US = 5_000_000
# No tasks are started once the state service last confirmed the mirror longer ago than this: by
# then another controller may lead without this one having seen it.
_MAX_START_UNCONFIRMED_US = to_us(5.0)
# The presence is rewritten after this many renewals in a row at which the mirror did not show it.
_MAX_PRESENCE_MISMATCHES = 3
# Controllers that notice a missing leader together wait a random time up to this long, so that they
# do not all write at once.
_CAMPAIGN_JITTER_S = 0.08
_REVIEW_PERIOD_S = 0.5
_LEASE_RETRY_S = 0.2
_CONFLICT_RETRY_S = 0.1
_TERM_RETRY_S = 0.3
# The interval between checks whether the mirror shows a term just written.
_MIRROR_POLL_S = 0.02
# After this many such checks the term is reviewed again even if the mirror does not show it.
_MAX_MIRROR_POLLS = 100


class Authority(Protocol):
    """Whether a controller may rely on its last known state, given that it may have been frozen."""

    def may_act(self) -> bool:
        """Whether it may act on that state."""

    def may_renew_worker_leases(self) -> bool:
        """Whether it may renew the leases of workers."""

    async def confirm(self) -> None:
        """Return once it may act; RefusedError if the state service does not confirm it now."""


class FailureDetector(Protocol):
    """Which of the other controllers are suspected, and the verdicts on them."""

    def suspected(self) -> frozenset[str]:
        """The suspected controllers, which are given no further work."""

    def verdict(self, node: str, run: str) -> Verdict:
        """Why a controller's teams, or the leadership, are given to others."""


class Leadership:
    """This controller's lease, its view of the current term, and its part in elections."""

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
        # Also read and written by the lease renewer's thread, if there is one.
        self.lease: int | None = None
        self.lease_renewed_at_us = 0
        # Both are set if failure detection is on.
        self.authority: Authority | None = None
        self.failure_detector: FailureDetector | None = None
        # Renewals in a row at which the mirror did not show this run's presence.
        self._presence_mismatches = 0
        self.term: TermRecord | None = None
        self.term_version = 0
        self._leader_presence: Presence | None = None
        self._leader_key_version = 0
        # The presence of each running controller, as the mirror shows it.
        self.present: dict[str, Presence] = {}
        self._controllers = (self.node, *(peer.host_name for peer in settings.known))
        self._presences_changed_at_us = 0
        # Lines already logged in the current term.
        self._logged_term_number = 0
        self._logged_lines: set[str] = set()
        # The highest term that a worker reported while this controller led a lower one.
        self._highest_observed_term = 0
        # Terms up to this number are to be replaced by a new one.
        self._superseded_term = 0
        self._handover_requested = False
        self._no_campaign_until_us = 0
        self._unreachable: frozenset[str] = frozenset()
        self._wake = asyncio.Event()
        # Set when the lease is known to have ended, so that it is replaced without waiting for the
        # next renewal.
        self._lease_lost = asyncio.Event()
        self.on_term: list[Callable[[], None]] = []
        mirror.listen(records.TERM_KEY, self._on_term_changed)
        mirror.listen(records.LEADER_KEY, self._on_leader_changed)
        mirror.listen(records.NODE_PREFIX, self._on_presence_changed)

    # Queries and requests from other parts of this process.

    def leads(self) -> bool:
        """Whether this controller leads, according to the mirror.

        Not before the mirror has all changes that were committed before the term, as after
        ``confirm_authority`` has read a new one.
        """
        return (
            self.term is not None
            and self._mirror.is_settled(records.TERM_KEY)
            and self._leader_presence is not None
            and self._leader_presence.run == self.run_id
            and self._leader_presence.node == self.node
            and self.term.leader == self.node
            and self.term.runs.get(self.node) == self.run_id
            and self.term.term >= self._highest_observed_term
        )

    def may_renew_worker_leases(self) -> bool:
        """Whether this controller leads and may still renew the leases of workers."""
        if self.authority is not None and not self.authority.may_renew_worker_leases():
            return False
        confirmed_at_us = min(self.lease_renewed_at_us, self._mirror.confirmed_until_us)
        return self.leads() and self._clock.now_us() - confirmed_at_us < self.max_unconfirmed_us

    def may_renew_worker_leases_as_follower(self) -> bool:
        """Whether a controller that does not lead may renew workers' leases when no leader can.

        The time limit is the same as a leader's, for the same reason: tasks of a job whose
        withdrawal this controller has not seen still end within the deadline for withdrawals.
        """
        if self.term is None or self.leads() or self.term.term < self._highest_observed_term:
            return False
        return self._clock.now_us() - self._mirror.confirmed_until_us < self.max_unconfirmed_us

    def zones_with_controller(self, zones: Mapping[str, str]) -> set[str]:
        """The zones in which a controller is running, given the zone of each controller."""
        return {zones[node] for node in {*self.present, self.node} if node in zones}

    def may_start_tasks(self) -> bool:
        """Whether this controller may have workers start tasks.

        Its authority must hold (see ``_may_act``), it must lead according to the mirror, and the
        state service must have confirmed the mirror within ``_MAX_START_UNCONFIRMED_US``.
        """
        if not self._may_act():
            return False
        unconfirmed_us = self._clock.now_us() - self._mirror.confirmed_until_us
        return self.leads() and unconfirmed_us < _MAX_START_UNCONFIRMED_US

    def _may_act(self) -> bool:
        """Whether authority holds: it needs confirmation after a freeze if detection is on."""
        return self.authority is None or self.authority.may_act()

    def suspected(self) -> frozenset[str]:
        """The controllers that the failure detector suspects, which are given no further work."""
        return (
            self.failure_detector.suspected() if self.failure_detector is not None else frozenset()
        )

    def leader(self) -> str | None:
        """The controller that leads, or None if none is known to."""
        if self._leader_presence is None or self.term is None:
            return None
        return self._leader_presence.node

    def gangs_allowed(self) -> bool:
        """Whether all controllers support gangs; once true, this stays true."""
        return self.term is not None and self.term.version >= records.GANG_VERSION

    def term_number(self) -> int:
        """The number of the current term, or 0 if there is none yet."""
        return self.term.term if self.term is not None else 0

    def has_token_range(self) -> bool:
        """Whether the current term stands for a range of tokens; once true, this stays true."""
        return self.term is not None and self.term.version >= records.TOKEN_RANGE_VERSION

    def first_token(self) -> int:
        """The lowest token of the current term, or 0 if there is no term yet."""
        number = self.term_number()
        return first_token_of_range(number) if self.has_token_range() else number

    def owns(self, team: str) -> bool:
        """Whether this run of this controller is the owner of a team.

        Like ``leads``, not before the mirror has all changes that were committed before the term.
        """
        return (
            self.term is not None
            and self._mirror.is_settled(records.TERM_KEY)
            and self.term.owners.get(team) == self.node
            and self.term.runs.get(self.node) == self.run_id
        )

    def owns_any_team(self) -> bool:
        """Whether this run of this controller is the owner of any team."""
        return any(self.owns(team) for team in self._teams)

    def observe_term(self, term_number: int) -> None:
        """Step down if a worker has seen a higher term, because another controller leads then."""
        if term_number > self.term_number() and self.leads():
            log.info(
                "stepping down: a worker reported term %d, this controller leads term %d",
                term_number,
                self.term_number(),
            )
            self._highest_observed_term = max(self._highest_observed_term, term_number)

    def note_unreachable(self, nodes: frozenset[str]) -> None:
        """Record which controllers can't be reached from this one."""
        if nodes != self._unreachable:
            log.info("unreachable controllers: %s", ", ".join(sorted(nodes)) or "none")
            self._unreachable = nodes
            self._wake.set()

    def request_new_term(self) -> None:
        """Request a new term, which invalidates all commands sent in the current one."""
        self._superseded_term = max(self._superseded_term, self.term_number())
        self._wake.set()

    def hand_over(self) -> None:
        """Let another controller lead, because workers can't reach this one."""
        if self.leads() and not self._handover_requested:
            log.info("handing over leadership: workers reach other controllers but not this one")
            self._handover_requested = True
            self._wake.set()

    # Callbacks of the mirror.

    def _on_term_changed(self, _key: str, value: bytes | None, version: int) -> None:
        self.term = records.decode_term(value) if value is not None else None
        self.term_version = version if value is not None else 0
        if self.term is not None:
            log.info(
                "term %d: leader %s, owners %s, revision %d",
                self.term.term,
                self.term.leader,
                sorted(self.term.owners.items()),
                version,
            )
        for callback in self.on_term:
            callback()
        self._wake.set()

    def _on_leader_changed(self, _key: str, value: bytes | None, version: int) -> None:
        self._leader_presence = records.decode_presence(value) if value is not None else None
        self._leader_key_version = version if value is not None else 0
        log.info("leader key: %s", self._leader_presence.node if self._leader_presence else "free")
        self._wake.set()

    def _on_presence_changed(self, key: str, value: bytes | None, _version: int) -> None:
        node = key.removeprefix(records.NODE_PREFIX)
        if value is None:
            self.present.pop(node, None)
        else:
            self.present[node] = records.decode_presence(value)
        self._presences_changed_at_us = self._clock.now_us()
        self._wake.set()

    # The lease.

    def _encoded_presence(self, lease: int | None) -> Raw:
        return Raw(records.encode(self._own_presence(lease)))

    def _own_presence(self, lease: int | None) -> Presence:
        """This controller's presence; with the lease only if a verdict may end it."""
        published_lease = UNSET if self.failure_detector is None or lease is None else lease
        return Presence(self.node, self.run_id, records.CURRENT_VERSION, published_lease)

    async def _acquire_lease(self) -> None:
        """Acquire a lease and write this run's presence on it.

        Its time counts from before the request: the state service may have granted it then.
        """
        requested_at_us = self._clock.now_us()
        lease = await self._client.grant(self._ttl_us // 1000)
        await self._write_presence(lease)
        self.lease = lease
        self.lease_renewed_at_us = requested_at_us
        log.info("lease %d granted, presence written", lease)

    async def _restore_presence(self) -> None:
        """Write this run's presence again if it was overwritten or removed.

        A delayed request of the previous run of this controller may overwrite it with that run's
        presence, on a lease about to end. The other controllers would then consider this run dead,
        and nothing would be placed for its teams.
        """
        visible = self.present.get(self.node)
        if visible is not None and visible.run == self.run_id:
            self._presence_mismatches = 0
            return
        self._presence_mismatches += 1
        if self._presence_mismatches < _MAX_PRESENCE_MISMATCHES or self.lease is None:
            # The mirror may only lag behind.
            return
        log.info("own presence is missing or of another run (%s): writing it again", visible)
        await self._write_presence(self.lease)
        self._presence_mismatches = 0

    async def _write_presence(self, lease: int) -> None:
        key = records.NODE_PREFIX + self.node
        await self._client.commit(
            wire.Transaction(
                (), (wire.Write(key=key, value=self._encoded_presence(lease), lease=lease),)
            )
        )

    async def keep_lease(self) -> None:
        """Hold a lease: acquire it, renew it, and replace it when it has ended. Never returns."""
        while True:
            try:
                if self.lease is None:
                    await self._acquire_lease()
                else:
                    requested_at_us = self._clock.now_us()
                    await self._client.renew(self.lease, self._ttl_us / 1e6)
                    self.lease_renewed_at_us = requested_at_us
                    await self._restore_presence()
            except NoLeaseError:
                if self.lease is not None:
                    log.info("lease %d has ended", self.lease)
                self.lease = None
                continue
            except (RefusedError, UnknownOutcomeError) as error:
                log.debug("lease request failed: %s", error)
                await asyncio.sleep(_LEASE_RETRY_S * self._rng.uniform(0.8, 1.2))
                continue
            self._wake.set()
            self._lease_lost.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._renew_s * self._rng.uniform(0.9, 1.1)):
                    await self._lease_lost.wait()

    # Elections and terms.

    async def run(self) -> None:
        """Campaign when there is no leader; as leader, keep the term up to date. Never returns."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_REVIEW_PERIOD_S):
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
                await asyncio.sleep(_CONFLICT_RETRY_S)
            except (RefusedError, UnknownOutcomeError, NoLeaseError) as error:
                self._log_once(f"term not changed: {error}")
                await asyncio.sleep(_TERM_RETRY_S * self._rng.uniform(0.8, 1.2))

    def _log_once(self, line: str) -> None:
        """Log a line at info level once per term: attempts are repeated throughout an outage."""
        term_number = self.term_number()
        if term_number != self._logged_term_number:
            self._logged_term_number = term_number
            self._logged_lines.clear()
        level = logging.DEBUG if line in self._logged_lines else logging.INFO
        self._logged_lines.add(line)
        log.log(level, "%s", line)

    async def _review_term(self) -> None:
        """Campaign or hand over if the current state requires it.

        A leader makes a new term if a worker reported a higher one, if one was requested, if the
        controllers or the owners of teams have to change, or to enable what all now support.
        """
        now_us = self._clock.now_us()
        holds_leader_key = (
            self._leader_presence is not None and self._leader_presence.node == self.node
        )
        if self.term is not None and self.term.version > records.CURRENT_VERSION:
            # The term needs a newer version than this controller's: it can only follow.
            return
        if self._handover_requested:
            await self._release_leadership()
        elif self._leader_presence is None and now_us < self._no_campaign_until_us:
            return
        elif self._leader_presence is None:
            await asyncio.sleep(self._rng.uniform(0.0, _CAMPAIGN_JITTER_S))
            if self._leader_presence is None:
                await self._campaign("there is no leader")
        elif (
            holds_leader_key
            and self._leader_presence is not None
            and self._leader_presence.run != self.run_id
        ):
            # The previous run of this controller led and has certainly ended: there is no need to
            # wait for its lease to expire.
            await self._campaign("the previous run of this controller led")
        elif holds_leader_key and self.term is not None:
            runs = self._eligible_runs()
            restarted = any(run != self.term.runs.get(node, run) for node, run in runs.items())
            departed = any(node not in runs for node in self.term.runs)
            unreachable_owners = self._unreachable & set(self.term.owners.values())
            suspected = self.suspected()
            # Teams are not rebalanced while a controller is suspected: a suspicion alone must not
            # cause a new term.
            settled = now_us - self._presences_changed_at_us > _JOIN_SETTLE_US and not suspected
            # A worker has reported a higher term, or ``request_new_term`` was called in this one.
            higher_term_needed = (
                max(self._highest_observed_term, self._superseded_term + 1) > self.term.term
            )
            if higher_term_needed or (
                needs_new_term(self.term, runs, self._unreachable, suspected)
                and (restarted or departed or unreachable_owners or settled)
            ):
                await self._campaign("the set of controllers has changed")
            elif may_upgrade(self.term, self._controllers, self.present):
                await self._campaign("all controllers have the new version", upgrade=True)
            elif (
                self.failure_detector is not None
                and not self.term.detects
                and all_support_detection(self._controllers, self.present)
            ):
                await self._campaign("all controllers support failure detection", detects=True)

    async def _release_leadership(self) -> None:
        """Delete the leader's key; the next leader's new term invalidates the current one."""
        self._handover_requested = False
        if not self.leads():
            return
        self._no_campaign_until_us = self._clock.now_us() + _HANDOVER_PAUSE_US
        await self._client.commit(
            wire.Transaction(
                (wire.Guard(records.LEADER_KEY, self._leader_key_version),),
                (wire.Write(delete=records.LEADER_KEY),),
            )
        )

    def _eligible_runs(self) -> dict[str, str]:
        """The runs that a term may name; this one even if its presence is not visible yet."""
        return eligible_runs(self.term, {**self.present, self.node: self._own_presence(self.lease)})

    def _with_detection(
        self, term: TermRecord, failure_detector: FailureDetector, *, detects: bool
    ) -> TermRecord:
        """The term with its verdicts and whether failure detection is active."""
        active = detects or (self.term is not None and self.term.detects)
        verdicts = verdicts_between(self.term, term, self._unreachable, failure_detector.verdict)
        for verdict in verdicts:
            observers = f" by {', '.join(verdict.observers)}" if verdict.observers else ""
            self._log_once(f"verdict on {verdict.node}: {verdict.reason}{observers}")
        return structs.replace(term, detects=active, verdicts=verdicts)

    async def confirm_authority(self) -> None:
        """Renew the lease and read the term and the leader's key after this process was frozen."""
        was_leader, term_number = self.leads(), self.term_number()
        lease, requested_at_us = self.lease, self._clock.now_us()
        if lease is not None:
            try:
                await self._client.renew(lease, self._ttl_us / 1e6)
                self.lease_renewed_at_us = requested_at_us
            except NoLeaseError:
                log.info("lease %d has ended while this process was frozen", lease)
                if self.lease == lease:
                    self.lease = None
                    self._lease_lost.set()
        if self._mirror.loaded:
            await self._mirror.read_latest((records.TERM_KEY, records.LEADER_KEY))
        if was_leader and not self.leads():
            log.info(
                "deposed while this process was frozen: led term %d, now %s leads in term %d",
                term_number,
                self.leader() or "nobody",
                self.term_number(),
            )

    async def _campaign(self, reason: str, *, upgrade: bool = False, detects: bool = False) -> None:
        """Write a new term that this controller leads, and take the leader's key with it.

        Guarded by the versions of both keys, so that of several candidates one succeeds. A term
        that enables new behaviour is also guarded by the presences that show all support it, and by
        the absence of the other controllers.
        """
        if self.lease is None:
            return
        upgrade = upgrade or (self.term is None and may_begin_with_current_version(self.present))
        term = next_term(
            self.term,
            self.node,
            self._eligible_runs(),
            self._teams,
            self._highest_observed_term,
            self._unreachable,
            records.CURRENT_VERSION if upgrade else records.FIRST_VERSION,
            self.suspected(),
        )
        if self.failure_detector is not None:
            term = self._with_detection(term, self.failure_detector, detects=detects)
        guards: tuple[wire.Guard, ...] = (
            wire.Guard(records.LEADER_KEY, self._leader_key_version),
            wire.Guard(records.TERM_KEY, self.term_version),
        )
        if upgrade or detects:
            keys = [records.NODE_PREFIX + node for node in self._controllers]
            guards += tuple(wire.Guard(key, self._mirror.version(key)) for key in keys)
        writes = (
            wire.Write(
                key=records.LEADER_KEY, value=self._encoded_presence(self.lease), lease=self.lease
            ),
            wire.Write(key=records.TERM_KEY, value=Raw(records.encode_term(term))),
        )
        self._log_once(f"campaigning for term {term.term}: {reason}")
        if not self._may_act():
            raise RefusedError("campaign stopped: authority is not confirmed after a freeze")
        revision = await self._client.commit(wire.Transaction(guards, writes))
        # Wait until the mirror shows the term, so that it is not written twice.
        for _ in range(_MAX_MIRROR_POLLS):
            if self._mirror.revision >= revision:
                return
            await asyncio.sleep(_MIRROR_POLL_S)
