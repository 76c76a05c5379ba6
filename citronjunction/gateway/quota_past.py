"""Use before the start of an entry, and spans of unknown use, without I/O.

In such a span the use is assumed to have been at the limit.
"""

import dataclasses

from citronjunction.gateway import quota_peers, quota_window

AGE_RESOLUTION_S = 1.0  # of saved use, whose age is rounded down


@dataclasses.dataclass(slots=True, frozen=True)
class SavedUse:
    """Use by all entries as a checkpoint of an age has it.

    ``used`` holds pairs of an age and the use at that age by organisation,
    ``totals`` the last reports of the entries. ``entries`` is the number that
    served, 0 if unknown. Unless ``is_complete``, use may be missing.
    """

    used: dict[str, list[list[float]]]
    age_s: float
    is_complete: bool = True
    entries: int = 0
    totals: dict[str, quota_peers.UseReport] = dataclasses.field(
        default_factory=dict
    )

    @property
    def repeated_s(self) -> float:
        """Return for how long the use of the last second is assumed."""
        return min(AGE_RESOLUTION_S, self.age_s)

    def list_buckets(
        self, organisation: str, started_at: float, now: float
    ) -> list[quota_window.Bucket]:
        """Return the use before a start, with the assumed use after it."""
        saved_at = now - self.age_s
        ages = self.used[organisation]
        buckets = [
            quota_window.Bucket(saved_at - age, saved_at - age, used)
            for age, used in ages
            if saved_at - age - AGE_RESOLUTION_S < started_at
        ]
        last = sum(used for age, used in ages if age < AGE_RESOLUTION_S)
        buckets.append(
            quota_window.Bucket(
                saved_at,
                saved_at + self.repeated_s,
                last * self.repeated_s,
            )
        )
        return buckets


@dataclasses.dataclass(slots=True)
class Span:
    """Time in which the use of a share of the entries is unknown."""

    started_at: float
    ended_at: float
    share: float


class UnknownUse:
    """Measure how much of a window is unknown; times are monotonic seconds."""

    __slots__ = ('spans', 'window_s')

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.spans: list[Span] = []

    def add(self, started_at: float, ended_at: float, share: float) -> Span:
        """Add a span, in which the use of that share of entries is unknown."""
        span = Span(started_at, max(started_at, ended_at), share)
        self.spans.append(span)
        return span

    def reveal(self, span: Span, share: float) -> None:
        """Record that the use of a share of entries in a span is known."""
        span.share = max(0, span.share - share)

    def measure(self, now: float) -> float:
        """Return the share of the limit that is assumed as used.

        It is that of the window that ends now. All of it may have been used at
        the end of a span.
        """
        start = now - self.window_s
        self.spans = [span for span in self.spans if span.ended_at > start]
        return sum(
            span.share
            * min(1, (span.ended_at - span.started_at) / self.window_s)
            for span in self.spans
        )
