"""Watches of the platform's store for configuration, workers, rollouts."""

from collections import abc

from citronjunction.gateway import (
    adapters,
    adopting,
    context,
    departures,
    evacuating,
    fleet,
    models,
    rejections,
)
from citronjunction.store import (
    doubts,
    eras,
    mirror,
    outages,
    probing,
    records,
)

RARE_WAIT_FACTOR = 2  # the watch of a kind with rare changes waits longer
REVIVE_INTERVAL_S = 0.5  # between checks that the mirrors go on


def _do_nothing(kind: str) -> None:
    """Ignore the call until a callback is set."""


class Watcher:
    """Mirror configuration, workers and rollouts from the store."""

    def __init__(
        self,
        services: context.Services,
        store: records.Store,
        store_eras: eras.Eras,
        decoder: adapters.Decoder,
        on_configuration: abc.Callable[[], None],
    ) -> None:
        """Build the mirrors of the store.

        ``on_configuration`` is called after a new configuration was applied.
        """
        self.services = services
        self.eras = store_eras
        self.decoder = decoder
        wait_s = services.settings.gateway.watch_s
        rare_wait_s = wait_s * RARE_WAIT_FACTOR
        kinds = {
            decoder.configuration_kind: wait_s,
            decoder.worker_kind: wait_s,
            decoder.rollout_kind: rare_wait_s,
        }
        if services.settings.evacuations.is_followed:
            kinds[decoder.evacuation_kind] = rare_wait_s
        self.mirrors = {
            kind: mirror.Mirror(
                kind,
                store,
                services.timers,
                services.random,
                self,
                kind_wait_s,
            )
            for kind, kind_wait_s in kinds.items()
        }
        self.adopter = adopting.Adopter(
            services,
            self.mirrors[decoder.configuration_kind],
            on_configuration,
        )
        store_eras.subscribe(self._begin_era)
        self.doubts = doubts.Doubts(self.mirrors, services.timers)
        self.probes = self._build_probes(store)
        self.is_suspended = False
        self.is_following = False
        # Whether the peers that are followed may have missed changes.
        self.is_source_unreliable = False
        self.rejections = rejections.Rejections(services)
        self.evacuating = evacuating.Evacuating(
            services, decoder, self.rejections
        )
        # Called with a kind after each change of its mirror.
        self.on_copy_advanced: abc.Callable[[str], None] = _do_nothing
        self.outage = outages.Outage()
        # When an outage of the whole store ended.
        self.recovered_at: float | None = None
        self.restored_at: float | None = None

    @property
    def is_synced(self) -> bool:
        """Return whether all that requests depend on is known."""
        is_known = self.services.fleet.evacuations.is_known
        return is_known and self._has_workers()

    def start(self) -> None:
        """Start all mirrors."""
        for kind_mirror in self.mirrors.values():
            kind_mirror.start()
        for probe in self.probes:
            probe.start()
        self.services.timers.call_every(REVIVE_INTERVAL_S, self._revive)

    def set_following(self, *, is_following: bool) -> None:
        """Follow peers for all kinds, or watch the store again.

        The calls of a fleet to the store then do not grow with its size.
        """
        self.is_following = is_following
        for probe in self.probes:
            probe.is_paused = is_following
        self.is_suspended = False
        for kind_mirror in self.mirrors.values():
            if is_following:
                kind_mirror.follow()
            else:
                kind_mirror.start()

    def poll(self) -> None:
        """List all kinds once while following peers."""
        for kind_mirror in self.mirrors.values():
            kind_mirror.poll()

    def refresh(self, kind: str) -> None:
        """List a kind again, because a peer has a newer copy."""
        kind_mirror = self.mirrors[kind]
        if self.is_following:
            return
        if kind_mirror.is_synced and kind_mirror.is_reachable:
            kind_mirror.start()

    def list_copy(self, kind: str) -> list[records.Record]:
        """Return the records of a kind as peers receive them.

        They include a configuration in force that a restored store lacks. Its
        revision is 0, since that of an earlier era can't be compared.
        """
        listed = dict(self.mirrors[kind].records)
        if kind == self.decoder.configuration_kind:
            kept = self.adopter.get_kept_record()
            if kept is not None:
                listed[kept.name] = kept
        return list(listed.values())

    def offer_copied(
        self,
        kind: str,
        copied: abc.Iterable[records.Record],
    ) -> None:
        """Apply a configuration that a peer keeps from an earlier era."""
        if kind != self.decoder.configuration_kind:
            return
        for record in copied:
            if record.revision == adopting.KEPT_REVISION:
                decoded = self._decode_configuration(record)
                if decoded is not None:
                    self.adopter.offer_copied(record, decoded)

    def on_record(self, kind: str, record: records.Record) -> None:
        """Apply a new or changed object."""
        if kind == self.decoder.configuration_kind:
            self._apply_configuration(record)
        elif kind == self.decoder.worker_kind:
            self._apply_worker(record)
        elif kind == self.decoder.evacuation_kind:
            self.evacuating.apply(record)
        else:
            self._apply_rollout(record)

    def on_removed(self, kind: str, name: str) -> None:
        """End an evacuation; remove a worker after a grace period."""
        if kind == self.decoder.evacuation_kind:
            self.evacuating.remove(name)
        if kind != self.decoder.worker_kind:
            return
        worker = self.services.fleet.mark_absent(name)
        if worker is None:
            return
        grace_s = self._get_grace_s(worker)
        self.services.log.write(
            'worker absent',
            name,
            upstream=worker.registration.upstream,
            grace_s=round(grace_s, 3),
        )
        self.services.timers.call_later(
            grace_s,
            lambda: self._remove_absent(worker),
        )

    def on_rejected(self, kind: str, rejection: records.Rejection) -> None:
        """Report that an object can't be decoded; its last state holds."""
        self.rejections.record(kind, rejection)

    def on_synced(self, kind: str) -> None:
        """Log that the objects of a kind are completely listed."""
        self.services.log.write('synced', kind)
        if kind == self.decoder.worker_kind:
            # Workers listed before may have run for long.
            settings = self.services.settings.pacing
            self.services.fleet.follows_answers = settings.follows_answers
        if kind == self.decoder.evacuation_kind:
            self.evacuating.on_listed()

    def on_advanced(self, kind: str) -> None:
        """Pass a new revision on to the peers that follow this entry."""
        self.on_copy_advanced(kind)

    def on_reachable(self, kind: str, *, is_reachable: bool) -> None:
        """Log the loss or recovery of the store; record the recovery time."""
        now = self.services.timers.now()
        if not is_reachable:
            self.outage.begin(kind, now)
            self.doubts.on_unreachable(kind)
        elif self.outage.end(kind, now):
            self.recovered_at = now
        self.services.log.write('store', kind, is_reachable=is_reachable)

    def _has_workers(self) -> bool:
        """Return whether configuration and workers are known."""
        return (
            self.services.configuration is not None
            and self.mirrors[self.decoder.worker_kind].is_synced
        )

    def _revive(self) -> None:
        self.evacuating.step(is_rest_known=self._has_workers())
        for kind, kind_mirror in self.mirrors.items():
            if kind_mirror.revive():
                self.services.log.write('mirror restarted', kind)

    def _begin_era(self) -> None:
        era = self.eras.current
        is_first = all(
            kind_mirror.era == eras.UNKNOWN
            for kind_mirror in self.mirrors.values()
        )
        for kind_mirror in self.mirrors.values():
            kind_mirror.begin_era(era)
        if is_first:
            return
        # Workers that the restored copy lacks register again as after an
        # outage.
        self.recovered_at = self.services.timers.now()
        self.restored_at = self.recovered_at
        self.services.rollouts.begin_era(self.recovered_at)
        self.evacuating.begin_era()
        self.services.log.write('store restored', str(era))
        self.services.timers.call_later(
            departures.RESTORED_WORKERS_S, self._apply_restored_workers
        )

    def _apply_restored_workers(self) -> None:
        for record in self.mirrors[self.decoder.worker_kind].records.values():
            self._apply_worker(record)

    def _build_probes(self, store: records.Store) -> list[probing.Probe]:
        """Return a probe of all kinds; one of evacuations, whose bound is short."""
        by_urgency = [
            [self.mirrors[kind] for kind in kinds]
            for kinds in (
                self.mirrors.keys() - {self.decoder.evacuation_kind},
                self.mirrors.keys() & {self.decoder.evacuation_kind},
            )
        ]
        return [
            probing.Probe(
                store,
                self.services.timers,
                checked,
                self._on_probe,
                self.doubts.on_overdue,
            )
            for checked in by_urgency
            if checked
        ]

    def _has_fresh_answer(self) -> bool:
        """Return whether the store has just answered another call."""
        now = self.services.timers.now()
        return now - self.doubts.get_answered_at() < probing.INTERVAL_S

    def _on_probe(
        self, probed: probing.Mirrored, result: records.ListResult
    ) -> None:
        self.doubts.on_probed()
        match result:
            case records.Unavailable() if self._has_fresh_answer():
                return
            case records.Unavailable(reason=reason):
                if not self.is_suspended:
                    self.services.log.write('store probe failed', reason)
                self.is_suspended = True
                for kind_mirror in self.mirrors.values():
                    kind_mirror.suspend()
            case _ if self.is_suspended:
                self.is_suspended = False
                for kind_mirror in self.mirrors.values():
                    kind_mirror.start()
            case records.Page():
                probed.check_changes(result)

    def _get_grace_s(self, worker: fleet.Worker) -> float:
        now = self.services.timers.now()
        if self.recovered_at is not None:
            since_recovery_s = now - self.recovered_at
            if since_recovery_s < fleet.OUTAGE_GRACE_S:
                return (
                    fleet.OUTAGE_GRACE_S
                    - since_recovery_s
                    + fleet.ABSENT_GRACE_S / 2
                )
        is_draining = worker.registration.state is models.WorkerState.draining
        # A removal that an unreliable source has missed may be as old as the
        # grace period.
        if is_draining or self.is_source_unreliable:
            return 0
        return fleet.ABSENT_GRACE_S

    def _remove_absent(self, worker: fleet.Worker) -> None:
        if worker.is_absent and not worker.is_retired:
            now = self.services.timers.now()
            self.services.fleet.retire(worker, now, is_final=worker.is_draining)
            self.services.client.pool.drop(worker.registration.address)
            self.services.log.write('worker removed', worker.registration.name)

    def _apply_configuration(self, record: records.Record) -> None:
        decoded = self._decode_configuration(record)
        if decoded is not None:
            self.adopter.offer_stored(record, decoded)

    def _decode_configuration(
        self, record: records.Record
    ) -> models.Configuration | None:
        if record.name != self.decoder.configuration_name:
            return None
        return self.decoder.decode_configuration(record.spec)

    def _apply_worker(self, record: records.Record) -> None:
        registration = self.decoder.decode_worker(record.name, record.spec)
        if registration is None:
            return
        services = self.services
        now = services.timers.now()
        departure = services.fleet.find_departure(registration)
        if departure and not departure.is_over(self.restored_at, now):
            return
        known = services.fleet.workers.get(registration.name)
        before = known and known.registration
        was_draining = known is not None and known.is_draining
        was_cold = known is not None and services.fleet.is_cold(known, now)
        worker = services.fleet.register(registration, now)
        if services.fleet.is_cold(worker, now) and not was_cold:
            services.log.write(
                'worker cold',
                registration.name,
                upstream=registration.upstream,
                for_s=round(worker.cold_until - now, 3),
                stated_s=registration.warmup_s,
            )
        if worker.is_draining and not (worker is known and was_draining):
            services.observer.on_worker_draining(worker)
        if before is None or _is_changed(before, registration):
            services.log.write(
                'worker',
                registration.name,
                upstream=registration.upstream,
                zone=registration.zone,
                state=registration.state.value,
                version=registration.version,
                is_reclaimable=registration.is_reclaimable,
                revision=record.revision,
                running=worker.total_running,
            )

    def _apply_rollout(self, record: records.Record) -> None:
        rollout = self.decoder.decode_rollout(record)
        now = self.services.timers.now()
        if rollout is not None and self.services.rollouts.update(rollout, now):
            self.services.log.write(
                'rollout',
                rollout.upstream,
                target=rollout.target,
                state=rollout.state.value if rollout.state else '',
            )


def _is_changed(
    before: models.WorkerRegistration, after: models.WorkerRegistration
) -> bool:
    return (before.state, before.started_at_ms, before.version) != (
        after.state,
        after.started_at_ms,
        after.version,
    )
