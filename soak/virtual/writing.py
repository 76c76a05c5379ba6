"""What workers, operators and other writers change in the store."""

import functools
from typing import TYPE_CHECKING

from soak.virtual import drawing, rules
from tests.support import broken, platform_system

if TYPE_CHECKING:
    from soak.virtual import injecting

DRAINS_S = 6.0  # until a worker that drains is replaced
REFUSALS = 20
FORMS = tuple(broken.VALUES.values())


class StoreChanges:
    """Change stored objects, and record what must be in force when."""

    def __init__(self, owner: 'injecting.Injector') -> None:
        self.owner = owner
        self.deployed = owner.deployed
        self.store = owner.deployed.store
        self.record = owner.record
        self.count = 0

    def begin(self, fault: drawing.Fault) -> None:
        """Make a change."""
        match fault.kind:
            case drawing.Kind.worker_drains:
                self._drain(self.owner.choose_worker(fault))
            case drawing.Kind.foreign_entry:
                self._add_foreign_entry(fault)
            case drawing.Kind.watches_silent:
                for name in self.owner.choose_entries(fault):
                    self._silence_watches(name)
            case drawing.Kind.route_added:
                self._add_route()
            case drawing.Kind.refusals_repeated:
                name = self.owner.choose_worker(fault)
                behaviour = self.deployed.workers[name].behaviour
                behaviour.refusals_left = REFUSALS
                behaviour.repeats_left = REFUSALS

    def _drain(self, name: str) -> None:
        stored = self.store.objects.get(('servers', name))
        if stored is None or stored['spec']['state'] == 'draining':
            return
        self.deployed.set_state(name, 'draining')
        self.record.drains.append((name, self.deployed.world.now))
        self.deployed.caller_host.timers.call_later(
            DRAINS_S, functools.partial(self.owner.replace_worker, name)
        )

    def _add_foreign_entry(self, fault: drawing.Fault) -> None:
        mark = f'{broken.MARK}{fault.target % len(FORMS)}'
        self.store.raw[mark] = FORMS[fault.target % len(FORMS)]
        self.count += 1
        name = f'foreign-{self.count}'
        model = self.owner.choose_worker(fault)
        stored = self.store.objects.get(('servers', model))
        if stored is not None:
            spec = {**stored['spec'], 'slots': mark}
            self.store.put('servers', name, spec)

    def _silence_watches(self, name: str) -> None:
        self.store.watches = [
            watch
            for watch in self.store.watches
            if self.owner.get_sender(watch[0]) != name
        ]
        self.owner.disturb(name, 0)

    def _add_route(self) -> None:
        self.count += 1
        prefix = f'/new-{self.count}/'
        route = platform_system.make_route(
            f'new-{self.count}', prefix, 'safe', 'app'
        )
        routes = [*self.deployed.configuration['routes'], route]
        self.deployed.configure(routes=routes)
        self.record.routes[prefix] = self.deployed.world.now
        self.deployed.caller_host.timers.call_later(
            rules.CONFIG_S,
            functools.partial(self.owner.traffic.add_path, prefix),
        )
