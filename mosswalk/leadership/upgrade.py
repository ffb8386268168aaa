"""The upgrade gate: new behaviour is enabled once all controllers run the new version.

Each controller's presence record contains its version. When the presences of all controllers named
in the settings show the new version, the leader makes a term with that version, guarded by those
presences. The version of a term never decreases, so a controller that is absent afterwards does
not undo the upgrade. A controller of the first version that joins nevertheless can't decode the
term, so it never leads and owns no team.

A group that has no term yet has nothing that an earlier version would have to read. Its first term
has the current version, unless a controller of an earlier one is present.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from mosswalk.store.records import CURRENT_VERSION, FIRST_VERSION, Presence, TermRecord


def may_upgrade(
    term: TermRecord, controllers: Iterable[str], present: Mapping[str, Presence]
) -> bool:
    """Whether all controllers are present with this version while the term has an earlier one."""
    if term.version >= CURRENT_VERSION:
        return False
    return all(node in present and present[node].version >= CURRENT_VERSION for node in controllers)


def may_begin_with_current_version(present: Mapping[str, Presence]) -> bool:
    """Whether the first term of a group may have this version, given who is present."""
    return all(presence.version >= CURRENT_VERSION for presence in present.values())


def eligible_runs(term: TermRecord | None, present: Mapping[str, Presence]) -> dict[str, str]:
    """The runs that a term may name: those of controllers that support the term's version."""
    version = term.version if term is not None else FIRST_VERSION
    return {node: presence.run for node, presence in present.items() if presence.version >= version}
