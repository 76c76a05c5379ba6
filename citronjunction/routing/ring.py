"""Consistent hash ring of worker names."""

import bisect
from collections import abc

import xxhash

POINTS_PER_WORKER = 16  # virtual nodes


class Ring:
    """Order workers by their distance from a key on the ring."""

    __slots__ = ('names', 'points')

    def __init__(self, names: abc.Iterable[str]) -> None:
        """Place every name at ``POINTS_PER_WORKER`` points."""
        ring_points = []
        for name in names:
            for replica in range(POINTS_PER_WORKER):
                point = xxhash.xxh3_64_intdigest(f'{name}#{replica}'.encode())
                ring_points.append((point, name))
        ring_points.sort()
        self.points = [point for point, _ in ring_points]
        self.names = [name for _, name in ring_points]

    def walk(self, key: int) -> abc.Iterator[str]:
        """Yield each name once, clockwise from the key."""
        seen = set()
        start = bisect.bisect(self.points, key)
        size = len(self.names)
        for step in range(size):
            name = self.names[(start + step) % size]
            if name not in seen:
                seen.add(name)
                yield name
