"""A gateway's links to builds that end a link at what they don't know."""

import pytest

from citronjunction.membership import facts, messages
from tests.golden import old_reader
from tests.support import old_peer, platform_system

SECRET = 'a-secret-for-tests-only'
START = 'app-0/1000'


@pytest.fixture
def deployed():
    return platform_system.LinkedSystem().build(gateways=2)


def link(deployed, build, **options):
    """Link a peer of a build to the first gateway."""
    gateway = deployed.gateways['gateway-0']
    host = deployed.world.add_host('old')
    peer = old_peer.OldPeer(host, 'old', SECRET, build, **options)
    peer.dial(gateway.settings.listeners.control)
    deployed.world.run(1)
    return peer


def publish(deployed, *published):
    for fact in published:
        deployed.gateways['gateway-1'].peers.publish(fact)
    deployed.world.run(1)


def build_constraint(deployed):
    now = deployed.gateway_hosts['gateway-0'].timers.wall_time()
    return facts.WorkerConstraint(START, 'requests', 5.0, now)


@pytest.mark.parametrize('build', old_reader.BUILDS)
def test_a_silent_build_stays_linked_and_gets_what_the_oldest_reads(
    deployed, build
):
    peer = link(deployed, build)
    now = deployed.gateway_hosts['gateway-0'].timers.wall_time()
    publish(
        deployed,
        build_constraint(deployed),
        facts.FullWorker(START, 3, now),
        facts.LimitedSends('gateway-1', 1, 1, {START: 3}, now),
        facts.LostUpstreams('gateway-1', 1, 1, ('llm',), False, now),
        facts.LeavingWorker('app-0', 1000, now),
    )
    for _ in range(20):
        peer.send('digest', {})
        deployed.world.run(1)

    assert peer.failure is None
    assert not peer.is_closed
    assert peer.list_facts('leaving_worker')
    assert peer.list_facts('entry')
    kinds = {key.partition('/')[0] for key in peer.list_keys()}
    assert kinds <= messages.dialects.OLDEST.field_counts.keys()
    assert not peer.list_facts('worker_constraint')


def test_a_build_that_sends_a_newer_kind_gets_all_of_them(deployed):
    peer = link(deployed, 'f5a3360')
    publish(deployed, build_constraint(deployed))
    assert not peer.list_facts('worker_constraint')
    now = deployed.gateway_hosts['gateway-0'].timers.wall_time()
    peer.send('facts', [['full_worker', START, 3, now]])
    deployed.world.run(1)

    assert peer.list_facts('worker_constraint')
    assert not peer.is_closed


def test_a_build_that_lists_a_newer_kind_gets_all_of_them(deployed):
    peer = link(deployed, 'f5a3360')
    publish(deployed, build_constraint(deployed))
    peer.send('digest', {'full_worker/x': [1, 0]})
    deployed.world.run(1)

    assert peer.list_facts('worker_constraint')


def test_an_old_entry_relays_the_mark_of_a_new_one(deployed):
    peer = link(deployed, '257d141')
    states = peer.list_facts('entry')

    fields = [name for name, *_ in peer.reader.schema['entry']]
    position = fields.index('queued')
    assert {tuple(state[position]) for state in states} == {('~speaks',)}


def test_unknown_kinds_are_counted_and_the_link_stays(deployed):
    peer = link(deployed, '257d141')
    for number in range(30):
        peer.send('facts', [[f'news-{number}', 1], ['leaving', 'h', 1.0, 0]])
        peer.send('news-0', 1)
    deployed.world.run(1)
    peers = deployed.gateways['gateway-0'].peers

    assert not peer.is_closed
    assert peers.skipped.counts['news-0'] == 31
    assert peers.skipped.counts['others'] == 14
    assert len(peers.skipped.counts) == 17
    rendered = deployed.gateways['gateway-0'].services.counts.render()
    assert b'citron_skipped_kinds_total{kind="news-0"' in rendered


@pytest.mark.parametrize(
    'sent',
    [
        ('facts', [['leaving', 7, 1.0, 0]]),
        ('facts', [['leaving', 'h']]),
        ('facts', 7),
        ('digest', {'x': 1}),
        (7,),
    ],
)
def test_what_is_malformed_still_ends_the_link(deployed, sent):
    peer = link(deployed, '257d141')
    peer.send(*sent)
    deployed.world.run(1)

    assert peer.is_closed
    assert deployed.gateways['gateway-0'].peers.rejected == 1


def test_a_marked_peer_must_name_what_it_reads_first(deployed):
    nonce = messages.dialects.mark_nonce(old_peer.NONCE)
    peer = link(deployed, '257d141', nonce=nonce)
    # It got the names, which this old reader does not know.
    assert peer.failure == 'unknown kind speaks'
