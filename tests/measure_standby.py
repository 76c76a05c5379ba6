"""Measures what peers of a large fleet send, in virtual time.

Run as ``python -m tests.measure_standby ENTRIES``.
"""

import sys

from tests.support import platform_system

ZONES = 4
SERVING = 8
SETTLE_S = 8
MEASURE_S = 10
WORKERS = 15  # of each upstream


class LargeFleet(platform_system.PlatformSystem):
    """A fleet over several data centres of which a part serves."""

    def configure_settings(self, settings):
        settings.membership.serving = SERVING
        settings.process.zone = f'z{len(self.gateways) % ZONES}'


def measure(entries):
    """Return bytes a second of serving and standby entries, and calls."""
    fleet = LargeFleet().build(workers=WORKERS, gateways=entries)
    fleet.world.run(SETTLE_S)
    nodes = [held.peers for held in fleet.gateways.values()]
    before = [node.count_sent_bytes() for node in nodes]
    calls = fleet.store.calls
    fleet.world.run(MEASURE_S)
    rates = {True: [], False: []}
    for node, sent in zip(nodes, before, strict=True):
        rate = (node.count_sent_bytes() - sent) / MEASURE_S
        rates[node.roles.stands_by].append(rate)
    return rates[False], rates[True], (fleet.store.calls - calls) / MEASURE_S


def main():
    entries = int(sys.argv[1])
    serving, standby, calls = measure(entries)
    for name, held in (('serving', serving), ('standby', standby)):
        if held:
            mean = sum(held) / len(held) / 1000
            print(
                f'{len(held)} {name}: {mean:.1f} KB/s, {max(held) / 1000:.1f}'
            )
    print(f'{calls:.1f} store calls a second')


if __name__ == '__main__':
    main()
