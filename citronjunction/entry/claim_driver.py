"""Carries claims of idempotency keys to the store."""

import itertools
from collections import abc

from citronjunction.attempts import claims
from citronjunction.entry import models
from citronjunction.store import models as store_models
from citronjunction.store import object_api
from citronjunction.transport import timer_queue
from citronjunction.verdicts import models as verdicts

RECORD_RETRY_S = 1.0  # delay before a result is recorded again
MAX_RECORD_TRIES = 3600


class ClaimDriver:
    """Run one claim; tells its owner when to run, replay or refuse."""

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
        """Take the store, the claim and the object's name."""
        self.api = api
        self.timers = timers
        self.claim = claim
        self.name = name
        self.on_action = on_action
        self.is_over = False
        self.tries = 0

    def start(self) -> None:
        """Ask for the claim."""
        self._perform(self.claim.start())

    def abandon(self) -> None:
        """Let go of a claim whose request will not run any more."""
        self.is_over = True

    def record_answer(
        self, status: int, content_type: str, body: bytes
    ) -> None:
        """Record the answer, however long that takes."""
        answer = claims.build_kept_answer(status, content_type, body)
        self._record(self.claim.complete(answer))

    def record_failure(self, failure: verdicts.Failure) -> None:
        """Record what a failed request's verdict says about its run."""
        match failure:
            case verdicts.NotRun():
                self._release()
            case verdicts.MayHaveRun():
                self._record(self.claim.mark_unknown())

    def _release(self) -> None:
        if not self.claim.version:
            self._release_unknown()
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
                    self._release_unknown()
                self._decide(action)
            case _:
                self._decide(action)

    def _decide(self, action: claims.Action) -> None:
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
            lambda result: self._after_record(write, result),
        )

    def _after_record(
        self,
        write: claims.WriteClaim,
        result: store_models.WriteResult,
    ) -> None:
        match result:
            case store_models.NotWritten() | store_models.Unknown():
                self.timers.call_later(
                    RECORD_RETRY_S,
                    lambda: self._record(write),
                )

    def _release_unknown(self) -> None:
        """Free a claim whose create may have taken effect unseen."""
        self.tries += 1
        if self.tries > MAX_RECORD_TRIES:
            return
        self.timers.call_later(
            RECORD_RETRY_S,
            lambda: self.api.read(claims.KIND, self.name, self._on_stray),
        )

    def _on_stray(self, result: store_models.ReadResult) -> None:
        match result:
            case store_models.Unknown():
                self._release_unknown()
            case store_models.Stored(stored_object=held):
                record = claims.decode_record(held.spec)
                if (
                    record
                    and record.operation == self.claim.own_record.operation
                ):
                    self.claim.version = held.version
                    self._record(self.claim.release())


class ClaimFactory:
    """Build claims for requests of one entry."""

    __slots__ = ('api', 'incarnation', 'is_alive', 'name', 'orders', 'timers')

    def __init__(
        self,
        api: object_api.ObjectApi,
        timers: timer_queue.TimerQueue,
        name: str,
        incarnation: int,
        is_alive: abc.Callable[[str, int], bool],
    ) -> None:
        """Take the store and the identity of the entry."""
        self.api = api
        self.timers = timers
        self.name = name
        self.incarnation = incarnation
        self.is_alive = is_alive
        self.orders = itertools.count()

    def build(
        self,
        request: models.CallerRequest,
        deadline_at: float,
        on_action: abc.Callable[[claims.Action], None],
    ) -> ClaimDriver:
        """Build the claim of a request."""
        order = next(self.orders)
        record = claims.ClaimRecord(
            request.fingerprint,
            self.name,
            self.incarnation,
            f'{self.name}/{self.incarnation}/{order}',
            round(self.timers.wall_time(), 3),
        )
        name = claims.compute_object_name(
            request.organisation.name,
            request.upstream.name,
            request.key,
        )
        claim = claims.Claim(record, deadline_at, self.is_alive)
        return ClaimDriver(self.api, self.timers, claim, name, on_action)
