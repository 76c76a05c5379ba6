"""The facts that a node holds."""

import dataclasses
from collections import abc

from citronjunction.membership import facts

MAX_FACTS = 20000
ENTRY_MAX_AGE_S = 600.0
SUSPECT_MAX_AGE_S = 900.0
LEAVING_MAX_AGE_S = 1800.0


class FactTable:
    """Hold the newest fact of each key."""

    __slots__ = ('facts_by_key',)

    def __init__(self) -> None:
        """Start empty."""
        self.facts_by_key: dict[str, facts.Fact] = {}

    def merge(self, fact: facts.Fact, now: float) -> facts.Fact | None:
        """Take a fact; return what is now held if that is news.

        ``now`` is in seconds since the epoch.
        """
        if is_outdated(fact, now):
            return None
        key = facts.get_key(fact)
        known = self.facts_by_key.get(key)
        if known is None and len(self.facts_by_key) >= MAX_FACTS:
            return None
        merged = _join(known, fact)
        if merged is known:
            return None
        self.facts_by_key[key] = merged
        return merged

    def select(self, kind: type) -> abc.Iterator[facts.Fact]:
        """Yield the facts of a type."""
        for fact in self.facts_by_key.values():
            if isinstance(fact, kind):
                yield fact

    def expire(self, now: float) -> list[facts.Fact]:
        """Drop and return facts past their age."""
        old = [
            fact
            for fact in self.facts_by_key.values()
            if is_outdated(fact, now)
        ]
        for fact in old:
            self.facts_by_key.pop(facts.get_key(fact))
        return old

    def summarise(self) -> dict[str, facts.Version]:
        """Return the version held of each key."""
        return {
            key: facts.get_version(fact)
            for key, fact in self.facts_by_key.items()
        }


def is_outdated(fact: facts.Fact, now: float) -> bool:
    """Tell whether a fact is too old to be kept or told."""
    match fact:
        case facts.EntryState(sent_at=at):
            return now - at > ENTRY_MAX_AGE_S
        case facts.SuspectRequest(noticed_at=at):
            return now - at > SUSPECT_MAX_AGE_S
        case facts.LeavingHost(noticed_at=at):
            return now - at > LEAVING_MAX_AGE_S
        case _:
            return False


def _join(known: facts.Fact | None, offered: facts.Fact) -> facts.Fact:
    if known is None:
        return offered
    if isinstance(known, facts.SuspectRequest):
        return _join_suspects(known, offered)
    if facts.get_version(offered) > facts.get_version(known):
        return offered
    return known


def _join_suspects(
    known: facts.SuspectRequest,
    offered: facts.SuspectRequest,
) -> facts.SuspectRequest:
    workers = set(known.workers) | set(offered.workers)
    if len(workers) == len(known.workers):
        return known
    ordered = tuple(sorted(workers))
    at = max(known.noticed_at, offered.noticed_at)
    return dataclasses.replace(known, workers=ordered, noticed_at=at)
