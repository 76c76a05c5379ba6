"""Errors, verdicts and deadlines of callers' requests through an entry."""

import pytest

from tests.support import system

PATH = '/v1/completions'
GOOD = {'model': 'llm', 'prompt': 'x', 'max_tokens': 4}


@pytest.fixture(scope='module')
def deployed():
    deployment = system.System()
    deployment.add_engine('llm-0', 'llm')
    deployment.add_service('app-0', 'app')
    deployment.add_entry('entry-0', control=False)
    note = '[note]\nid = one\n[upstream llm]\n[upstream app]\nkind = service\n'
    deployment.apply(note + deployment.make_organisation_note('org'))
    deployment.world.run(4)
    return deployment


def ask(deployment, path, body, organisation='org', **headers):
    names = {key.replace('_', '-'): text for key, text in headers.items()}
    call = deployment.send('entry-0', path, body, organisation, headers=names)
    deployment.world.run(5)
    return call


@pytest.mark.parametrize(
    ('path', 'body', 'headers', 'status', 'code'),
    [
        (PATH, b'{not json', {}, 400, 'invalid_json'),
        (PATH, [], {}, 400, 'invalid_json'),
        (PATH, {'prompt': 'x'}, {}, 400, 'invalid_request'),
        (PATH, {'model': 'llm'}, {}, 400, 'invalid_request'),
        (PATH, {**GOOD, 'max_tokens': -1}, {}, 400, 'invalid_request'),
        (PATH, {**GOOD, 'messages': ['x']}, {}, 400, 'invalid_request'),
        (PATH, {**GOOD, 'model': 'nope'}, {}, 404, 'model_not_found'),
        (PATH, {**GOOD, 'model': 'app'}, {}, 404, 'model_not_found'),
        ('/v1/services/nope/x', {}, {}, 404, 'service_not_found'),
        ('/v1/services/llm/x', {}, {}, 404, 'service_not_found'),
        (PATH, GOOD, {'Citron_Class': 'vip'}, 400, 'invalid_class'),
        (PATH, GOOD, {'Citron_Deadline': 'soon'}, 400, 'invalid_deadline'),
        (PATH, GOOD, {'Citron_Deadline': '-1'}, 400, 'invalid_deadline'),
        (PATH, GOOD, {'Idempotency_Key': 'k' * 300}, 400, 'invalid_key'),
    ],
)
def test_an_invalid_request_gets_its_status_and_error_code(
    deployed, path, body, headers, status, code
):
    call = ask(deployed, path, body, **headers)
    assert (call.status, call.document['error']['code']) == (status, code)
    assert call.verdict == 'not-run'
    assert call.headers['citron-request-id'].startswith('req-')


def test_the_error_for_an_unknown_token_does_not_contain_the_token(deployed):
    call = ask(deployed, PATH, GOOD, organisation='stranger')
    assert call.status == 401
    assert b'stranger' not in call.body


def test_unknown_paths_and_methods_get_404_and_405(deployed):
    assert ask(deployed, '/v1/nothing', {}).status == 404
    assert ask(deployed, '/v1/entries', {}).status == 405


def test_a_plain_answer_has_the_format_of_the_openai_api(deployed):
    call = ask(deployed, PATH, GOOD)
    assert call.document['object'] == 'text_completion'
    text = ''.join(system.expected_tokens('x', 4))
    assert call.document['choices'][0]['text'] == text


def test_a_request_that_exceeds_its_deadline_while_running_may_have_run(
    deployed,
):
    body = {**GOOD, 'max_tokens': 5000}
    call = ask(deployed, PATH, body, Citron_Deadline='0.5')
    assert (call.status, call.verdict) == (504, 'may-have-run')
    assert deployed.engines['llm-0'].batch.is_idle


def test_only_operators_may_read_decisions(deployed):
    call = deployed.send('entry-0', '/v1/decisions/x', b'', method='GET')
    deployed.world.run(1)
    assert call.status == 403


def test_a_request_without_an_eligible_worker_gets_the_verdict_not_run(
    deployed,
):
    deployed.engines['llm-0'].options.versions[:] = ['v7']
    deployed.world.run(2)
    call = ask(deployed, PATH, GOOD)
    assert (call.status, call.verdict) == (503, 'not-run')
    assert int(call.headers['retry-after']) >= 1
    deployed.engines['llm-0'].options.versions[:] = ['v1']
    deployed.world.run(2)
