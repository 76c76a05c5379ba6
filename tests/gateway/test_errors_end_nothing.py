"""An error that leaves a callback once ends no duty of a gateway.

The callbacks are found by running a gateway, not listed.
"""

import pytest

from tests.support import platform_system, virtual

CONFIG_S = 3.0
FAILING = 'gateway-0'
SHARDS = 8
RUN_S = 4.0
MIN_REPORTS = 10  # in 5 s, one each quarter of a second is usual


class FailingTimers(virtual.Timers):
    """Raise once, instead of running a callback, at its n-th turn."""

    def call_later(self, delay_s, call):
        return super().call_later(delay_s, self.host.faults.watch(call))

    def call_repeatedly(self, get_interval_s, call):
        watched = self.host.faults.watch(call)

        def repeat():
            virtual.Timers.call_later(self, get_interval_s(), repeat)
            watched()

        virtual.Timers.call_later(self, get_interval_s(), repeat)


class Faults:
    """Count the turns of callbacks; fail one of them once if it is armed."""

    def __init__(self):
        self.turns = {}
        self.armed = None
        self.raised = 0

    def arm(self, name, turn, error):
        self.turns.clear()
        self.armed = (name, turn, error)

    def watch(self, call, name=''):
        name = name or describe(call)

        def run(*arguments):
            self.turns[name] = self.turns.get(name, 0) + 1
            if self.armed and self.armed[:2] == (name, self.turns[name]):
                self.raised += 1
                raise self.armed[2]('odd')
            call(*arguments)

        return run

    def receive(self, host, receiver, chunk):
        if host.name != FAILING:
            receiver.on_bytes(chunk)
            return
        sink = getattr(receiver, 'sink', None)
        name = f'{type(receiver).__name__} {describe_sink(sink)}'
        self.watch(receiver.on_bytes, name)(chunk)


def describe(call):
    """Return the place of a callback in the sources."""
    function = getattr(call, '__func__', call)
    code = getattr(function, '__code__', None)
    if code is None:
        return type(call).__name__
    folder = code.co_filename.rpartition('citronjunction/')[2]
    return f'{folder}:{code.co_qualname}'


def describe_sink(sink):
    """Return what a response is for, empty if it is for a request."""
    on_reply = getattr(sink, 'on_reply', None)
    answer = on_reply and on_reply.__closure__
    if not answer:
        return ''
    kinds = [type(cell.cell_contents).__name__ for cell in answer]
    return ' '.join(sorted(kinds))


def build(monkeypatch):
    """Return a fleet whose first gateway may fail, and its faults."""
    monkeypatch.setattr(virtual, 'Timers', FailingTimers)
    monkeypatch.setattr(virtual.Host, 'faults', Faults(), raising=False)
    system = platform_system.LinkedSystem()
    system.world.on_error = lambda raised: None
    faults = Faults()
    usual = system.world.add_host

    def add_host(name):
        host = usual(name)
        if name == FAILING:
            host.faults = faults
        return host

    system.world.add_host = add_host
    system.world.receive = faults.receive
    return system, faults


def play(system):
    """Let workers, configuration and requests change for a while."""
    for number in range(int(RUN_S / 0.5)):
        system.set_state('app-1', 'ready', seq=number + 2)
        system.send('/safe/x', gateway=FAILING)
        system.world.run(0.5)


def check(system):
    route = platform_system.make_route('new', '/new/', 'safe', 'app')
    system.configure(routes=[*system.configuration['routes'], route])
    system.set_state('app-0', 'draining')
    system.world.run(CONFIG_S)

    gateway = system.gateways[FAILING]
    assert gateway.services.fleet.workers['app-0'].is_draining
    assert system.ask('/new/x', gateway=FAILING).status == 200
    sequence = gateway.sharing.sequence
    announced_at = gateway.announcer.announced_at
    system.world.run(5)
    assert gateway.sharing.sequence >= sequence + MIN_REPORTS
    assert gateway.announcer.announced_at > announced_at
    assert gateway.peers.open_links
    fences = [
        known.lease_client.get_fence() for known in system.gateways.values()
    ]
    assert any(fences)


def find_callbacks(monkeypatch):
    system, faults = build(monkeypatch)
    system.build(gateways=2)
    play(system)
    check(system)
    return sorted(faults.turns)


# Guards against CONFIG: the mirrors' timers ended with an error.
@pytest.mark.parametrize('shard', range(SHARDS))
@pytest.mark.parametrize('error', [OSError, MemoryError])
def test_an_error_of_any_callback_ends_no_duty(monkeypatch, shard, error):
    names = find_callbacks(monkeypatch)
    assert len(names) > 20
    for name in names[shard::SHARDS]:
        for turn in (1, 2):
            system, faults = build(monkeypatch)
            system.build(gateways=2)
            faults.arm(name, turn, error)
            play(system)
            check(system)
