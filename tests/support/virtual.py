"""Virtual clock, network and hosts for tests of the production code.

Only the event loop and the sockets are replaced. Times are in seconds.
"""

import collections
import heapq
import itertools
import random

from citronjunction.transport import http_client, sockets

LATENCY_S = 0.001
WALL_TIME_OFFSET_S = 1_800_000_000.0
# When TCP sends unacknowledged bytes again, and when it gives up.
REPEATS_S = (0.2, 0.6, 1.4, 3.0)
USER_TIMEOUT_S = 3.5


class World:
    """Run the events of all hosts in the order of their times."""

    def __init__(self, seed=0):
        self.now = 100.0
        self.events = []
        self.sequence = itertools.count()
        self.random = random.Random(seed)
        self.hosts = {}
        self.listeners = {}
        self.partitions = set()
        self.refusals = set()
        # As by a TCP user timeout; None: bytes are lost without a trace.
        self.user_timeout_s = None
        # Whether what a partition holds up is delivered once it has healed,
        # unless its sender has reset the connection.
        self.holds_bytes = False
        self.queues = collections.defaultdict(list)  # by connection
        # By address: the bytes that a host takes of each write.
        self.windows = {}
        # Called with errors of hosts, which go on, as a process does.
        self.on_error = None

    def add_host(self, name):
        host = Host(self, name)
        self.hosts[name] = host
        return host

    def receive(self, host, receiver, chunk):
        """Pass bytes to a receiver of a host."""
        receiver.on_bytes(chunk)

    def schedule(self, at, host, call):
        event = Event(at, next(self.sequence), host, call)
        heapq.heappush(self.events, event)
        return event

    def run(self, seconds):
        end = self.now + seconds
        while self.events and self.events[0].at <= end:
            event = heapq.heappop(self.events)
            self.now = max(self.now, event.at)
            self._perform(event)
        self.now = end

    def run_until(self, condition, limit=60.0):
        end = self.now + limit
        while self.now < end and not condition():
            self.run(0.05)
        return condition()

    def is_partitioned(self, one, other):
        return frozenset((one.name, other.name)) in self.partitions

    def partition(self, names, others):
        """Drop all bytes between two groups of hosts until ``heal``."""
        self.partitions.update(frozenset((a, b)) for a in names for b in others)

    def refuse(self, names, others):
        """Refuse new connections between two groups until ``heal``."""
        self.refusals.update(frozenset((a, b)) for a in names for b in others)

    def is_refused(self, one, other):
        return frozenset((one.name, other.name)) in self.refusals

    def heal(self):
        self.partitions.clear()
        self.refusals.clear()

    def _perform(self, event):
        host = event.host
        if event.call is None or not host.is_alive:
            return
        if host.paused_until > self.now:
            self.schedule(host.paused_until, host, event.call)
            return
        if self.on_error is None:
            event.call()
            return
        try:
            event.call()
        except Exception as error:
            self.on_error(error)


class Event:
    def __init__(self, at, sequence, host, call):
        self.at = at
        self.sequence = sequence
        self.host = host
        self.call = call

    def __lt__(self, other):
        return (self.at, self.sequence) < (other.at, other.sequence)

    def cancel(self):
        self.call = None


class Held:
    """What a partition holds up of a connection, and what follows it there.

    It arrives when TCP sends it again, in order with the rest.
    """

    def __init__(self, sender, connection, remote, action, size):
        self.world = sender.world
        self.sender = sender
        self.connection = connection
        self.remote = remote
        self.action = action
        self.size = size
        self.has_arrived = False
        connection.unsent.extend(bytes(size))
        self.queue = self.world.queues[id(connection)]
        self.queue.append(self)
        for repeat_s in (LATENCY_S, *REPEATS_S):
            self.world.schedule(
                self.world.now + repeat_s, remote.host, self._arrive
            )
        sender.timers.call_later(USER_TIMEOUT_S, self._expire)

    def _arrive(self):
        if self.world.is_partitioned(self.sender, self.remote.host):
            return
        self.has_arrived = True
        while self.queue and self.queue[0].has_arrived:
            self.queue[0].deliver()

    def deliver(self):
        """Deliver it, unless its sender has reset the connection."""
        self._forget()
        has_ended = self.connection.is_closed or not self.sender.is_alive
        if not (has_ended and self.connection.is_reset_at_close):
            self.action(self.remote)

    def _expire(self):
        if self in self.queue:
            self._forget()
            self.sender.sockets.close(self.connection, 'Connection timed out')

    def _forget(self):
        self.queue.remove(self)
        del self.connection.unsent[: self.size]


class Timers:
    def __init__(self, host):
        self.host = host
        self.world = host.world

    def now(self):
        return self.world.now

    def boot_time(self):
        return self.world.now

    def wall_time(self):
        return self.world.now + WALL_TIME_OFFSET_S

    def call_later(self, delay_s, call):
        return self.world.schedule(self.now() + delay_s, self.host, call)

    def call_every(self, interval_s, call):
        self.call_repeatedly(lambda: interval_s, call)

    def call_repeatedly(self, get_interval_s, call):
        def repeat():
            self.call_repeatedly(get_interval_s, call)
            call()

        self.call_later(get_interval_s(), repeat)


