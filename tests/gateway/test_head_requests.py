"""Answers to HEAD requests end with their heads."""

import pytest

from tests.support import platform_system, scripted

START = b'HTTP/1.1 200 OK\r\nSignature: s\r\nAttempt-Id: %b\r\n'
EVENT = b'id: 1\ndata: t1\n\n'
LENGTH = b'Content-Length: 16\r\n\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
WIRES = {
    'length': START + LENGTH,
    'chunked': START + CHUNKED,
    'neither': START + b'\r\n',
    'length and body': START + LENGTH + EVENT,
    'chunked body': START + CHUNKED + scripted.encode_chunk(EVENT),
    'body alone': START + b'\r\n' + EVENT,
}


@pytest.mark.parametrize('path', ['/safe/x', '/unsafe/x', '/stream/x'])
@pytest.mark.parametrize('case', WIRES)
def test_an_answer_to_head_ends_with_its_head(path, case):
    deployed = platform_system.PlatformSystem().build(workers=1)
    name = 'llm-0' if path.startswith('/stream') else 'app-0'
    server = scripted.replace_worker(
        deployed, name, scripted.answer_with(WIRES[case])
    )
    answer = deployed.ask(path, method='HEAD', run_s=0.1)

    assert server.requests
    assert (answer.status, answer.is_complete) == (200, True)
    assert answer.body == b''
    length = '16' if 'length' in case else None
    assert answer.headers.get('content-length') == length
