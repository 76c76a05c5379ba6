"""Requests that may have caused crashes of workers.

A request that ran on a worker when it crashed is a suspect, identified by
its fingerprint. It is refused once enough workers have crashed under it.
"""

import dataclasses

import xxhash

from citronjunction.conf import models as conf

MAX_SUSPECTS = 10000
QUICK_CRASH_S = 2.0  # a crash within this run time always counts
# A crash after more than this multiple of the run time at the previous crash
# does not count.
OUTLIVED_FACTOR = 2.0


def compute_fingerprint(organisation: str, path: str, body: bytes) -> int:
    """Return a hash that is equal for resends of the same request."""
    digest = xxhash.xxh3_64(f'{organisation} {path}\n'.encode())
    digest.update(body)
    return digest.intdigest()


def compute_part_id(model: str, part: str) -> int:
    """Return a hash of a part of a model's prompts."""
    return xxhash.xxh3_64_intdigest(f'{model} {part}'.encode())


@dataclasses.dataclass(slots=True, frozen=True)
class Traits:
    """Identify a request and the parts of its prompt that others share."""

    fingerprint: int
    parts: tuple[int, ...]


@dataclasses.dataclass(slots=True)
class Suspect:
    """Record the workers that crashed while a request ran on them.

    ``run_time_s`` is the time from sending the request to the last crash under
    it at this entry, or 0 if only peers reported crashes.
    """

    workers: frozenset[str]
    expires_at: float
    run_time_s: float = 0


class Suspects:
    """Track the suspects of this entry and its peers.

    ``reserved_workers`` maps each worker that runs a suspect to the
    suspect's fingerprint, which keeps other suspects from the worker.
    """

    __slots__ = ('by_fingerprint', 'reserved_workers', 'settings')

    def __init__(self, settings: conf.Attempts) -> None:
        self.settings = settings
        self.by_fingerprint: dict[int, Suspect] = {}
        self.reserved_workers: dict[str, int] = {}

    def is_likely_cause(
        self,
        fingerprint: int,
        run_time_s: float,
        now: float,
    ) -> bool:
        """Return whether a worker's crash counts against a request it ran.

        A request that ran much longer than at its previous crash most likely
        only shared a worker with the request that caused a crash.
        """
        suspect = self._get(fingerprint, now)
        if suspect is None or run_time_s < QUICK_CRASH_S:
            return True
        previous_run_time_s = suspect.run_time_s
        suspect.run_time_s = run_time_s
        return run_time_s <= previous_run_time_s * OUTLIVED_FACTOR

    def record_crash(
        self,
        fingerprint: int,
        workers: frozenset[str],
        now: float,
        run_time_s: float = 0,
    ) -> bool:
        """Add crashed workers to a suspect; return whether any is new."""
        existing = self.by_fingerprint.get(fingerprint)
        known_workers = existing.workers if existing else frozenset()
        all_workers = known_workers | workers
        if all_workers == known_workers:
            return False
        if len(self.by_fingerprint) >= MAX_SUSPECTS:
            self._expire(now)
        if existing is not None and not run_time_s:
            # A peer's report does not tell how long the request ran.
            run_time_s = existing.run_time_s
        expires_at = now + self.settings.suspect_s
        self.by_fingerprint[fingerprint] = Suspect(
            all_workers, expires_at, run_time_s
        )
        return True

    def is_refused(self, fingerprint: int, now: float) -> bool:
        """Return whether the request has crashed too many workers."""
        suspect = self._get(fingerprint, now)
        if suspect is None:
            return False
        return len(suspect.workers) >= self.settings.suspect_crashes

    def is_suspect(self, fingerprint: int, now: float) -> bool:
        """Return whether a worker has crashed under the request."""
        return self._get(fingerprint, now) is not None

    def clear(self, fingerprint: int) -> None:
        """Remove a request that a worker has answered."""
        self.by_fingerprint.pop(fingerprint, None)

    def reserve_worker(self, worker: str, fingerprint: int) -> None:
        """Reserve a worker so that no other suspect runs on it."""
        self.reserved_workers[worker] = fingerprint

    def release_worker(self, worker: str, fingerprint: int) -> None:
        """Release a worker if the request has reserved it."""
        if self.reserved_workers.get(worker) == fingerprint:
            self.reserved_workers.pop(worker)

    def _get(self, fingerprint: int, now: float) -> Suspect | None:
        suspect = self.by_fingerprint.get(fingerprint)
        if suspect is not None and now >= suspect.expires_at:
            self.by_fingerprint.pop(fingerprint)
            return None
        return suspect

    def _expire(self, now: float) -> None:
        expired_keys = [
            key
            for key, suspect in self.by_fingerprint.items()
            if now >= suspect.expires_at
        ]
        for key in expired_keys:
            self.by_fingerprint.pop(key)
        while len(self.by_fingerprint) >= MAX_SUSPECTS:
            self.by_fingerprint.pop(next(iter(self.by_fingerprint)))
