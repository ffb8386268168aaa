"""The upgrade gate: new behaviour begins once every controller has shown the new version.

Each controller's presence tells its version. When the presences of all controllers that the
settings name show the new one, the leader makes a term that says so, guarded by those presences.
Terms never go back, so a controller that is away afterwards takes nothing back, and one of the
first version that joins all the same can't read the term: it never leads and owns no team.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from mosswalk.store.records import CURRENT_VERSION, FIRST_VERSION, Presence, TermRecord


def may_upgrade(
    term: TermRecord, controllers: Iterable[str], present: Mapping[str, Presence]
) -> bool:
    """Whether all controllers are present with our version while the term is of an earlier one."""
    if term.version >= CURRENT_VERSION:
        return False
    return all(node in present and present[node].version >= CURRENT_VERSION for node in controllers)


def eligible_runs(term: TermRecord | None, present: Mapping[str, Presence]) -> dict[str, str]:
    """The runs of the controllers that a term may name: those that can do what it asks for."""
    version = term.version if term is not None else FIRST_VERSION
    return {node: one.run for node, one in present.items() if one.version >= version}
