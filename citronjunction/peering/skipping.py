"""Counts of what peers send that this build does not read."""

import collections

from absl import logging

from citronjunction.membership import packing

MAX_KINDS = 16  # counted one by one and logged once each
OTHERS = 'others'


class SkippedKinds:
    """Count skipped messages and facts by kind; log each kind once."""

    __slots__ = ('counts', 'on_skipped')

    def __init__(self) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        # Receives the kind for each message or fact that was skipped.
        self.on_skipped: packing.OnUnknown = packing.ignore_kind

    def record(self, peer_name: str, kind: str) -> None:
        """Record a message or fact of a peer that was skipped."""
        if kind not in self.counts:
            if len(self.counts) < MAX_KINDS:
                logging.warning(
                    'peer %s sends kind %r, which this build does not read',
                    peer_name,
                    kind,
                )
            else:
                kind = OTHERS
        self.counts[kind] += 1
        self.on_skipped(kind)
