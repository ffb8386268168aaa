"""Decisions about terms, as pure functions."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping

from msgspec import UNSET

from mosswalk.actors import to_us
from mosswalk.store.records import FIRST_VERSION, Presence, TermRecord, Verdict

_CLOCK_DRIFT_FACTOR = 0.998
_WORKER_DELAY_S = 0.5


def max_unconfirmed_us(lease_s: float, cancel_s: float) -> int:
    """How long a controller may renew workers' leases without the state service's confirmation.

    The time counts from when the state service last confirmed that the controller's mirror is up to
    date and, for a leader, that it still holds its own lease.

    A job may be withdrawn through another controller right after that confirmation. Its tasks must
    have ended within ``cancel_s``, and they end ``lease_s`` after their worker sent the last report
    that was answered, however long the answer took. The margin therefore only covers the drift
    between two clocks, 0.05 % each, and delays in the worker itself.
    """
    return to_us(max(0.0, (cancel_s - lease_s) * _CLOCK_DRIFT_FACTOR - _WORKER_DELAY_S))


def assign_teams(
    teams: Iterable[str],
    leader: str,
    controllers: Iterable[str],
    previous_owners: Mapping[str, str],
    suspected: Collection[str] = (),
) -> dict[str, str]:
    """The owner of each team, distributed evenly over the controllers.

    Teams keep their owner as far as an even distribution allows. The leader has other work and
    takes the smaller share. A single team goes to the leader, which keeps the machine inventory.
    Suspected controllers keep their teams and are given no more.
    """
    names = sorted(set(teams))
    nodes = {*controllers, leader}
    if len(names) <= 1:
        return dict.fromkeys(names, leader)
    suspected_nodes = nodes.intersection(suspected) - {leader}
    retained_owners = {
        team: previous_owners[team]
        for team in names
        if previous_owners.get(team) in suspected_nodes
    }
    names = [team for team in names if team not in retained_owners]
    return {
        **retained_owners,
        **_distribute(names, leader, nodes - suspected_nodes, previous_owners),
    }


def _distribute(
    names: list[str], leader: str, controllers: Collection[str], previous_owners: Mapping[str, str]
) -> dict[str, str]:
    """Distribute teams evenly, each to its previous owner while that has open slots."""
    nodes = sorted(controllers, key=lambda node: (node == leader, node))
    base, extra = divmod(len(names), len(nodes))
    open_slots = {node: base + (1 if i < extra else 0) for i, node in enumerate(nodes)}
    owners: dict[str, str] = {}
    for team in names:
        node = previous_owners.get(team)
        if node is not None and open_slots.get(node, 0) > 0:
            owners[team] = node
            open_slots[node] -= 1
    for team in names:
        if team not in owners:
            node = max(nodes, key=lambda n: open_slots[n])
            owners[team] = node
            open_slots[node] -= 1
    return owners


def next_term(
    current: TermRecord | None,
    leader: str,
    runs: Mapping[str, str],
    teams: Iterable[str],
    higher_than: int = 0,
    unreachable: Collection[str] = (),
    version: int = FIRST_VERSION,
    suspected: Collection[str] = (),
) -> TermRecord:
    """The term after the current one, led by ``leader``, with a number above ``higher_than``.

    Controllers that the leader can't reach get no teams, because it could not send them offers of
    capacity or outcomes. Controllers that it suspects get no further teams.
    """
    number = max(current.term if current is not None else 0, higher_than) + 1
    previous_owners = current.owners if current is not None else {}
    reachable = [node for node in runs if node not in unreachable]
    owners = assign_teams(teams, leader, reachable, previous_owners, suspected)
    version = max(version, current.version if current is not None else FIRST_VERSION)
    return TermRecord(number, leader, owners, dict(runs), version)


def all_support_detection(controllers: Iterable[str], present: Mapping[str, Presence]) -> bool:
    """Whether all controllers are present and take part in failure detection."""
    return all(node in present and present[node].lease is not UNSET for node in controllers)


def verdicts_between(
    previous: TermRecord | None,
    following: TermRecord,
    unreachable: Collection[str],
    verdict_for: Callable[[str, str], Verdict],
) -> tuple[Verdict, ...]:
    """Verdicts on controllers that a term no longer names, or that lost teams as unreachable."""
    if previous is None:
        return ()
    owners = set(previous.owners.values())
    return tuple(
        verdict_for(node, run)
        for node, run in previous.runs.items()
        if node not in following.runs or (node in unreachable and node in owners)
    )


def needs_new_term(
    current: TermRecord,
    runs: Mapping[str, str],
    unreachable: Collection[str] = (),
    suspected: Collection[str] = (),
) -> bool:
    """Whether the runs or the owners of the current term differ from what they should be now.

    A restarted controller counts as changed: a commit that its previous run sent may still arrive,
    and only a new term ensures that it fails.
    """
    target = next_term(
        current,
        current.leader,
        runs,
        current.owners,
        unreachable=unreachable,
        suspected=suspected,
    )
    return target.runs != current.runs or target.owners != current.owners
