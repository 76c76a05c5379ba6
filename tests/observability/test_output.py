"""Log lines never block, and lost ones are counted."""

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
    held = b''
    while True:
        try:
            part = os.read(reading, 1 << 16)
        except BlockingIOError:
            break
        held += part
    return held


def read_lines(reading):
    return read_bytes(reading).decode().splitlines()


def test_lines_are_written_at_once(pipe):
    reading, writing = pipe
    writer = output.LineWriter(writing)
    writer.write('{"a": 1}')

    assert read_lines(reading) == ['{"a": 1}']


def test_a_reader_that_stops_costs_lines_and_not_time(pipe):
    reading, writing = pipe
    writer = output.LineWriter(writing)
    line = json.dumps({'text': 'x' * 500})
    for _ in range(2000):
        writer.write(line)

    assert writer.dropped > 0
    assert len(writer.pending) <= output.MAX_PENDING_BYTES
    dropped = writer.dropped
    kept = read_bytes(reading)
    while writer.pending:
        writer.flush()
        kept += read_bytes(reading)
    writer.write(line)
    kept += read_bytes(reading)
    kept = kept.decode().splitlines()
    notes = [json.loads(held) for held in kept if 'dropped' in held]
    assert notes == [{'decision': 'log', 'dropped': dropped}]
    assert len(kept) - 1 + dropped == 2001


def test_a_closed_reader_is_no_error(pipe):
    reading, writing = pipe
    writer = output.LineWriter(writing)
    os.close(reading)
    writer.write('lost')
    os.dup2(writing, reading)

    assert not writer.pending


def test_decisions_and_warnings_of_libraries_are_lines():
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
