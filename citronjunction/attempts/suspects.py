"""Requests that were running when workers crashed."""

import dataclasses

import xxhash

from citronjunction.conf import models as conf

MAX_SUSPECTS = 10000
QUICK_CRASH_S = 2.0  # crashes this soon always count against a request
OUTLIVED_FACTOR = 2.0  # times the service before the earlier crash


def compute_fingerprint(organisation: str, path: str, body: bytes) -> int:
    """Hash what makes two requests the same."""
    digest = xxhash.xxh3_64(f'{organisation} {path}\n'.encode())
    digest.update(body)
    return digest.intdigest()


@dataclasses.dataclass(slots=True)
class Suspect:
    """Count the workers that crashed under a request.

    ``served_s`` is how long the request had run at the last crash seen here.
    """

    workers: frozenset[str]
    until: float
    run_time_s: float = 0


class Suspects:
    """Hold suspects of this entry and its peers."""

    __slots__ = ('held', 'reserved_workers', 'settings')

    def __init__(self, settings: conf.Attempts) -> None:
        """Take the number of crashes that refuse a request."""
        self.settings = settings
        self.held: dict[int, Suspect] = {}
        self.reserved_workers: dict[str, int] = {}

    def is_likely_cause(
        self,
        fingerprint: int,
        run_time_s: float,
        now: float,
    ) -> bool:
        """Tell whether a crash counts against a request that ran there.

        A request that outlived its earlier crash by far was most likely
        beside another's crash.
        """
        suspect = self._get(fingerprint, now)
        if suspect is None or run_time_s < QUICK_CRASH_S:
            return True
        earlier_s = suspect.run_time_s
        suspect.run_time_s = run_time_s
        return run_time_s <= earlier_s * OUTLIVED_FACTOR

    def record_crash(
        self,
        fingerprint: int,
        workers: frozenset[str],
        now: float,
        run_time_s: float = 0,
    ) -> bool:
        """Add crashed workers to a suspect; tell whether that is news."""
        known = self.held.get(fingerprint)
        before = known.workers if known else frozenset()
        merged = before | workers
        if merged == before:
            return False
        if len(self.held) >= MAX_SUSPECTS:
            self._expire(now)
        until = now + self.settings.suspect_s
        self.held[fingerprint] = Suspect(merged, until, run_time_s)
        return True

    def is_refused(self, fingerprint: int, now: float) -> bool:
        """Tell whether the request crashed too many workers."""
        suspect = self._get(fingerprint, now)
        if suspect is None:
            return False
        return len(suspect.workers) >= self.settings.suspect_crashes

    def is_suspect(self, fingerprint: int, now: float) -> bool:
        """Tell whether a worker has crashed under the request."""
        return self._get(fingerprint, now) is not None

    def clear(self, fingerprint: int) -> None:
        """Forget a request that a worker has answered."""
        self.held.pop(fingerprint, None)

    def reserve_worker(self, worker: str, fingerprint: int) -> None:
        """Keep other suspects away from a worker."""
        self.reserved_workers[worker] = fingerprint

    def release_worker(self, worker: str, fingerprint: int) -> None:
        """Let other suspects use a worker again."""
        if self.reserved_workers.get(worker) == fingerprint:
            self.reserved_workers.pop(worker)

    def _get(self, fingerprint: int, now: float) -> Suspect | None:
        suspect = self.held.get(fingerprint)
        if suspect is not None and now >= suspect.until:
            self.held.pop(fingerprint)
            return None
        return suspect

    def _expire(self, now: float) -> None:
        old = [key for key, held in self.held.items() if now >= held.until]
        for key in old:
            self.held.pop(key)
        while len(self.held) >= MAX_SUSPECTS:
            self.held.pop(next(iter(self.held)))
