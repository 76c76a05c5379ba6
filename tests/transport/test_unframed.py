"""How long a reset may follow the end of a response without a length."""

import math

import pytest

from citronjunction.transport import unframed

ENDED_AT = 100.0


@pytest.mark.parametrize('status', [200, 399, 413, 503])
@pytest.mark.parametrize('latest_at', [0.0, math.inf])
def test_a_response_to_a_request_without_a_body_ends_at_once(status, latest_at):
    linger = unframed.build_linger(status, 0, latest_at)
    assert linger.compute_end(ENDED_AT) == ENDED_AT


# Guards against a rule by size: how much a server reads is not known.
@pytest.mark.parametrize('size', [1, 8000, 1 << 14, (1 << 14) + 1, 1 << 20])
@pytest.mark.parametrize(
    ('status', 'left_s', 'expected_s'),
    [
        (200, math.inf, 1.5),
        (399, 2.0, 1.5),
        (200, 1.2, 1.2),
        (200, 0.2, 0.5),
        (200, -1.0, 0.5),
        (400, math.inf, 0.5),
        (503, 0.2, 0.5),
    ],
)
def test_a_response_to_an_upload_ends_after_a_wait(
    size, status, left_s, expected_s
):
    linger = unframed.build_linger(status, size, ENDED_AT + left_s)
    assert linger.compute_end(ENDED_AT) == pytest.approx(ENDED_AT + expected_s)
