"""Evacuations of data centres, applied as the store or a peer lists them."""

from typing import Protocol

from citronjunction.evacuations import models
from citronjunction.gateway import context, counting, rejections
from citronjunction.store import records

MS_PER_S = 1000


class Decoder(Protocol):
    """Decode stored orders to evacuate data centres."""

    evacuation_kind: str

    def decode_evacuation(
        self, record: records.Record
    ) -> models.Order | records.Rejection:
        """Decode an order, or say why it can't be used."""


class Evacuating:
    """Apply orders to evacuate data centres, and log what follows."""

    __slots__ = ('busy', 'decoder', 'rejections', 'services', 'state')

    def __init__(
        self,
        services: context.Services,
        decoder: Decoder,
        rejected: rejections.Rejections,
    ) -> None:
        self.services = services
        self.decoder = decoder
        self.rejections = rejected
        self.state = services.fleet.evacuations
        # Evacuated data centres in which this entry still has requests.
        self.busy: set[str] = set()

    def apply(self, record: records.Record) -> None:
        """Apply a new or changed order."""
        match self.decoder.decode_evacuation(record):
            case records.Rejection() as rejection:
                self._reject(rejection)
            case models.Order() as order:
                is_new = self.state.begin(order, self._now())
                if not self._is_data_centre(order.zone):
                    self._reject(
                        records.Rejection(order.zone, 'no such data centre')
                    )
                elif is_new:
                    self._log_begin(order)

    def remove(self, name: str) -> None:
        """End an evacuation, or keep it after a restore of the store."""
        ended = self.state.remove(name, self._now())
        if ended is not None:
            self._end(ended)
        elif name in self.state.absent:
            self.services.log.write('evacuation kept', name)

    def begin_era(self) -> None:
        """Record that the store was restored."""
        self.state.begin_era(self._now())

    def on_listed(self) -> None:
        """Record that all orders are known."""
        self.state.is_known = True

    def step(self, *, is_rest_known: bool) -> None:
        """Do what time brings: the end of waits and of the last requests."""
        now = self._now()
        for ended in self.state.expire(now):
            self._end(ended)
        bound_s = self.services.settings.evacuations.bound_ms / MS_PER_S
        if is_rest_known and self.state.assume_none(now, bound_s):
            self.services.log.write(
                'evacuations unknown',
                self.services.settings.process.name,
                waited_s=bound_s,
            )
        for zone in sorted(self.busy):
            if not self._count_running(zone):
                self.busy.discard(zone)
                since = self.state.by_zone[zone].since
                self.services.log.write(
                    'evacuation idle', zone, after_s=round(now - since, 3)
                )

    def _is_data_centre(self, zone: str) -> bool:
        names = self.services.settings.evacuations.zone_names
        return not names or zone in names

    def _reject(self, rejection: records.Rejection) -> None:
        self.rejections.record(self.decoder.evacuation_kind, rejection)

    def _log_begin(self, order: models.Order) -> None:
        self.busy.add(order.zone)
        self._count('begun')
        self.services.log.write(
            'evacuation begun',
            order.zone,
            revision=order.revision,
            workers=len(self.services.fleet.select_zone(order.zone)),
            running=self._count_running(order.zone),
        )

    def _end(self, ended: models.Evacuation) -> None:
        zone = ended.order.zone
        self.busy.discard(zone)
        # Its workers may have become cold shortly before.
        self.services.fleet.expect_cold_zone(zone, self._now())
        if self._is_data_centre(zone):
            self._count('ended')
            self.services.log.write(
                'evacuation ended',
                zone,
                revision=ended.order.revision,
                lasted_s=round(self._now() - ended.since, 3),
                workers=len(self.services.fleet.select_zone(zone)),
            )

    def _count_running(self, zone: str) -> int:
        workers = self.services.fleet.select_zone(zone)
        return sum(worker.running for worker in workers)

    def _count(self, change: str) -> None:
        self.services.counts.record(counting.EvacuationChanged(change))

    def _now(self) -> float:
        return self.services.timers.now()
