"""Table of the facts that a node has."""

import dataclasses
from collections import abc

from citronjunction.attempts import suspect_parts
from citronjunction.membership import facts

MAX_FACTS = 20000
SUSPECT_PART_MAX_AGE_S = 300.0
CLEARED_PART_MAX_AGE_S = 20.0  # reports of earlier crashes arrive within it
# Time field and maximum age in seconds of the facts that expire.
MAX_AGES: abc.Mapping[type, tuple[str, float]] = {
    facts.EntryState: ('sent_at', 600.0),
    facts.SuspectRequest: ('noticed_at', 900.0),
    facts.LeavingHost: ('noticed_at', 1800.0),
    facts.LeavingWorker: ('noticed_at', 120.0),  # it ends within seconds
    facts.WorkerConstraint: ('named_at', 120.0),  # refreshed while named
    facts.FullWorker: ('noticed_at', 10.0),
    facts.LimitedSends: ('sent_at', 60.0),  # no window of a limit is longer
    facts.LostUpstreams: ('noticed_at', 30.0),  # refreshed while any is lost
    facts.StoredUsage: ('noticed_at', 60.0),  # a report is due within seconds
}


class FactTable:
    """Store the newest fact of each key."""

    __slots__ = ('facts_by_key',)

    def __init__(self) -> None:
        self.facts_by_key: dict[str, facts.Fact] = {}

    def merge(self, fact: facts.Fact, now: float) -> facts.Fact | None:
        """Merge a fact; return the stored result if it changed the table.

        ``now`` is in seconds since the epoch.
        """
        if is_outdated(fact, now):
            return None
        key = facts.get_key(fact)
        known = self.facts_by_key.get(key)
        if known is None and len(self.facts_by_key) >= MAX_FACTS:
            return None
        merged = _merge(known, fact)
        if merged is known:
            return None
        self.facts_by_key[key] = merged
        return merged

    def select(self, fact_class: type) -> abc.Iterator[facts.Fact]:
        """Yield the facts of a class."""
        for fact in self.facts_by_key.values():
            if isinstance(fact, fact_class):
                yield fact

    def expire(self, now: float) -> list[facts.Fact]:
        """Remove and return facts that exceed their maximum age."""
        outdated = [
            fact
            for fact in self.facts_by_key.values()
            if is_outdated(fact, now)
        ]
        for fact in outdated:
            self.facts_by_key.pop(facts.get_key(fact))
        return outdated

    def list_versions(self) -> dict[str, facts.Version]:
        """Return the version of each key, the content of a digest."""
        return {
            key: facts.get_version(fact)
            for key, fact in self.facts_by_key.items()
        }


def is_outdated(fact: facts.Fact, now: float) -> bool:
    """Return whether a fact is too old to be stored or sent."""
    if isinstance(fact, facts.SuspectPart):
        return _is_part_outdated(fact, now)
    limit = MAX_AGES.get(type(fact))
    if limit is None:
        return False
    field, max_age_s = limit
    return now - getattr(fact, field) > max_age_s


def _merge(known: facts.Fact | None, offered: facts.Fact) -> facts.Fact:
    if known is None:
        return offered
    if isinstance(known, facts.SuspectRequest):
        return _merge_suspects(known, offered)
    if isinstance(known, facts.SuspectPart):
        return _merge_parts(known, offered)
    if facts.get_version(offered) > facts.get_version(known):
        return offered
    return known


def _merge_suspects(
    known: facts.SuspectRequest,
    offered: facts.SuspectRequest,
) -> facts.SuspectRequest:
    workers = set(known.workers) | set(offered.workers)
    if len(workers) == len(known.workers):
        return known
    ordered = tuple(sorted(workers))
    at = max(known.noticed_at, offered.noticed_at)
    return dataclasses.replace(known, workers=ordered, noticed_at=at)


def _merge_parts(
    known: facts.SuspectPart, offered: facts.SuspectPart
) -> facts.SuspectPart:
    cleared_at = max(known.cleared_at, offered.cleared_at)
    crashes = suspect_parts.merge_crashes(
        known.crashes, offered.crashes, cleared_at
    )
    merged = facts.SuspectPart(known.part, crashes, cleared_at)
    if merged == known:
        return known
    return merged


def _is_part_outdated(fact: facts.SuspectPart, now: float) -> bool:
    if not fact.crashes:
        return now - fact.cleared_at > CLEARED_PART_MAX_AGE_S
    _, _, latest_at = fact.crashes[-1]
    return now - latest_at > SUSPECT_PART_MAX_AGE_S
