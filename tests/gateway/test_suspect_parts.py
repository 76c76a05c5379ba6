"""Pattern: requests share one part of their prompts that crashes workers.

The requests are otherwise all different and come at any entry; sound requests
share their organisation and their other parts.
"""

import pytest

from tests.support import platform_system

DEADLY = 'dead'
RESTART_S = 3.0  # until a worker replaces a crashed one
STABLE_S = 3.0
MAX_LATE_ARRIVALS = 3


class Crashes:
    """Replace crashed workers and record when they crashed."""

    def __init__(self, deployed):
        self.deployed = deployed
        self.times = []
        self.late_arrivals = 0
        for name in [key for key in deployed.workers if key.startswith('llm')]:
            self.watch(name)

    def watch(self, name):
        worker = self.deployed.workers[name]
        worker.behaviour.deadly_part = DEADLY
        worker.behaviour.event_interval_s = 0.05
        worker.behaviour.event_count = 8
        handle = worker.handle

        def count(exchange):
            if DEADLY in exchange.request.headers.get('prefix-hash', ''):
                self.count_arrival()
            handle(exchange)

        worker.handle = count
        host = self.deployed.worker_hosts[name]
        kill = host.kill

        def crash():
            self.times.append(self.deployed.world.now)
            kill()
            self.deployed.caller_host.timers.call_later(
                RESTART_S, lambda: self.replace(name)
            )

        host.kill = crash

    def count_arrival(self):
        if len(self.times) < 5:
            return
        if self.deployed.world.now > self.times[4] + STABLE_S:
            self.late_arrivals += 1

    def replace(self, name):
        self.deployed.store.remove('servers', name)
        successor = f'{name}x'
        self.deployed.add_worker(successor, 'llm')
        self.watch(successor)


def build(gateways=4, workers=6, resumable=False):
    system = platform_system.PlatformSystem()
    system.configuration['routes'] = [
        platform_system.make_route(
            'stream',
            '/stream/',
            'stream',
            'llm',
            timeoutMs=15000,
            sticky=True,
            resumable=resumable,
        ),
    ]
    system.build(workers=workers, gateways=gateways)
    return system


def ask(deployed, number, part):
    return deployed.send(
        f'/stream/{number}',
        gateway=f'gateway-{number % len(deployed.gateways)}',
        method='POST',
        body=b'%d' % number,
        deadline_ms=15000,
        Model='m',
        Token_Usage='1400,40',
        Prefix_Hash=f'common:500,{part}:800,own{number}:100',
    )


def run_day(deployed, seconds, deadly_gap_s=0.5, sound_gap_s=0.1):
    """Send both kinds of requests; return the answers to the sound ones."""
    sound = []
    start = deployed.world.now
    deadly_at = start + 1
    number = 0
    while deployed.world.now < start + seconds:
        number += 1
        sound.append(ask(deployed, number, f'subject{number % 5}'))
        if deployed.world.now >= deadly_at:
            deadly_at += deadly_gap_s
            ask(deployed, 1000 + 7 * number, DEADLY)
        deployed.world.run(sound_gap_s)
    deployed.world.run(2)
    return sound


def count_complete(answers):
    return sum(
        answer.is_complete and answer.status == 200 for answer in answers
    )


@pytest.mark.parametrize('resumable', [False, True])
@pytest.mark.parametrize('deadly_gap_s', [0.2, 0.5, 1.5])
def test_a_part_that_crashes_workers_is_refused_at_all_entries(
    deadly_gap_s, resumable
):
    deployed = build(resumable=resumable)
    crashes = Crashes(deployed)
    sound = run_day(deployed, 16, deadly_gap_s)

    assert crashes.late_arrivals <= MAX_LATE_ARRIVALS
    assert len(crashes.times) <= 8
    late = sound[len(sound) // 2 :]
    assert count_complete(late) >= 0.95 * len(late)
