"""Callers' requests through a gateway, with stand-ins of the platform."""

import pytest

from tests.support import platform_system


@pytest.fixture
def deployed():
    return platform_system.PlatformSystem().build()


def test_a_plain_request_is_relayed_with_its_signature(deployed):
    answer = deployed.ask('/safe/x?y=1', Model='m')

    assert answer.status == 200
    assert answer.headers['signature'].startswith('sig.app-')
    assert answer.body.endswith(b' /safe/x')
    assert deployed.count_runs() == 1


def test_the_worker_gets_organisation_and_time_left_but_no_key(deployed):
    deployed.ask('/safe/x', Tenant='forged', Hold='h', Kv_From='a/b')

    runs = [run for worker in deployed.workers.values() for run in worker.runs]
    headers = runs[0].headers
    assert headers['tenant'] == 'org'
    assert 0 < int(headers['deadline-ms']) <= 1500
    assert headers['expect-instance'] in deployed.workers
    for dropped in ('authorization', 'hold', 'kv-from'):
        assert dropped not in headers


@pytest.mark.parametrize(
    ('path', 'options', 'status'),
    [
        ('/nope/x', {}, 404),
        ('/safe', {}, 404),
        ('/safe/x', {'organisation': 'stranger'}, 401),
    ],
)
def test_a_request_that_the_configuration_does_not_allow_is_denied(
    deployed, path, options, status
):
    answer = deployed.ask(path, **options)

    assert answer.status == status
    assert deployed.count_runs() == 0


def test_a_stream_is_relayed_in_complete_events(deployed):
    answer = deployed.ask('/stream/x', method='POST')

    assert answer.is_complete
    assert answer.body.count(b'\n\n') == 3
    assert answer.headers['content-type'] == 'text/event-stream'


def test_a_safe_request_is_retried_after_a_failure(deployed):
    for worker in deployed.workers.values():
        worker.behaviour.failures_left = 1

    answer = deployed.ask('/safe/x')

    assert deployed.count_runs() == 2
    assert answer.status == 500
    assert deployed.ask('/safe/x').status == 200


def test_an_unsafe_request_whose_answer_is_lost_runs_once(deployed):
    for worker in deployed.workers.values():
        worker.behaviour.aborts_left = 1

    answer = deployed.ask('/unsafe/x', method='POST', body=b'hold')

    assert answer.status == 502
    assert deployed.count_runs() == 1


def test_an_unsafe_request_is_retried_after_a_refusal(deployed):
    deployed.workers['app-0'].behaviour.refusals_left = 1
    deployed.workers['app-1'].behaviour.refusals_left = 1

    answer = deployed.ask('/unsafe/x', method='POST', body=b'hold')
    later = deployed.ask('/unsafe/x', method='POST', body=b'hold')

    assert answer.status == 503
    assert float(answer.headers['retry-after']) > 0
    assert later.status == 200
    assert deployed.count_runs() == 1


def test_a_success_without_a_signature_is_not_relayed(deployed):
    for worker in deployed.workers.values():
        worker.behaviour.is_unsigned = True

    assert deployed.ask('/unsafe/x', method='POST').status == 502


def test_a_resumable_stream_resumes_at_another_worker(deployed):
    for worker in deployed.workers.values():
        worker.behaviour.event_count = 6
    deployed.workers['llm-0'].behaviour.cut_after_events = 2
    deployed.workers['llm-1'].behaviour.cut_after_events = 4

    answer = deployed.ask('/stream/r/x', method='POST')

    assert not answer.is_complete
    numbers = [line for line in answer.body.split(b'\n') if b'id: ' in line]
    assert numbers == [b'id: %d' % n for n in range(1, len(numbers) + 1)]
    assert len(numbers) in {2, 4}
    assert deployed.count_runs() == 2


def test_a_resumed_stream_is_complete_and_keeps_its_signature(deployed):
    for worker in deployed.workers.values():
        worker.behaviour.event_count = 6
    first = deployed.ask('/stream/r/x', method='POST')
    signer = first.headers['signature'].removeprefix('sig.')
    for name, worker in deployed.workers.items():
        worker.behaviour.cut_after_events = 2 if name == signer else None

    answers = [deployed.ask('/stream/r/x', method='POST') for _ in range(6)]

    for answer in answers:
        assert answer.is_complete
        assert answer.body == first.body


def test_a_stream_that_may_not_be_resumed_is_cut(deployed):
    for worker in deployed.workers.values():
        worker.behaviour.cut_after_events = 2

    answer = deployed.ask('/stream/x', method='POST')

    assert answer.status == 200
    assert not answer.is_complete
    assert answer.body.endswith(b'\n\n')
    assert deployed.count_runs() == 1


def test_a_request_ends_at_the_timeout_of_its_route(deployed):
    for worker in deployed.workers.values():
        worker.behaviour.is_silent = True

    answer = deployed.ask('/unsafe/x', method='POST', deadline_ms=9000)

    assert answer.status == 504
    assert answer.duration_s == pytest.approx(2.0, abs=0.1)
    assert (
        sum(len(worker.cancelled) for worker in deployed.workers.values()) == 1
    )


def test_a_run_is_cancelled_if_its_caller_disconnects(deployed):
    for worker in deployed.workers.values():
        worker.behaviour.is_silent = True
    answer = deployed.send('/unsafe/x', method='POST')
    deployed.world.run(0.1)
    answer.call.cancel()
    deployed.world.run(0.3)

    assert (
        sum(len(worker.cancelled) for worker in deployed.workers.values()) == 1
    )


def test_without_a_worker_a_request_is_refused_at_once():
    deployed = platform_system.PlatformSystem().build(workers=0)

    answer = deployed.ask('/unsafe/x', method='POST')

    assert answer.status == 503
    assert answer.duration_s < 0.1
    assert float(answer.headers['retry-after']) > 0


def test_a_worker_whose_address_was_reused_is_removed_at_once(deployed):
    deployed.workers['app-0'].name = 'someone-else'
    answers = [deployed.ask('/safe/x', run_s=0.3) for _ in range(8)]

    assert {answer.status for answer in answers} == {200}
    assert not deployed.workers['app-0'].runs
    assert len(deployed.workers['app-0'].arrivals) <= 1


def test_metrics_count_requests_by_outcome(deployed):
    deployed.ask('/safe/x')
    gateway = deployed.gateways['gateway-0']

    text = gateway.services.counts.render().decode()

    assert 'citron_requests_total{' in text
    assert 'outcome="answered"' in text
    assert 'citron_request_duration_seconds_bucket' in text
