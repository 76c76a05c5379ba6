"""Event streams are split after complete events, however bytes arrive."""

import hypothesis
import pytest
from hypothesis import strategies

from citronjunction.gateway import events

STREAM = b''.join(
    b'id: %d\nweight-versions: 1\ndata: %s\n\n' % (n, b'x' * n)
    for n in range(1, 9)
)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(strategies.sets(strategies.integers(1, len(STREAM) - 1)))
def test_any_cut_of_the_bytes_gives_the_same_events(cuts):
    reader = events.EventReader()
    relayed = b''
    bounds = [0, *sorted(cuts), len(STREAM)]
    for start, end in zip(bounds, bounds[1:], strict=False):
        part = reader.feed(STREAM[start:end])
        assert not part or part.endswith(b'\n\n')
        relayed += part
        if relayed:
            assert reader.last_id == str(relayed.count(b'\n\n'))

    assert relayed == STREAM
    assert reader.remainder == b''


@pytest.mark.parametrize('end', [b'\n\n', b'\r\n\r\n'])
def test_an_event_that_has_begun_is_told_from_the_end_of_one(end):
    reader = events.EventReader()

    assert reader.feed(b'id: 1' + end) == b'id: 1' + end
    assert not reader.is_inside_event
    assert not reader.feed(end[: len(end) // 2])
    assert not reader.is_inside_event
    reader.feed(b'id: 2')
    assert reader.is_inside_event


def test_an_event_without_end_is_rejected_at_the_size_limit():
    reader = events.EventReader()

    with pytest.raises(events.EventTooLarge):
        for _ in range(40):
            reader.feed(b'x' * 65536)
