"""Header names and paths of the platform."""

REQUEST_ID = 'Attempt-Id'
TIME_LEFT_MS = 'Deadline-Ms'
PROMPT_PARTS = 'Prefix-Hash'
TOKENS = 'Token-Usage'  # prompt tokens, then the most output tokens
MODEL = 'Model'
LAST_EVENT = 'Last-Event-Id'
SIGNATURE = 'Signature'
ORGANISATION = 'Tenant'
EXPECTED_WORKER = 'Expect-Instance'
EXPECTED_VERSION = 'Expect-Version'
PRIORITY = 'Request-Priority'  # 0 is the most urgent, 9 the least
NOT_RUN = 'Not-Executed'
MEMORY_FROM = 'Kv-From'  # address of the source and handle of the memory
HOLDER = 'Holder'
FENCE = 'Fencing-Token'
BEARER = 'bearer '

# Set by the system alone: a caller's values are dropped.
SYSTEM_HEADERS = frozenset(
    (
        'tenant',
        'hold',
        'pin-ms',
        'kv-fetch',
        'kv-from',
        'kv-backup',
        'expect-instance',
        'expect-version',
        'request-priority',
        'authorization',
        'deadline-ms',
        'last-event-id',
    ),
)

# Concern one connection (RFC 9110, 7.6.1), or are written anew.
CONNECTION_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'host',
        'expect',
    ),
)

OBJECTS = '/api/objects'
ADDRESSES = '/api/resolve'
READINESS = '/api/readyz'
REPORT = '/api/report'
MEMORY_MOVE = '/api/kv-move'
USAGE = '/usage'
SCALE = '/scale'
