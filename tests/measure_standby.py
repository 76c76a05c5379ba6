"""Measure the bytes that entries of a large fleet send, in virtual time.

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
    """Fleet in several data centres in which some of the entries serve."""

    def configure_settings(self, settings):
        settings.membership.serving = SERVING
        settings.process.zone = f'z{len(self.gateways) % ZONES}'


def measure(entries):
    """Return bytes/s of each serving and standby entry, and store calls/s."""
    fleet = LargeFleet().build(workers=WORKERS, gateways=entries)
    fleet.world.run(SETTLE_S)
    nodes = [gateway.peers for gateway in fleet.gateways.values()]
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
    for name, rates in (('serving', serving), ('standby', standby)):
        if rates:
            mean = sum(rates) / len(rates) / 1000
            print(
                f'{len(rates)} {name}: {mean:.1f} KB/s, {max(rates) / 1000:.1f}'
            )
    print(f'{calls:.1f} store calls a second')


if __name__ == '__main__':
    main()
