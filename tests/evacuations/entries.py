"""Entries that mirror a store and each other, in virtual time.

The entries run the product's watcher, copying and sources; links and store are
stand-ins without a wire.
"""

import types

from citronjunction.conf import models as conf
from citronjunction.evacuations import state
from citronjunction.gateway import copying, fleet, rollouts, sources, watching
from citronjunction.observability import decisions
from citronjunction.platform import object_decoder
from citronjunction.store import eras, records
from tests.support import platform_system, virtual

ZONES = ('z1', 'z2', 'z3')
KIND = 'evacuations'
STORE = 'store'
LATENCY_S = 0.002
CALL_S = 2.0  # until an unanswered call fails
LOST_S = 2.5  # until a silent link is closed or an entry counts as lost
LINKS = 6
TICK_S = 0.25


class Store:
    """Objects by kind and name; ``is_down`` loses all calls."""

    def __init__(self):
        self.objects = {}
        self.history = []
        self.revision = 1
        self.oldest = 1
        self.era = 1
        self.is_down = False
        self.watches = []

    def put(self, kind, name, spec):
        self.revision += 1
        record = records.Record(name, self.revision, spec, {})
        self.objects[(kind, name)] = record
        self._note(kind, records.Change(record, False))

    def remove(self, kind, name):
        record = self.objects.pop((kind, name), None)
        if record is not None:
            self.revision += 1
            self._note(kind, records.Change(record, True))

    def compact(self):
        self.oldest = self.revision
        self.history.clear()

    def restore(self, objects, revision):
        self.era += 1
        self.objects, self.revision = dict(objects), revision
        self.compact()
        self.watches.clear()

    def list(self, kind):
        listed = [
            record
            for (known, _), record in sorted(self.objects.items())
            if known == kind
        ]
        return records.Page(tuple(listed), self.revision, '')

    def find_changes(self, kind, since):
        if not self.oldest <= since <= self.revision:
            return records.HistoryGone()
        changes = tuple(
            change
            for revision, known, change in self.history
            if known == kind and revision > since
        )
        return records.Changes(changes, self.revision)

    def _note(self, kind, change):
        self.history.append((self.revision, kind, change))
        due = [watch for watch in self.watches if watch.kind == kind]
        for watch in due:
            watch.end()


class Call:
    """A call of an entry: answered once, or failed after a time."""

    def __init__(self, client, kind, build, on_result, wait_s):
        self.client = client
        self.kind = kind
        self.build = build
        self.on_result = on_result
        self.is_over = False
        timers = client.host.timers
        timers.call_later(wait_s + CALL_S, self._fail)

    def end(self):
        """Send the answer, which is lost where the store is unreachable."""
        store = self.client.store
        if self in store.watches:
            store.watches.remove(self)
        if self.client.is_reached():
            era, result = store.era, self.build()
            self.client.host.timers.call_later(
                LATENCY_S, lambda: self._answer(era, result)
            )

    def _answer(self, era, result):
        if self.is_over or not self.client.is_reached():
            return
        self.is_over = True
        if not self.client.eras.observe(era):
            result = records.Unavailable('earlier era', False)
        self.on_result(result)

    def _fail(self):
        if not self.is_over:
            self.is_over = True
            self.on_result(records.Unavailable('timeout', False))


class Client:
    """The calls of one entry to the store."""

    def __init__(self, host, store, entry_eras):
        self.host = host
        self.store = store
        self.eras = entry_eras

    def is_reached(self):
        pair = frozenset((self.host.name, STORE))
        return not self.store.is_down and pair not in self.host.world.partitions

    def list_page(self, kind, after, on_list):
        self._call(kind, lambda: self.store.list(kind), on_list)

    def list_stale(self, kind, on_list):
        self.list_page(kind, '', on_list)

    def watch(self, kind, revision, wait_s, on_watch):
        call = Call(
            self,
            kind,
            lambda: self.store.find_changes(kind, revision),
            on_watch,
            wait_s,
        )
        if not self.is_reached():
            return
        found = call.build()
        if isinstance(found, records.HistoryGone) or found.changes:
            call.end()
            return
        self.store.watches.append(call)
        self.host.timers.call_later(wait_s, call.end)

    def _call(self, kind, build, on_result):
        call = Call(self, kind, build, on_result, 0)
        self.host.timers.call_later(LATENCY_S, call.end)


class Link:
    """One side of a link between two entries."""

    def __init__(self, owner, peer_name):
        self.owner = owner
        self.peer_name = peer_name
        self.received_at = owner.host.timers.now()

    def send(self, message):
        fleet_of_entries = self.owner.fleet
        peer = fleet_of_entries.entries[self.peer_name]
        if fleet_of_entries.is_linked(self.owner, peer):
            peer.host.timers.call_later(
                LATENCY_S, lambda: peer.receive(self.owner.name, message)
            )


