"""Which data centres are evacuated, without I/O; times are monotonic seconds."""

from citronjunction.evacuations import models

# Time after a restore of the store in which an order that the copy lacks may be
# written again.
RESTORED_ORDERS_S = 4.5
# The time to return when all workers are evacuated follows the time that the
# evacuation has lasted, within these bounds.
MIN_RETURN_S = 1.0
MAX_RETURN_S = 5.0


class Evacuations:
    """Data centres whose workers get no requests.

    While it is not known which these are, all are closed.
    """

    __slots__ = ('absent', 'by_zone', 'is_known', 'kept_until', 'unknown_since')

    def __init__(self, *, is_known: bool = True) -> None:
        self.by_zone: dict[str, models.Evacuation] = {}
        self.is_known = is_known
        self.unknown_since: float | None = None
        # In force although a restored store lacks their orders.
        self.absent: set[str] = set()
        self.kept_until = float('-inf')

    def closes(self, zone: str) -> bool:
        """Return whether the workers of a data centre get no requests."""
        return zone in self.by_zone or not self.is_known

    def begin(self, order: models.Order, now: float) -> bool:
        """Apply an order; return whether the data centre was open before."""
        self.absent.discard(order.zone)
        known = self.by_zone.get(order.zone)
        since = now if known is None else known.since
        self.by_zone[order.zone] = models.Evacuation(order, since)
        return known is None

    def remove(self, zone: str, now: float) -> models.Evacuation | None:
        """End an evacuation whose order was removed, and return it.

        After a restore of the store, keep it for a while and return None.
        """
        if now < self.kept_until:
            if zone in self.by_zone:
                self.absent.add(zone)
            return None
        self.absent.discard(zone)
        return self.by_zone.pop(zone, None)

    def begin_era(self, now: float) -> None:
        """Record that the store was restored and may lack orders."""
        self.kept_until = now + RESTORED_ORDERS_S

    def expire(self, now: float) -> list[models.Evacuation]:
        """End and return the evacuations that were not ordered again."""
        if now < self.kept_until:
            return []
        ended = [self.by_zone.pop(zone) for zone in sorted(self.absent)]
        self.absent.clear()
        return ended

    def assume_none(self, now: float, wait_s: float) -> bool:
        """Open all unlisted data centres if none were listed for a time.

        Call it while all else is known; return whether this ends the wait.
        """
        if self.is_known:
            return False
        if self.unknown_since is None:
            self.unknown_since = now
        self.is_known = now - self.unknown_since >= wait_s
        return self.is_known

    def get_return_s(self, now: float) -> float:
        """Return when a caller that found all closed should return.

        The end of an evacuation is not known, so the time follows that of the
        latest one until now.
        """
        since = max(
            (evacuation.since for evacuation in self.by_zone.values()),
            default=now,
        )
        return min(MAX_RETURN_S, max(MIN_RETURN_S, now - since))
