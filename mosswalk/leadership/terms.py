"""Pure decisions about terms."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

from mosswalk.actors import to_us
from mosswalk.store.records import FIRST_VERSION, TermRecord


def answer_bound_us(lease_s: float, cancel_s: float) -> int:
    """How long workers may be kept alive without the state service, since it last confirmed.

    A job may be withdrawn elsewhere right after that: its tasks must be dead within ``cancel_s``,
    and they die ``lease_s`` after their worker sent the last report that was answered, however
    long the answer took. So the margin is only for what clocks drift apart, 0.05 % each, and for
    a worker's own slowness.
    """
    return to_us(max(0.0, (cancel_s - lease_s) * 0.998 - 0.5))


def assign_teams(
    teams: Iterable[str], leader: str, alive: Iterable[str], before: Mapping[str, str]
) -> dict[str, str]:
    """Which controller owns which team.

    Teams stay where they are as far as the spread allows; the leader, which has other work,
    takes the smaller share. A lone team stays with the leader, next to the machine inventory.
    """
    names = sorted(set(teams))
    nodes = sorted({*alive, leader}, key=lambda node: (node == leader, node))
    if len(names) <= 1:
        return dict.fromkeys(names, leader)
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
    above: int = 0,
    unreachable: Collection[str] = (),
    version: int = FIRST_VERSION,
) -> TermRecord:
    """The term in which ``leader`` leads the controllers that are up; beyond ``above`` too.

    Those the leader can't reach get no teams: it could offer them no room and tell them nothing.
    """
    number = max(current.term if current is not None else 0, above) + 1
    before = current.owners if current is not None else {}
    reached = [node for node in runs if node not in unreachable]
    owners = assign_teams(teams, leader, reached, before)
    version = max(version, current.version if current is not None else FIRST_VERSION)
    return TermRecord(number, leader, owners, dict(runs), version)


def needs_new_term(
    current: TermRecord, runs: Mapping[str, str], unreachable: Collection[str] = ()
) -> bool:
    """Whether the controllers that are up are not those the term was made for.

    A controller that was restarted counts as changed: a commit its last run sent may still
    arrive, and only a new term makes sure that it fails.
    """
    wanted = next_term(current, current.leader, runs, current.owners, unreachable=unreachable)
    return wanted.runs != current.runs or wanted.owners != current.owners
