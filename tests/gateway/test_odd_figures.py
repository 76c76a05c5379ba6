"""Figures out of range that callers, workers or other writers send."""

import pytest

from tests.support import platform_system, scripted

HUGE = '9' * 5000
LARGE = '9' * 400


# Guards against a caller whose figures end requests or grow its quota.
@pytest.mark.parametrize(
    'tokens', [f'{HUGE},1', f'1,{HUGE}', f'{LARGE},1', '-5,1', '1,-5', '1_0,1']
)
def test_tokens_out_of_range_are_no_prompt(tokens):
    system = platform_system.PlatformSystem().build()
    answer = system.ask('/stream/x', method='POST', Token_Usage=tokens)

    assert answer.status == 200
    gateway = system.gateways['gateway-0']
    assert not gateway.services.flows
    assert sum(gateway.services.offered.values()) == 1


@pytest.mark.parametrize('count', [HUGE, LARGE, '-1', '1e9'])
def test_parts_of_a_prompt_out_of_range_are_left_out(count):
    system = platform_system.PlatformSystem().build()
    answer = system.ask(
        '/stream/x',
        method='POST',
        Token_Usage='100,10',
        Prefix_Hash=f'aa:{count},bb:10',
    )

    assert answer.status == 200


# Guards against requests that hang: the answer was never passed on.
@pytest.mark.parametrize('timeout', [HUGE, LARGE, '0', '-1', 'x'])
def test_an_idle_timeout_out_of_range_ends_no_request(timeout):
    def respond(connection, request):
        name = scripted.get_header(request, 'Attempt-Id')
        connection.send(
            b'HTTP/1.1 200 OK\r\nSignature: s\r\nAttempt-Id: %b\r\n'
            b'Keep-Alive: timeout=%b\r\nContent-Length: 2\r\n\r\nok'
            % (name, timeout.encode())
        )

    system = platform_system.PlatformSystem().build(workers=1)
    scripted.replace_worker(system, 'app-0', respond)
    answers = [system.ask('/safe/x', run_s=0.5) for _ in range(3)]

    assert [answer.body for answer in answers] == [b'ok'] * 3


@pytest.mark.parametrize('spec', [[], 'text', 5, {'holder': [[]]}, {'at': {}}])
def test_odd_records_of_the_duties_are_replaced_or_left_out(spec):
    system = platform_system.PlatformSystem()
    system.store.put('citron-leases', 'duties', spec)
    system.store.put('citron-checkpoints', 'use', spec)
    system.build()
    system.world.run(10)

    gateway = system.gateways['gateway-0']
    assert gateway.lease_client.get_fence() is not None
    assert system.ask('/unsafe/x', method='POST').status == 200
