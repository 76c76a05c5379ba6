"""Use of a quota in a sliding window, without I/O."""

import collections
import dataclasses
import itertools
from collections import abc

BUCKET_S = 0.1  # resolution of the window


@dataclasses.dataclass(slots=True)
class Bucket:
    """Use within a short time; it leaves the window with its last use."""

    started_at: float
    ended_at: float
    used: float


class UseWindow:
    """Sum of the use in a sliding window; times are monotonic seconds."""

    __slots__ = ('buckets', 'total', 'window_s')

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.buckets: collections.deque[Bucket] = collections.deque()
        self.total: float = 0

    def add(self, used: float, now: float) -> Bucket:
        """Add use and return the bucket that it is in."""
        if not self.buckets or now - self.buckets[-1].started_at >= BUCKET_S:
            self.buckets.append(Bucket(now, now, 0))
        bucket = self.buckets[-1]
        bucket.ended_at = max(bucket.ended_at, now)
        bucket.used += used
        self.total += used
        return bucket

    def take_back(self, bucket: Bucket, used: float, now: float) -> bool:
        """Remove use from its bucket; return whether it was in the window."""
        if self._has_left(bucket, now):
            return False
        bucket.used -= used
        self.total -= used
        return True

    def take_back_oldest(self, used: float, now: float) -> None:
        """Remove use of an unknown time.

        The rest leaves the window no sooner than if that time were known.
        """
        self.measure(now)
        left = used
        for bucket in self.buckets:
            taken = min(left, bucket.used)
            bucket.used -= taken
            self.total -= taken
            left -= taken

    def measure(self, now: float) -> float:
        """Return the use of the window that ends now."""
        while self.buckets and self._has_left(self.buckets[0], now):
            self.total -= self.buckets.popleft().used
        if not self.buckets:
            self.total = 0  # drops rounding errors
        return self.total

    def measure_since(self, start: float) -> float:
        """Return the use after a time in the window."""
        recent = itertools.takewhile(
            lambda bucket: bucket.ended_at > start, reversed(self.buckets)
        )
        return sum(bucket.used for bucket in recent)

    def restore(self, past: abc.Iterable[Bucket]) -> None:
        """Add earlier use."""
        merged = [*self.buckets, *past]
        merged.sort(key=lambda bucket: bucket.ended_at)
        self.buckets = collections.deque(merged)
        self.total = sum(bucket.used for bucket in merged)

    def _has_left(self, bucket: Bucket, now: float) -> bool:
        return bucket.ended_at <= now - self.window_s


def export(windows: abc.Iterable[UseWindow], now: float) -> list[list[float]]:
    """Return pairs of an age in whole seconds and the use at that age."""
    by_age: dict[int, float] = {}
    for window in windows:
        window.measure(now)
        for bucket in window.buckets:
            age = int(now - bucket.ended_at)
            by_age[age] = by_age.get(age, 0) + bucket.used
    return [[age, used] for age, used in sorted(by_age.items())]


def compute_wait_s(
    windows: abc.Sequence[UseWindow], excess: float, now: float
) -> float:
    """Return the time until ``excess`` use has left the windows."""
    buckets = sorted(
        itertools.chain.from_iterable(window.buckets for window in windows),
        key=lambda bucket: bucket.ended_at,
    )
    left = excess
    window_s = windows[0].window_s
    for bucket in buckets:
        left -= bucket.used
        if left <= 0:
            return max(BUCKET_S, bucket.ended_at + window_s - now)
    return window_s
