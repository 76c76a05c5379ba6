"""Budget of the bytes of all request bodies in progress."""

from collections import abc

from citronjunction.conf import models

NO_ROOM = 'the bodies of the requests in progress take all room'
SMALL_BYTES = 16384
SMALL_RESERVE = 0.125  # of ``max_bodies``, for small bodies beside large ones


class BodyBudget:
    """Reserve bytes for bodies; one body always fits."""

    __slots__ = ('reserved', 'settings', 'total')

    def __init__(self, settings: models.Http) -> None:
        self.settings = settings
        self.reserved: dict[abc.Hashable, int] = {}
        self.total = 0

    def reserve(self, owner: abc.Hashable, size: int) -> bool:
        """Reserve bytes in all for an owner; return whether there is room."""
        known = self.reserved.get(owner, 0)
        if size <= known:
            return True
        total = self.total - known + size
        limit = self.settings.max_bodies
        if size <= SMALL_BYTES:
            limit += int(limit * SMALL_RESERVE)
        if total > limit and total > size:
            return False
        self.reserved[owner] = size
        self.total = total
        return True

    def release(self, owner: abc.Hashable) -> None:
        """Free what an owner has reserved."""
        self.total -= self.reserved.pop(owner, 0)
