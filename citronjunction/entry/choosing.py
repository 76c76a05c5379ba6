"""Selection of the worker for an attempt, and its log line."""

import dataclasses

from citronjunction.attempts import models as attempts
from citronjunction.entry import models, state
from citronjunction.routing import models as routing
from citronjunction.routing import prefixes


class Chooser:
    """Choose workers for the attempts of one request.

    ``prefixes`` are hashes of the prompt's prefixes, shortest first.
    """

    __slots__ = ('entry', 'prefixes', 'request', 'retry_state')

    def __init__(
        self,
        entry: state.EntryState,
        request: models.CallerRequest,
        retry_state: attempts.RetryState,
    ) -> None:
        self.entry = entry
        self.request = request
        self.retry_state = retry_state
        self.prefixes: tuple[int, ...] = ()
        if isinstance(request.detail, models.Completion):
            self.prefixes = prefixes.hash_prefixes(request.detail.prompt)

    def choose(self, version: str) -> routing.Choice | routing.NoWorker:
        """Return a worker for the version, or the reason why there is none.

        A request that may have crashed workers gets no worker that runs
        another such request. Workers at which the request has failed are used
        again only if no other is eligible.
        """
        excluded = set(self.retry_state.excluded)
        now = self.entry.clock.now()
        suspects = self.entry.suspects
        if suspects.is_suspect(self.request.fingerprint, now):
            excluded.update(suspects.reserved_workers)
        query = routing.Query(
            self.request.upstream.name,
            version,
            self.prefixes,
            frozenset(excluded),
        )
        choice = self.entry.router.choose(query, now)
        if isinstance(choice, routing.NoWorker) and self.retry_state.excluded:
            self.retry_state.excluded.clear()
            query = dataclasses.replace(
                query,
                excluded=frozenset(excluded & set(suspects.reserved_workers)),
            )
            choice = self.entry.router.choose(query, now)
        return choice

    def log_choice(
        self,
        choice: routing.Choice | routing.NoWorker,
        version: str,
    ) -> None:
        """Log the chosen worker or why there is none."""
        details: dict[str, object] = {
            'organisation': self.request.organisation.name,
            'upstream': self.request.upstream.name,
            'version': version,
            'attempt': self.retry_state.attempts + 1,
        }
        match choice:
            case routing.Choice():
                details.update(
                    worker=choice.worker.name,
                    among=choice.candidates,
                    reason=choice.reason,
                    score=choice.score,
                )
            case routing.NoWorker(reason=reason):
                details.update(worker=None, reason=reason)
        self.entry.log.write('route', self.request.name, **details)
