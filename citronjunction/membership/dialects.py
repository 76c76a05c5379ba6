"""What builds read on peer links: kinds of messages and facts, and fields.

Builds from before ``Speaks`` end a link at any kind that they don't know and
at any other number of fields. What they send distinguishes them.
"""

import dataclasses
from collections import abc

import xxhash

from citronjunction.membership import facts

# Ends the nonce of a build that sends ``Speaks`` after its proof. Builds from
# before it accept a nonce of up to 64 bytes; theirs has 32.
NONCE_MARK = b'speaks/1'
NONCE_BYTES = 32
# Key in ``EntryState.queued`` of the number of the entry's dialect. Builds from
# before it look up names of upstreams there, and relay it with the state.
MARK_KEY = '~speaks'


@dataclasses.dataclass(slots=True, frozen=True)
class Dialect:
    """Number of fields that a build reads, by kind of message and fact."""

    field_counts: abc.Mapping[str, int]

    def reads(self, kind: str) -> bool:
        """Return whether the build reads messages or facts of a kind."""
        return kind in self.field_counts

    def reads_key(self, key: str) -> bool:
        """Return whether the build reads facts with the kind of a key."""
        return self.reads(facts.get_kind(key))

    def compute_number(self) -> int:
        """Return a number that differs between dialects."""
        listed = ' '.join(
            f'{kind}/{count}'
            for kind, count in sorted(self.field_counts.items())
        )
        return xxhash.xxh32_intdigest(listed.encode())


# The oldest build that is read, 257d141.
OLDEST = Dialect(
    {
        'hello': 3,
        'proof': 1,
        'facts': 1,
        'digest': 1,
        'want': 1,
        'handover': 8,
        'handover_taken': 2,
        'copy_wanted': 3,
        'copy': 4,
        'copy_changes': 6,
        'entry': 17,
        'load': 10,
        'evidence': 7,
        'evidence_row': 5,
        'configuration': 2,
        'traffic': 3,
        'leaving': 3,
        'leaving_worker': 3,
        'stored_usage': 3,
        'withdrawn': 4,
        'suspect': 3,
        'suspect_part': 3,
    },
)
# The build f5a3360, which also reads facts about workers' constraints.
WITH_CONSTRAINTS = Dialect(
    {
        **OLDEST.field_counts,
        'worker_constraint': 4,
        'full_worker': 3,
        'limited_sends': 5,
        'lost_upstreams': 6,
    },
)
# Builds that name nothing, the oldest first.
SILENT_BUILDS = (OLDEST, WITH_CONSTRAINTS)


def infer(known: Dialect, kinds: abc.Iterable[str]) -> Dialect:
    """Return the dialect of a silent build that has sent facts of kinds.

    It is the oldest with all these kinds, and no older than ``known``.
    """
    sent = set(kinds)
    start = SILENT_BUILDS.index(known)
    for dialect in SILENT_BUILDS[start:]:
        if sent <= dialect.field_counts.keys():
            return dialect
    return known


def mark_nonce(nonce: bytes) -> bytes:
    """Return a nonce that names a build which sends ``Speaks``."""
    return nonce + NONCE_MARK


def is_marked(nonce: bytes) -> bool:
    """Return whether a nonce is that of a build which sends ``Speaks``."""
    return len(nonce) > NONCE_BYTES and nonce.endswith(NONCE_MARK)


def mark_state(state: facts.EntryState, number: int) -> facts.EntryState:
    """Return an entry's state with the number of its dialect."""
    return dataclasses.replace(state, queued={**state.queued, MARK_KEY: number})


def get_number(state: facts.EntryState) -> int:
    """Return the number of an entry's dialect, 0 for a build without one."""
    return state.queued.get(MARK_KEY, 0)
