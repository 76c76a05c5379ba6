"""Streams of a leaving worker move with their KV cache, if time allows."""

import pytest

from tests.support import system

PROMPT = 'history of a bogie part, depot by depot ' * 200


def deploy():
    held = system.System()
    for number in range(2):
        held.add_engine(f'llm-{number}', 'llm')
    held.add_entry('entry-0')
    note = '[note]\nid = one\n[upstream llm]\n'
    held.apply(note + held.make_organisation_note('org'))
    held.world.run(4)
    return held


def reclaim(held, name, notice_s):
    host = held.cloud.hosts[name]
    host.is_leaving = True
    host.leaves_in_s = notice_s


def start_stream(held):
    call = held.complete('entry-0', 'llm', PROMPT, 300)
    held.world.run(1.5)
    busy = [name for name, one in held.engines.items() if one.completions]
    (source,) = busy
    (target,) = held.engines.keys() - {source}
    return call, source, target


def test_the_cache_moves_and_the_stream_goes_on_token_for_token():
    held = deploy()
    call, source, target = start_stream(held)
    reclaim(held, source, 4)
    held.world.run(4)
    held.world.hosts[source].kill()
    held.world.run(10)
    assert call.is_done
    assert call.tokens == system.expected_tokens(PROMPT, 300)
    assert held.engines[target].batch.recomputed_tokens < len(PROMPT) / 4 / 4


@pytest.mark.parametrize('fault', ['export lost', 'dies at the notice'])
def test_a_stream_goes_on_without_the_cache(fault):
    held = deploy()
    call, source, target = start_stream(held)
    if fault == 'export lost':
        held.engines[source].routes.routes = tuple(
            route
            for route in held.engines[source].routes.routes
            if not route.prefix.startswith('/kv')
        )
    reclaim(held, source, 4)
    held.world.run(0.2 if fault == 'dies at the notice' else 4)
    held.world.hosts[source].kill()
    held.world.run(10)
    assert call.is_done
    assert call.tokens == system.expected_tokens(PROMPT, 300)
    assert held.engines[target].batch.recomputed_tokens >= len(PROMPT) / 4


def test_a_caller_that_leaves_cancels_the_upstreams_work():
    held = deploy()
    call, source, _ = start_stream(held)
    call.exchange.cancel()
    held.world.run(0.1)
    assert held.engines[source].batch.is_idle


def test_another_organisation_cannot_go_on_with_a_request():
    held = deploy()
    call, _, _ = start_stream(held)
    name = call.headers['citron-request-id']
    other = held.send(
        'entry-0', f'/v1/continuations/{name}', b'', 'stranger', method='GET'
    )
    held.world.run(0.5)
    assert other.status == 401