class Entry:
    """An entry's watcher, with what it needs."""

    def __init__(self, owner, name, host):
        self.fleet = owner
        self.name = name
        self.host = host
        self.eras = eras.Eras(host.timers)
        self.services = _build_services(host)
        self.watcher = watching.Watcher(
            self.services,
            Client(host, owner.store, self.eras),
            self.eras,
            object_decoder.PlatformDecoder(),
            lambda: None,
        )
        self.open_links = {}
        self.peers = types.SimpleNamespace(
            own_name=name,
            open_links=self.open_links,
            liveness=types.SimpleNamespace(observed_entries=owner.observed),
        )
        self.copying = copying.Copying(self.services, self.watcher, self.peers)
        self.sources = sources.Sources(
            self.services, self.watcher, self.peers, self.copying
        )
        self.watcher.start()
        self.copying.start()
        self.sources.start()

    @property
    def evacuations(self):
        return self.services.fleet.evacuations

    def receive(self, sender, message):
        link = self.open_links.get(sender)
        if link is not None:
            self.copying.on_message(link, message)


class Fleet:
    """Entries of which the first live ones serve."""

    def __init__(self, size, serving, seed=0):
        self.world = virtual.World(seed)
        self.store = Store()
        self.serving = serving
        self.entries = {}
        self.observed = {}
        self.names = [f'entry-{number}' for number in range(size)]
        self.lost_at = dict.fromkeys(self.names, float('inf'))
        self.store.put('config', 'main', platform_system.make_configuration())
        for zone in ZONES:
            spec = platform_system.make_worker_spec('app', '10.8.0.1:80', zone)
            self.store.put('servers', f'worker-{zone}', spec)
        clock = self.world.add_host('clock')
        clock.timers.call_every(TICK_S, self._step)
        for name in self.names:
            self.start(name)

    def start(self, name):
        host = self.world.add_host(name)
        self.entries[name] = Entry(self, name, host)
        self.lost_at[name] = float('inf')
        self.observed[name] = types.SimpleNamespace(
            state=types.SimpleNamespace(stands_by=False)
        )

    def kill(self, name):
        self.entries[name].host.kill()
        self.lost_at[name] = self.world.now + LOST_S

    def is_alive(self, name):
        return self.entries[name].host.is_alive

    def is_linked(self, one, other):
        pair = frozenset((one.name, other.name))
        hosts = (one.host, other.host)
        return pair not in self.world.partitions and all(
            host.is_alive and host.paused_until <= self.world.now
            for host in hosts
        )

    def select_serving(self):
        known = [
            name for name in self.names if self.world.now < self.lost_at[name]
        ]
        return known[: self.serving]

    def _step(self):
        serving = self.select_serving()
        for number, name in enumerate(self.names):
            targets = {
                self.names[(number + step + 1) % len(self.names)]
                for step in range(LINKS // 2)
            }
            if name not in serving and serving:
                targets.add(serving[number % len(serving)])
            for target in sorted(targets - {name}):
                self._review_link(self.entries[name], self.entries[target])
        for name in self.names:
            self._review_role(self.entries[name], serving)

    def _review_link(self, one, other):
        now = self.world.now
        for owner, peer in ((one, other), (other, one)):
            link = owner.open_links.get(peer.name)
            if self.is_linked(one, other):
                if link is None:
                    link = owner.open_links[peer.name] = Link(owner, peer.name)
                link.received_at = now
            elif link is not None and now - link.received_at > LOST_S:
                owner.open_links.pop(peer.name)

    def _review_role(self, entry, serving):
        is_running = entry.host.is_alive
        if not is_running or entry.host.paused_until > self.world.now:
            return
        stands_by = entry.name not in serving and bool(entry.open_links)
        self.observed[entry.name].state.stands_by = stands_by
        if stands_by is not entry.watcher.is_following:
            entry.host.timers.call_later(
                0,
                lambda: entry.watcher.set_following(is_following=stands_by),
            )


def _build_services(host):
    settings = conf.Settings()
    settings.gateway.watch_s = 10
    settings.evacuations.is_followed = True
    services = types.SimpleNamespace(
        settings=settings,
        timers=host.timers,
        random=host.random,
        log=decisions.DecisionLog(host.name, host.timers.wall_time),
        fleet=fleet.Fleet(),
        rollouts=rollouts.Rollouts(host.random, 0.01),
        counts=types.SimpleNamespace(record=lambda event: None),
        client=host.client,
        observer=types.SimpleNamespace(on_worker_draining=lambda worker: None),
        configuration=None,
    )
    services.apply = lambda new: setattr(services, 'configuration', new)
    services.fleet.evacuations = state.Evacuations(is_known=False)
    return services
