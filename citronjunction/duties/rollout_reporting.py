"""Reports of the states of rollouts, written under the duties lease."""

from collections import abc

from citronjunction.duties import models
from citronjunction.gateway import models as gateway
from citronjunction.gateway import context, watching
from citronjunction.store import records


class RolloutReporter:
    """Write the states of rollouts to the store."""

    __slots__ = ('in_flight', 'services', 'store', 'watcher')

    def __init__(
        self,
        services: context.Services,
        store: records.Store,
        watcher: watching.Watcher,
    ) -> None:
        self.services = services
        self.store = store
        self.watcher = watcher
        self.in_flight: set[str] = set()

    def step(self, get_fence: abc.Callable[[], models.Fence | None]) -> None:
        """Write the states that are due, one per upstream at a time."""
        now = self.services.timers.now()
        for upstream in self.services.rollouts.trials:
            state = self.services.rollouts.decide(upstream, now)
            if (
                state is not None
                and upstream not in self.in_flight
                and get_fence()
            ):
                self._write(upstream, state)

    def _write(self, upstream: str, state: gateway.RolloutState) -> None:
        decoder = self.watcher.decoder
        kind = decoder.rollout_kind
        mirror = self.watcher.mirrors[kind]
        record = mirror.records.get(upstream)
        if record is None:
            return
        trial = self.services.rollouts.trials[upstream]
        target = trial.rollout.target
        self.in_flight.add(upstream)
        self.services.log.write(
            'report rollout',
            upstream,
            target=target,
            state=state.value,
            reason=trial.withdrawal_reason,
        )
        self.store.replace_status(
            kind,
            upstream,
            decoder.encode_rollout_status(target, state),
            record.revision,
            lambda result: self._on_written(upstream, result),
        )

    def _on_written(self, upstream: str, result: records.WriteResult) -> None:
        self.in_flight.discard(upstream)
        match result:
            case records.Record():
                pass
            case _:
                self.services.log.write(
                    'rollout not reported',
                    upstream,
                    result=type(result).__name__,
                )
