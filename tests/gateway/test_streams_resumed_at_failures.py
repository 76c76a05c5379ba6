"""A stream that broke off is not continued with a worker's failure."""

import pytest

from tests.support import platform_system, scripted

EVENT = b'id: %d\ndata: t%d\n\n'
EVENTS = 3
BROKEN_AFTER = 1
TEXT = b'id: 2\ndata: error text\n\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'


def build_head(request, status, *, is_signed=True):
    name = scripted.get_header(request, 'Attempt-Id')
    signature = b'Signature: s\r\n' if is_signed else b''
    return b'HTTP/1.1 %b Status\r\nAttempt-Id: %b\r\n%b' % (
        status,
        name,
        signature,
    )


def answer_framed(connection, head):
    connection.send(b'%bContent-Length: %d\r\n\r\n' % (head, len(TEXT)))
    connection.send_later(0.02, TEXT)


def answer_chunked(connection, head):
    connection.send(head + CHUNKED + scripted.encode_chunk(TEXT))
    connection.send_later(0.02, b'0\r\n\r\n')


def answer_unframed(connection, head):
    connection.send(head + b'\r\n' + TEXT)
    connection.close_later(0.02)


def answer_broken_off(connection, head):
    connection.send(b'%bContent-Length: 90\r\n\r\n' % head + TEXT)
    connection.close_later(0.02)


def answer_twice(connection, head):
    whole = b'%bContent-Length: %d\r\n\r\n%b' % (head, len(TEXT), TEXT)
    connection.send(whole + whole)


def answer_empty(connection, head):
    connection.send(head + b'Content-Length: 0\r\n\r\n')


ANSWERS = (
    answer_framed,
    answer_chunked,
    answer_unframed,
    answer_broken_off,
    answer_twice,
    answer_empty,
)


def break_off(connection, request):
    event = EVENT % (BROKEN_AFTER, BROKEN_AFTER)
    connection.send(
        build_head(request, b'200') + CHUNKED + scripted.encode_chunk(event)
    )
    connection.close_later(0.05)


def play(workers, respond):
    """Break off each stream at its first worker; return the caller's answer."""
    system = platform_system.PlatformSystem()
    system.configuration['routes'] = [
        {**route, 'attempts': workers}
        for route in system.configuration['routes']
    ]
    system.build(workers=workers)
    seen = []

    def handle(connection, request):
        seen.append(connection)
        if len(seen) == 1:
            break_off(connection, request)
        else:
            respond(connection, request)

    for number in range(workers):
        scripted.replace_worker(system, f'llm-{number}', handle)
    answer = system.ask('/stream/r/x', method='POST')
    assert len(seen) > 1
    return answer


# Guards against MIXED: an error's text stood in a caller's stream.
@pytest.mark.parametrize('answer_with', ANSWERS)
@pytest.mark.parametrize('status', [b'400', b'404', b'500', b'503', b'302'])
def test_a_failure_never_enters_a_stream_that_has_begun(status, answer_with):
    answer = play(
        2,
        lambda connection, request: answer_with(
            connection, build_head(request, status)
        ),
    )

    assert answer.body in {b'', EVENT % (BROKEN_AFTER, BROKEN_AFTER)}
    assert not answer.is_complete


# Guards against MIXED: an answer of another program continued a stream.
@pytest.mark.parametrize('answer_with', ANSWERS)
def test_an_unsigned_answer_never_enters_a_stream_that_has_begun(answer_with):
    answer = play(
        2,
        lambda connection, request: answer_with(
            connection, build_head(request, b'200', is_signed=False)
        ),
    )

    assert answer.body in {b'', EVENT % (BROKEN_AFTER, BROKEN_AFTER)}
    assert not answer.is_complete


# Guards against ORDER: a stream without its last events looked whole.
def test_an_empty_answer_does_not_end_a_stream_that_has_begun():
    answer = play(
        2,
        lambda connection, request: answer_empty(
            connection, build_head(request, b'200')
        ),
    )

    assert answer.body == EVENT % (BROKEN_AFTER, BROKEN_AFTER)
    assert not answer.is_complete


# Guards against ORDER: a stream ended at the first failure.
@pytest.mark.parametrize('answer_with', ANSWERS)
def test_a_stream_goes_on_at_the_worker_after_a_failure(answer_with):
    numbers = []

    def respond(connection, request):
        numbers.append(len(numbers))
        if len(numbers) == 1:
            answer_with(connection, build_head(request, b'500'))
            return
        last = int(scripted.get_header(request, 'Last-Event-Id'))
        events = b''.join(EVENT % (n, n) for n in range(last + 1, EVENTS + 1))
        connection.send(
            build_head(request, b'200')
            + CHUNKED
            + scripted.encode_chunk(events)
            + b'0\r\n\r\n'
        )

    answer = play(3, respond)

    assert answer.body == b''.join(EVENT % (n, n) for n in range(1, EVENTS + 1))
    assert answer.is_complete
