"""Headers and error bodies of verdicts."""

import pytest

from citronjunction.verdicts import http, models


def test_not_run_has_a_retry_after_header_in_whole_seconds():
    headers = http.get_headers(models.NotRun('busy', retry_after_s=2.2))
    assert headers == {'Citron-Verdict': 'not-run', 'Retry-After': '3'}


def test_may_have_run_has_no_retry_after_header():
    headers = http.get_headers(models.MayHaveRun('lost'))
    assert headers == {'Citron-Verdict': 'may-have-run'}


@pytest.mark.parametrize(
    ('status', 'kind'),
    [(400, 'invalid_request_error'), (503, 'server_error')],
)
def test_error_body_has_the_format_of_the_openai_api(status, kind):
    failure = models.NotRun('why', status=status, code='some_code')
    error = http.build_error(failure, 'req-1')['error']
    assert error == {
        'message': 'why',
        'type': kind,
        'code': 'some_code',
        'verdict': 'not-run',
        'request_id': 'req-1',
    }
