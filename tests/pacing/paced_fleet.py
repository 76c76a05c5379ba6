"""Entries that send to workers as much as they may, in virtual time."""

import collections

from citronjunction.membership import topology
from citronjunction.pacing import models, pacer, roster

TICK_S = 0.25
SERVING = 8
SEEDS = 3
LOST_S = 2.5  # silence after which a serving entry counts as lost
STANDBY_LOST_S = 0.15  # the same of a standby, for each entry of the fleet
START_S = 0.5  # from a kill until the next start listens
PER_S, COLD_S, OVERRUN, SLACK = 11, 3, 1.5, 5
BOUND = PER_S * OVERRUN + SLACK
UPSTREAM = 'model'


class BoundBrokenError(AssertionError):
    """More requests in a second than a worker's bound."""


class Entry:
    """One entry with its own view of the fleet."""

    def __init__(self, name, now, seeds):
        self.name = name
        self.seeds = seeds
        self.heard_at = {}
        self.standby_names = set()
        self.pacer = pacer.Pacer(
            roster.Roster(name, now, has_seeds=len(seeds) > 1)
        )
        self.pacer.apply(
            {UPSTREAM: models.build_bound(PER_S, COLD_S, OVERRUN, SLACK)}
        )

    def update(self, count, now):
        """Choose who serves, as the peers' roles do."""
        live = {self.name}
        for name, at in self.heard_at.items():
            lost_s = LOST_S
            if name in self.standby_names:
                lost_s = max(LOST_S, STANDBY_LOST_S * count)
            if now - at <= lost_s:
                live.add(name)
        serving = sorted(live, key=topology.hash_name)[:SERVING]
        self.pacer.step(now)
        known = {*self.heard_at, self.name}
        self.pacer.roster.update(
            roster.Peers(self.heard_at, live, serving, known >= self.seeds),
            now,
        )
        return serving


class Fleet:
    """All entries, the links between them and what their workers got."""

    def __init__(self, count):
        self.now = 100.0
        self.names = [f'entry-{index}' for index in range(count)]
        self.running = {name: self.build(name) for name in self.names}
        self.starts_at = {}
        self.frozen = {}
        self.group = dict.fromkeys(self.names, 0)
        self.cold_until = collections.defaultdict(float)
        self.got = collections.defaultdict(collections.deque)
        self.delayed = collections.defaultdict(list)
        self.sent = collections.Counter()

    def build(self, name):
        """Start an entry that knows nothing of its peers."""
        return Entry(name, self.now, set(self.names[:SEEDS]))

    def advance(self, seconds, senders=(), workers=('w0',)):
        """Let time pass while senders send all that they may."""
        for _ in range(max(1, round(seconds / TICK_S))):
            self.now += TICK_S
            for name, at in tuple(self.starts_at.items()):
                if at <= self.now:
                    self.starts_at.pop(name)
                    self.running[name] = self.build(name)
            self.send_all(senders, workers)
            self.exchange()
            self.send_all(senders, workers)

    def exchange(self):
        """Pass the states of entries on within their groups."""
        awake = [
            entry
            for name, entry in self.running.items()
            if name not in self.frozen
        ]
        groups = collections.defaultdict(list)
        for entry in awake:
            groups[self.group[entry.name]].append(entry)
        for members in groups.values():
            known = {}
            for entry in members:
                known |= {
                    name: max(at, known.get(name, 0))
                    for name, at in entry.heard_at.items()
                }
            known |= {entry.name: self.now for entry in members}
            standbys = {
                entry.name
                for entry in members
                if entry.name not in entry.pacer.roster.view.delegates
            }
            live = {entry.name for entry in members}
            for entry in members:
                entry.heard_at = dict(known)
                entry.standby_names -= live
                entry.standby_names |= standbys
        for entry in awake:
            entry.update(len(self.names), self.now)

    def send_all(self, senders, workers):
        """Send as many requests as each sender may."""
        for name in senders:
            entry = self.running.get(name)
            if entry is None or name in self.frozen:
                continue
            for worker in workers:
                self.send(entry, worker)

    def send(self, entry, worker):
        """Send to a worker until the entry has to wait."""
        target = pacer.Target(worker, UPSTREAM, self.cold_until[worker])
        while not entry.pacer.get_wait_s(target, self.now):
            entry.pacer.record_send(target, self.now)
            self.sent[entry.name] += 1
            self.receive(entry.name, worker)

    def receive(self, name, worker):
        """Count a request and check the last second."""
        times = self.got[worker]
        times.append((self.now, name))
        while self.now - times[0][0] >= 1:
            times.popleft()
        if len(times) > BOUND:
            counts = collections.Counter(name for _, name in times)
            raise BoundBrokenError(f'{worker}: {len(times)}, {counts}')

    def is_remembered(self):
        """Return whether a group with all seeds knows of the other groups.

        One that is cut off and restarts as a whole takes itself for the fleet.
        """
        groups = {self.group[name] for name in self.names[:SEEDS]}
        if len(set(self.group.values())) == 1 or len(groups) > 1:
            return True
        return any(
            self.group[name] in groups
            and len({*entry.heard_at, name}) == len(self.names)
            for name, entry in self.running.items()
        )

    def kill(self, names, down_s=START_S):
        """Kill entries that may be, which start again after a time."""
        for name in names:
            spared = self.running.pop(name, None)
            if spared is None:
                continue
            if not self.is_remembered():
                self.running[name] = spared
                continue
            self.starts_at[name] = self.now + down_s
            self.frozen.pop(name, None)

    def freeze(self, names):
        """Freeze entries; what they have just sent leaves later."""
        for name in names:
            if name not in self.running or name in self.frozen:
                continue
            self.frozen[name] = self.now
            for worker, times in self.got.items():
                late = [one for one in times if one == (self.now, name)]
                self.delayed[name] += [worker for _ in late]
                for one in late:
                    times.remove(one)

    def thaw(self):
        """Let all frozen entries go on, which send before they listen."""
        names = [name for name in self.frozen if name in self.running]
        self.frozen.clear()
        for name in names:
            for worker in self.delayed.pop(name, ()):
                self.receive(name, worker)
        self.send_all(names, ('w0',))

    def part(self, names, group):
        """Cut entries off into a group if may be; group 0 is the others."""
        before = dict(self.group)
        self.group |= dict.fromkeys(names, group)
        if not self.is_remembered():
            self.group = before