class Sockets:
    """Deliver bytes in order after a latency, unless hosts are partitioned."""

    def __init__(self, host):
        self.host = host
        self.world = host.world
        self.timers = host.timers
        self.remotes = {}

    def listen(self, address, port, accept):
        if not port:
            port = 20000 + len(self.world.listeners)
        self.world.listeners[f'{address}:{port}'] = (self.host, accept)
        return port

    def dial(self, address, receiver, timeout_s):
        connection = sockets.Connection(None, address, receiver)
        arrival = self.world.now + LATENCY_S
        self.world.schedule(
            arrival, self.host, lambda: self._connect(connection, timeout_s)
        )
        return connection

    def send(self, connection, chunk):
        if connection.is_closed:
            return
        connection.active_at = self.world.now
        window = self.world.windows.get(connection.peer_address, len(chunk))
        connection.unsent.extend(chunk[window:])
        taken = bytes(chunk[:window])
        self._to_remote(
            connection, lambda remote: remote.deliver(taken), len(taken)
        )

    def count_open(self):
        return 0

    def finish(self, connection):
        self.close(connection, 'finished')

    def close(self, connection, reason):
        if connection.is_closed:
            return
        connection.is_closed = True
        self._to_remote(connection, lambda remote: remote.close_peer())
        self.remotes.pop(id(connection), None)
        if connection.receiver is not None:
            connection.receiver.on_close(reason, connection.is_open)

    def end_output(self, connection):
        """End the stream of bytes, which leaves the connection open."""
        self._to_remote(connection, lambda remote: remote.close_peer())

    def reset(self, connection):
        """Reset the connection at the peer."""
        self._to_remote(connection, lambda remote: remote.reset_peer())

    def _connect(self, connection, timeout_s):
        if connection.is_closed:
            return
        listener = self.world.listeners.get(connection.peer_address)
        if listener is None or not listener[0].is_alive:
            self.close(connection, 'ECONNREFUSED')
            return
        host, accept = listener
        if self.world.is_refused(self.host, host):
            self.close(connection, 'ECONNREFUSED')
            return
        if self.world.is_partitioned(self.host, host):
            self.host.timers.call_later(
                timeout_s, lambda: self.close(connection, 'connect timed out')
            )
            return
        peer = sockets.Connection(None, f'{self.host.name}:1')
        peer.is_open = connection.is_open = True
        peer.active_at = connection.active_at = self.world.now
        host.sockets.remotes[id(peer)] = Remote(peer, self.host, connection)
        self.remotes[id(connection)] = Remote(connection, host, peer)
        peer.receiver = accept(peer)
        connection.receiver.on_open()

    def _to_remote(self, connection, action, size=0):
        remote = self.remotes.get(id(connection))
        if remote is None:
            return
        is_partitioned = self.world.is_partitioned(self.host, remote.host)
        is_held = is_partitioned and self.world.holds_bytes
        if is_held or self.world.queues.get(id(connection)):
            Held(self.host, connection, remote, action, size)
        elif not self.world.is_partitioned(self.host, remote.host):
            at = self.world.now + LATENCY_S
            self.world.schedule(at, remote.host, lambda: action(remote))
        elif self.world.user_timeout_s is not None:
            self.timers.call_later(
                self.world.user_timeout_s,
                lambda: self.close(connection, 'Connection timed out'),
            )


class Remote:
    """Deliver to the peer of a local connection; ``host`` is the peer's."""

    def __init__(self, local, host, peer):
        self.local = local
        self.host = host
        self.peer = peer

    def deliver(self, chunk):
        if self.peer.is_closed:
            return
        world = self.host.world
        self.peer.active_at = world.now
        try:
            world.receive(self.host, self.peer.receiver, chunk)
        except Exception as error:
            if world.on_error is None:
                raise
            world.on_error(error)
            self.host.sockets.close(self.peer, f'internal error: {error!r}')

    def close_peer(self):
        linger = self.peer.linger
        if linger is None or self.peer.is_closed:
            self._close('closed by peer')
            return
        if self.peer.on_input_end is not None:
            self.peer.on_input_end()
        now = self.host.world.now
        self.host.timers.call_later(
            linger.compute_end(now) - now,
            lambda: self._close('closed by peer'),
        )

    def reset_peer(self):
        self._close('ECONNRESET')

    def _close(self, reason):
        self.host.sockets.close(self.peer, reason)


class Host:
    """Simulate a process with the interface of ``runtime.Runtime``."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.is_alive = True
        self.paused_until = 0.0
        self.random = random.Random(world.random.random())
        self.timers = Timers(self)
        self.sockets = Sockets(self)
        self.client = http_client.HttpClient(self.sockets, self.timers)
        self.on_stop = self.stop_loop

    def watch_reload(self, on_reload):
        self.on_reload = on_reload

    def stop_loop(self):
        self.kill()

    def kill(self):
        """Kill the process; its peers see their connections close."""
        if not self.is_alive:
            return
        self.is_alive = False
        for remote in tuple(self.sockets.remotes.values()):
            if not self.world.is_partitioned(self, remote.host):
                self.world.schedule(
                    self.world.now + LATENCY_S, remote.host, remote.close_peer
                )

    def pause(self, seconds):
        self.paused_until = self.world.now + seconds
