"""Adapter: decoding of platform messages, encoding of calls to workers."""

import hypothesis
import pytest
from hypothesis import strategies

from citronjunction.gateway import models
from citronjunction.platform import (
    configuration,
    caller_requests,
    registry,
    upstream_calls,
)
from citronjunction.transport import encoding, http_client, http_server

JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(
            strategies.sampled_from(
                [
                    'version',
                    'routes',
                    'service',
                    'addr',
                    'state',
                    'zone',
                    'born',
                ]
            )
            | strategies.text(max_size=6),
            inner,
            max_size=5,
        )
    ),
    max_leaves=12,
)
DERANDOMIZED = hypothesis.settings(derandomize=True, deadline=None)

REQUEST = http_server.Request(
    'POST',
    '/a/b',
    'q=1',
    {
        'host': 'x.example:80',
        'attempt-id': 'r1',
        'deadline-ms': '1500',
        'authorization': 'Bearer k1',
        'model': 'm',
        'token-usage': '1460,80',
        'prefix-hash': '5c1e:800,91bd:410,e440:250',
        'connection': 'keep-alive, x-hop',
        'x-hop': '1',
        'x-own': '2',
        'kv-from': 'forged',
        'last-event-id': '7',
    },
    b'body',
    5.0,
)


def test_a_request_is_decoded():
    decoded = caller_requests.decode(REQUEST)

    assert decoded.name == 'r1'
    assert decoded.host == 'x.example'
    assert decoded.target == '/a/b?q=1'
    assert decoded.key == 'k1'
    assert decoded.deadline_s == 1.5
    assert decoded.last_event == '7'
    assert decoded.prompt.prompt_tokens == 1460
    assert decoded.prompt.affinity_key == '91bd'
    assert decoded.prompt.shared_tokens == 1210
    assert decoded.headers['x-own'] == '2'
    for dropped in ('x-hop', 'kv-from', 'authorization', 'connection'):
        assert dropped not in decoded.headers


@pytest.mark.parametrize(
    ('name', 'text'),
    [
        ('deadline-ms', 'soon'),
        ('token-usage', '1'),
        ('token-usage', 'a,b'),
        ('prefix-hash', 'nonsense,,:'),
        ('authorization', 'Basic x'),
    ],
)
def test_malformed_optional_headers_count_as_absent(name, text):
    headers = {**REQUEST.headers, name: text}
    request = http_server.Request('GET', '/', '', headers, b'')

    decoded = caller_requests.decode(request)

    assert {
        'deadline-ms': decoded.deadline_s is None,
        'token-usage': decoded.prompt is None,
        'prefix-hash': decoded.prompt is not None
        and decoded.prompt.affinity_key == '',
        'authorization': decoded.key == '',
    }[name]


def test_a_call_names_worker_organisation_and_remaining_time():
    assignment = models.Assignment(
        'i-1', '10.0.0.1:80', 1.25, 'org', 3, '9', 0.3, 8.0
    )

    call = upstream_calls.encode(caller_requests.decode(REQUEST), assignment)
    head = encoding.encode_call_head(call).decode()

    assert head.startswith('POST /a/b?q=1 HTTP/1.1\r\nHost: x.example\r\n')
    for line in (
        'Deadline-Ms: 1250',
        'Expect-Instance: i-1',
        'Tenant: org',
        'Request-Priority: 3',
        'Last-Event-Id: 9',
        'prefix-hash: 5c1e:800,91bd:410,e440:250',
        'Content-Length: 4',
    ):
        assert f'{line}\r\n' in head
    assert 'k1' not in head


@pytest.mark.parametrize(
    ('status', 'headers', 'refused', 'authentic'),
    [
        (200, {'signature': 's'}, False, True),
        (200, {}, False, False),
        (200, {'signature': 's', 'content-encoding': 'gzip'}, False, False),
        (503, {'not-executed': '1'}, True, False),
        (503, {'signature': 's'}, False, True),
        (421, {}, True, False),
        (500, {'signature': 's'}, False, True),
    ],
)
def test_an_answer_shows_refusal_and_authenticity(
    status, headers, refused, authentic
):
    fields = [(k.encode(), v.encode()) for k, v in headers.items()]

    answer = upstream_calls.decode(http_client.Head(status, headers, fields))

    assert answer.is_refused is refused
    assert answer.is_authentic is authentic


