"""Outlier ejection of one worker, without I/O; times are monotonic seconds.

Consecutive failures indicate a worker that is down. A worker that fails only
some requests is detected by the share of all entries' recent requests that
failed there.
"""

import collections

CONSECUTIVE_FAILURES = 3  # failed or unanswered requests until ejection
FIRST_EJECTION_S = 1.0  # doubles; a crashed worker returns in some seconds
MAX_EJECTION_S = 8.0
MAX_DOUBLINGS = 8  # of the time of an ejection
UNREACHABLE_S = 0.5  # ejection after one failed connection attempt
WINDOW_S = 3.0  # window in which answers and failures are counted
BUCKET_S = 0.5  # resolution of the window
# Time after an ejection for which peers still get the counts that led to it;
# shorter than an ejection, so that a peer does not eject twice for them.
EVIDENCE_S = 0.6
# Failures at all entries in the window before the failure share is considered.
MIN_OUTLIER_FAILURES = 5
# Usual error rates stay far below, even where a seventh of the reads fail.
OUTLIER_FAILURE_SHARE = 0.5
# Answers without failure that are assumed in addition, so that a single failure
# says little.
ASSUMED_ANSWERS = 4
BACKOFF_RESET_S = 20.0  # time without failures that resets the ejection time


class Health:
    """Count the failures of a worker and eject it with exponential backoff."""

    __slots__ = (
        'consecutive_failures',
        'ejected_until',
        'ejections',
        'evidence',
        'evidence_until',
        'failed_at',
        'peer_answers',
        'peer_failures',
        'recent',
    )

    def __init__(self) -> None:
        self.consecutive_failures = 0
        self.ejections = 0
        self.ejected_until: float = 0
        self.failed_at: float = 0
        self.peer_answers = 0
        self.peer_failures = 0
        # Own answers and failures that led to the last ejection.
        self.evidence = (0, 0)
        self.evidence_until: float = 0
        # Items are a bucket's start, its answers of any kind, its failures.
        self.recent: collections.deque[list[float]] = collections.deque()

    def is_ejected(self, now: float) -> bool:
        """Return whether the worker is ejected at a time."""
        return now < self.ejected_until

    def record_success(self, now: float) -> None:
        """Record an answer that was not a failure."""
        self.consecutive_failures = 0
        self._count(now, 0)

    def record_failure(self, now: float) -> bool:
        """Record a failure; return whether it newly ejects the worker."""
        if now - self.failed_at > BACKOFF_RESET_S:
            self.ejections = 0
        self.failed_at = now
        self.consecutive_failures += 1
        self._count(now, 1)
        if self.is_ejected(now):
            return False
        if self.consecutive_failures < CONSECUTIVE_FAILURES:
            return self.eject_if_outlier(now)
        self._eject(now, FIRST_EJECTION_S)
        return True

    def set_peer_counts(self, answers: int, failures: int) -> None:
        """Replace the recent counts of the other entries."""
        self.peer_answers = answers
        self.peer_failures = failures

    def eject_if_outlier(self, now: float) -> bool:
        """Eject the worker for its failure share; return whether it did."""
        if self.is_ejected(now) or not self._is_outlier(now):
            return False
        self._eject(now, FIRST_EJECTION_S)
        return True

    def measure(self, now: float) -> tuple[int, int]:
        """Return this entry's recent answers and failures."""
        while self.recent and self.recent[0][0] <= now - WINDOW_S:
            self.recent.popleft()
        answers = sum(count for _, count, _ in self.recent)
        failures = sum(count for _, _, count in self.recent)
        return int(answers), int(failures)

    def measure_for_peers(self, now: float) -> tuple[int, int]:
        """Return the counts to report, with those of a recent ejection."""
        answers, failures = self.measure(now)
        if now >= self.evidence_until:
            return answers, failures
        return answers + self.evidence[0], failures + self.evidence[1]

    def get_failure_share(self, now: float) -> float:
        """Return the share of all entries' recent requests that failed."""
        if not self.peer_failures and now - self.failed_at > WINDOW_S:
            return 0
        answers, failures = self.measure(now)
        answers += self.peer_answers
        return (failures + self.peer_failures) / (answers + ASSUMED_ANSWERS)

    def record_unreachable(self, now: float) -> None:
        """Record a failed connection attempt and eject the worker."""
        self.failed_at = now
        if not self.is_ejected(now):
            self._eject(now, UNREACHABLE_S)

    def _count(self, now: float, failures: int) -> None:
        start = now - now % BUCKET_S
        if not self.recent or self.recent[-1][0] < start:
            self.recent.append([start, 0, 0])
        self.recent[-1][1] += 1
        self.recent[-1][2] += failures

    def _is_outlier(self, now: float) -> bool:
        answers, failures = self.measure(now)
        answers += self.peer_answers
        failures += self.peer_failures
        if failures < MIN_OUTLIER_FAILURES:
            return False
        return failures >= OUTLIER_FAILURE_SHARE * answers

    def _eject(self, now: float, base_s: float) -> None:
        self.evidence = self.measure(now)
        self.evidence_until = now + EVIDENCE_S
        # The next ejection by share must not count the same failures again.
        self.recent.clear()
        self.set_peer_counts(0, 0)
        ejection_s = min(MAX_EJECTION_S, base_s * 2**self.ejections)
        self.ejections = min(MAX_DOUBLINGS, self.ejections + 1)
        self.ejected_until = now + ejection_s
