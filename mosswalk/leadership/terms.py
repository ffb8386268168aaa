"""Pure decisions about terms."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping

from msgspec import UNSET

from mosswalk.actors import to_us
from mosswalk.store.records import FIRST_VERSION, Presence, TermRecord, Verdict


def max_unconfirmed_us(lease_s: float, cancel_s: float) -> int:
    """How long workers may be kept alive without the state service, since it last confirmed.

    A job may be withdrawn elsewhere right after that: its tasks must be dead within ``cancel_s``,
    and they die ``lease_s`` after their worker sent the last report that was answered, however
    long the answer took. So the margin is only for what clocks drift apart, 0.05 % each, and for
    a worker's own slowness.
    """
    return to_us(max(0.0, (cancel_s - lease_s) * 0.998 - 0.5))


def assign_teams(
    teams: Iterable[str],
    leader: str,
    alive: Iterable[str],
    before: Mapping[str, str],
    suspected: Collection[str] = (),
) -> dict[str, str]:
    """Which controller owns which team.

    Teams stay where they are as far as the spread allows; the leader, which has other work,
    takes the smaller share. A lone team stays with the leader, next to the machine inventory.
    Suspected controllers keep what they have and get nothing more.
    """
    names = sorted(set(teams))
    up = {*alive, leader}
    if len(names) <= 1:
        return dict.fromkeys(names, leader)
    doubtful = up.intersection(suspected) - {leader}
    kept = {team: before[team] for team in names if before.get(team) in doubtful}
    names = [team for team in names if team not in kept]
    return {**kept, **_spread(names, leader, up - doubtful, before)}


def _spread(
    names: list[str], leader: str, up: Collection[str], before: Mapping[str, str]
) -> dict[str, str]:
    """Teams in even parts, each with its owner of before where that has room for it."""
    nodes = sorted(up, key=lambda node: (node == leader, node))
    base, extra = divmod(len(names), len(nodes))
    room = {node: base + (1 if i < extra else 0) for i, node in enumerate(nodes)}
    owners: dict[str, str] = {}
    for team in names:
        node = before.get(team)
        if node is not None and room.get(node, 0) > 0:
            owners[team] = node
            room[node] -= 1
    for team in names:
        if team not in owners:
            node = max(nodes, key=lambda n: room[n])
            owners[team] = node
            room[node] -= 1
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
    """The term in which ``leader`` leads the controllers that are up; beyond ``above`` too.

    Those the leader can't reach get no teams: it could offer them no room and tell them nothing.
    Those it suspects get no more than they have.
    """
    number = max(current.term if current is not None else 0, higher_than) + 1
    before = current.owners if current is not None else {}
    reached = [node for node in runs if node not in unreachable]
    owners = assign_teams(teams, leader, reached, before, suspected)
    version = max(version, current.version if current is not None else FIRST_VERSION)
    return TermRecord(number, leader, owners, dict(runs), version)


def all_support_detection(controllers: Iterable[str], present: Mapping[str, Presence]) -> bool:
    """Whether all controllers are present and take part in failure detection."""
    return all(node in present and present[node].lease is not UNSET for node in controllers)


def verdicts_between(
    before: TermRecord | None,
    after: TermRecord,
    unreachable: Collection[str],
    find: Callable[[str, str], Verdict],
) -> tuple[Verdict, ...]:
    """Why controllers of the term before are left out of the next one, or own nothing in it."""
    if before is None:
        return ()
    owners = set(before.owners.values())
    return tuple(
        find(node, run)
        for node, run in before.runs.items()
        if node not in after.runs or (node in unreachable and node in owners)
    )


def needs_new_term(
    current: TermRecord,
    runs: Mapping[str, str],
    unreachable: Collection[str] = (),
    suspected: Collection[str] = (),
) -> bool:
    """Whether the controllers that are up are not those the term was made for.

    A controller that was restarted counts as changed: a commit its last run sent may still
    arrive, and only a new term makes sure that it fails.
    """
    wanted = next_term(
        current,
        current.leader,
        runs,
        current.owners,
        unreachable=unreachable,
        suspected=suspected,
    )
    return wanted.runs != current.runs or wanted.owners != current.owners