@pytest.mark.parametrize(
    ('text', 'limit'),
    [
        ('1', 1.0),
        (' 2.5 ', 2.5),
        ('1e-1', 0.1),
        ('0', 0.0),
        ('', None),
        ('-1', None),
        ('nan', None),
        ('inf', None),
        ('two', None),
    ],
)
def test_a_limit_on_requests_is_decoded_if_it_is_usable(text, limit):
    headers = {'server-limit': text}

    answer = upstream_calls.decode(http_client.Head(200, headers, []))

    assert answer.limit_per_s == limit


def test_hop_by_hop_headers_are_not_relayed():
    fields = [
        (b'Signature', b's'),
        (b'Content-Length', b'3'),
        (b'Connection', b'close'),
        (b'Keep-Alive', b'timeout=3'),
        (b'Load', b'3,1,8'),
    ]
    headers = {k.decode().lower(): v.decode() for k, v in fields}

    answer = upstream_calls.decode(http_client.Head(200, headers, fields))

    assert answer.fields == ((b'Signature', b's'), (b'Load', b'3,1,8'))
    assert answer.length == 3


def test_a_configuration_is_decoded():
    decoded = configuration.decode(
        {
            'version': 7,
            'routes': [
                {
                    'name': 'r',
                    'host': 'h',
                    'pathPrefix': '/a/',
                    'type': 'stream',
                    'timeoutMs': 15000,
                    'targetLatencyMs': 500,
                    'split': [
                        {'service': 'one', 'weight': 90},
                        {'service': 'two', 'weight': 10},
                    ],
                    'attempts': 2,
                    'resumable': True,
                    'later': 'unknown',
                }
            ],
            'services': [
                {
                    'name': 'one',
                    'scaling': {
                        'min': 1,
                        'max': 3,
                        'bootS': 4.0,
                        'spotPrice': 0.15,
                        'zonePrices': {'z1': 1.0},
                    },
                }
            ],
            'tenants': [
                {
                    'name': 'org',
                    'apiKeys': ['k1', 'k2'],
                    'unit': 'tokens',
                    'plainTokens': 200,
                    'ratePerS': 100,
                    'burst': 50,
                }
            ],
        }
    )

    route = decoded.routes[0]
    assert route.timeout_s == 15
    assert route.latency_target_s == 0.5
    assert route.is_idempotent
    assert [target.weight for target in route.targets] == [90, 10]
    assert decoded.upstreams['one'].scaling.reclaimable_price == 0.15
    assert decoded.keys == {'k1': 'org', 'k2': 'org'}
    quota = decoded.organisations['org'].quota
    assert quota.unit is models.QuotaUnit.tokens
    assert quota.plain_cost == 200


@pytest.mark.parametrize(
    'fields',
    [
        {'ratePerS': -1},
        {'burst': 'many'},
        {'plainTokens': None},
        {'ratePerS': float('nan')},
        {'unit': 'bytes'},
    ],
)
# One unusable quota must not cost the rest of a configuration.
def test_an_unusable_quota_is_left_out(fields):
    tenants = [{'name': 'org', 'apiKeys': ['k'], **fields}, {'name': 'other'}]
    decoded = configuration.decode({'version': 3, 'tenants': tenants})

    assert decoded.organisations['org'].quota is None
    assert decoded.organisations['other'].quota == models.NO_QUOTA
    assert decoded.keys == {'k': 'org'}


@DERANDOMIZED
@hypothesis.given(JSON_VALUES)
def test_no_stored_value_breaks_the_decoders(value):
    worker = registry.decode('name', value)
    decoded = configuration.decode(value)
    rollout = configuration.decode_rollout(value, value, 3)

    assert worker is None or worker.address
    assert decoded is None or isinstance(decoded.version, int)
    assert rollout is None or rollout.upstream


@pytest.mark.parametrize(
    'fields',
    [
        {'coldPerS': -1},
        {'coldS': 'long'},
        {'coldPerS': None},
        {'coldS': float('nan')},
        {'coldPerS': 1e9, 'coldS': 3},
        {'coldS': 1e9},
        {'coldPerS': True},
    ],
)
# Unusable figures of one upstream must not cost the rest of a configuration.
def test_unusable_figures_of_a_cold_start_are_left_out(fields):
    services = [
        {'name': 'one', 'maxConns': 3, **fields},
        {'name': 'other', 'coldS': 3, 'coldPerS': 11.0},
        {'name': 'plain'},
    ]
    decoded = configuration.decode({'version': 3, 'services': services})

    upstreams = decoded.upstreams
    assert upstreams['one'].cold_start is None
    assert upstreams['one'].max_connections == 3
    assert upstreams['other'].cold_start == models.ColdStart(3, 11)
    assert upstreams['plain'].cold_start == models.NO_COLD_START
