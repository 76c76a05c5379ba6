"""Writing log lines never blocks, and dropped lines are counted."""

import json
import os
import subprocess
import sys

import pytest

from citronjunction.observability import output


@pytest.fixture
def pipe():
    reading, writing = os.pipe()
    yield reading, writing
    os.close(reading)
    os.close(writing)


def read_bytes(reading):
    os.set_blocking(reading, False)
    received = b''
    while True:
        try:
            part = os.read(reading, 1 << 16)
        except BlockingIOError:
            break
        received += part
    return received


def read_lines(reading):
    return read_bytes(reading).decode().splitlines()


def test_a_line_is_written_immediately(pipe):
    reading, writing = pipe
    writer = output.LineWriter(writing)
    writer.write('{"a": 1}')

    assert read_lines(reading) == ['{"a": 1}']


def test_lines_for_a_stopped_reader_are_dropped_without_blocking(pipe):
    reading, writing = pipe
    writer = output.LineWriter(writing)
    line = json.dumps({'text': 'x' * 500})
    for _ in range(2000):
        writer.write(line)

    assert writer.dropped > 0
    assert len(writer.pending) <= output.MAX_PENDING_BYTES
    dropped = writer.dropped
    received = read_bytes(reading)
    while writer.pending:
        writer.flush()
        received += read_bytes(reading)
    writer.write(line)
    received += read_bytes(reading)
    received = received.decode().splitlines()
    notices = [json.loads(line) for line in received if 'dropped' in line]
    assert notices == [{'decision': 'log', 'dropped': dropped}]
    assert len(received) - 1 + dropped == 2001


def test_a_closed_reader_raises_no_error(pipe):
    reading, writing = pipe
    writer = output.LineWriter(writing)
    os.close(reading)
    writer.write('lost')
    os.dup2(writing, reading)

    assert not writer.pending


def test_decisions_and_library_warnings_become_json_lines():
    script = (
        'import logging\n'
        'from citronjunction.observability import decisions, output\n'
        'output.start_logging()\n'
        'decisions.DecisionLog("e", lambda: 1.0).write("start", "e")\n'
        'logging.getLogger("library").info("connection open")\n'
        'logging.getLogger("library").warning("odd frame")\n'
    )
    result = subprocess.run(
        (sys.executable, '-c', script),
        capture_output=True,
        check=True,
        text=True,
    )

    decision, warning = map(json.loads, result.stdout.splitlines())
    assert decision['decision'] == 'start'
    assert warning['message'] == 'odd frame'
    assert not result.stderr
