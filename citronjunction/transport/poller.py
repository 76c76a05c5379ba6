"""Poller whose registrations take constant time, however many sockets."""

from circuits.core import pollers


class DescriptorSet(dict):
    """Set of descriptors with the list methods that circuits calls."""

    def append(self, descriptor: object) -> None:
        """Add a descriptor."""
        self[descriptor] = None

    def remove(self, descriptor: object) -> None:
        """Remove a descriptor."""
        self.pop(descriptor, None)


class HashedPoller(pollers.EPoll):
    """Epoll poller that looks up descriptors in constant time."""

    channel = 'epoll'

    def __init__(self) -> None:
        """Replace the lists of circuits, in which a lookup takes linear time."""
        super().__init__()
        readers = DescriptorSet()
        for descriptor in self._read:
            readers.append(descriptor)
        self._read = readers
        self._write = DescriptorSet()
