"""Execution of claims of idempotency keys in the store."""

import itertools
from collections import abc

from citronjunction.attempts import claims
from citronjunction.entry import models
from citronjunction.store import models as store_models
from citronjunction.store import object_api
from citronjunction.transport import timer_queue
from citronjunction.verdicts import models as verdicts

RECORD_RETRY_DELAY_S = 1.0
MAX_RECORD_TRIES = 3600  # to store the result of one request


class ClaimDriver:
    """Perform the reads and writes of one claim.

    ``on_action`` gets the result: run, replay or refuse the request. ``name``
    is the name of the claim in the store.
    """

    __slots__ = (
        'api',
        'claim',
        'is_over',
        'name',
        'on_action',
        'timers',
        'tries',
    )

    def __init__(
        self,
        api: object_api.ObjectApi,
        timers: timer_queue.TimerQueue,
        claim: claims.Claim,
        name: str,
        on_action: abc.Callable[[claims.Action], None],
    ) -> None:
        self.api = api
        self.timers = timers
        self.claim = claim
        self.name = name
        self.on_action = on_action
        self.is_over = False
        self.tries = 0

    def start(self) -> None:
        """Write the claim; the result goes to ``on_action``."""
        self._perform(self.claim.start())

    def abandon(self) -> None:
        """Mark the request as over; a claim won later is released."""
        self.is_over = True

    def record_answer(
        self, status: int, content_type: str, body: bytes
    ) -> None:
        """Store the answer, with retries while the store fails."""
        answer = claims.build_kept_answer(status, content_type, body)
        self._record(self.claim.complete(answer))

    def record_failure(self, failure: verdicts.Failure) -> None:
        """Release the claim, or record that the request may have run."""
        match failure:
            case verdicts.NotRun():
                self._release()
            case verdicts.MayHaveRun():
                self._record(self.claim.mark_unknown())

    def _release(self) -> None:
        if not self.claim.version:
            self._release_unconfirmed()
            return
        self._record(self.claim.release())

    def _perform(self, action: claims.Action) -> None:
        match action:
            case claims.WriteClaim(record=record, expected=expected):
                self.api.write(
                    claims.KIND,
                    self.name,
                    claims.encode_record(record),
                    expected,
                    self._on_write,
                )
            case claims.ReadClaim(delay_s=delay_s):
                self.timers.call_later(delay_s, self._read)
            case claims.Refuse(releases_claim=releases_claim):
                if releases_claim:
                    self._release_unconfirmed()
                self._report(action)
            case _:
                self._report(action)

    def _report(self, action: claims.Action) -> None:
        if self.is_over and isinstance(action, claims.Run):
            self._release()
            return
        self.on_action(action)

    def _read(self) -> None:
        self.api.read(claims.KIND, self.name, self._on_read)

    def _on_write(self, result: store_models.WriteResult) -> None:
        self._perform(self.claim.on_write(result, self.timers.now()))

    def _on_read(self, result: store_models.ReadResult) -> None:
        self._perform(self.claim.on_read(result, self.timers.now()))

    def _record(self, write: claims.WriteClaim) -> None:
        self.tries += 1
        if self.tries > MAX_RECORD_TRIES:
            return
        self.api.write(
            claims.KIND,
            self.name,
            claims.encode_record(write.record),
            write.expected,
            lambda result: self._on_recorded(write, result),
        )

    def _on_recorded(
        self,
        write: claims.WriteClaim,
        result: store_models.WriteResult,
    ) -> None:
        match result:
            case store_models.NotWritten() | store_models.Unknown():
                self.timers.call_later(
                    RECORD_RETRY_DELAY_S,
                    lambda: self._record(write),
                )

    def _release_unconfirmed(self) -> None:
        """Release a claim whose unconfirmed create may have succeeded."""
        self.tries += 1
        if self.tries > MAX_RECORD_TRIES:
            return
        self.timers.call_later(
            RECORD_RETRY_DELAY_S,
            lambda: self.api.read(
                claims.KIND, self.name, self._on_unconfirmed_read
            ),
        )

    def _on_unconfirmed_read(self, result: store_models.ReadResult) -> None:
        match result:
            case store_models.Unknown():
                self._release_unconfirmed()
            case store_models.Stored(stored_object=stored):
                record = claims.decode_record(stored.spec)
                if (
                    record
                    and record.operation == self.claim.own_record.operation
                ):
                    self.claim.version = stored.version
                    self._record(self.claim.release())


class ClaimFactory:
    """Build claims for the requests of one entry process.

    ``is_alive`` returns whether the entry process of a name and an incarnation
    may be running.
    """

    __slots__ = (
        'api',
        'incarnation',
        'is_alive',
        'name',
        'operation_numbers',
        'timers',
    )

    def __init__(
        self,
        api: object_api.ObjectApi,
        timers: timer_queue.TimerQueue,
        name: str,
        incarnation: int,
        is_alive: abc.Callable[[str, int], bool],
    ) -> None:
        self.api = api
        self.timers = timers
        self.name = name
        self.incarnation = incarnation
        self.is_alive = is_alive
        self.operation_numbers = itertools.count()

    def build(
        self,
        request: models.CallerRequest,
        deadline_at: float,
        on_action: abc.Callable[[claims.Action], None],
    ) -> ClaimDriver:
        """Return the driver of a request's claim."""
        number = next(self.operation_numbers)
        record = claims.ClaimRecord(
            request.fingerprint,
            self.name,
            self.incarnation,
            f'{self.name}/{self.incarnation}/{number}',
            round(self.timers.wall_time(), 3),
        )
        name = claims.compute_object_name(
            request.organisation.name,
            request.upstream.name,
            request.key,
        )
        claim = claims.Claim(record, deadline_at, self.is_alive)
        return ClaimDriver(self.api, self.timers, claim, name, on_action)
