"""Header names and paths of the platform."""

REQUEST_ID = 'Attempt-Id'
TIME_LEFT_MS = 'Deadline-Ms'
PROMPT_PARTS = 'Prefix-Hash'
TOKENS = 'Token-Usage'  # prompt tokens, then the limit on output tokens
MODEL = 'Model'
LAST_EVENT = 'Last-Event-Id'
SIGNATURE = 'Signature'
ORGANISATION = 'Tenant'
EXPECTED_WORKER = 'Expect-Instance'
EXPECTED_VERSION = 'Expect-Version'
PRIORITY = 'Request-Priority'  # 0 is the most urgent, 9 the least
NOT_RUN = 'Not-Executed'
LEAVING = 'Server-Leaving'  # 1: the worker takes no new requests soon
RETRY_AFTER = 'Retry-After'  # seconds
LIMIT = 'Server-Limit'  # requests a second from all entries together
BRITTLE = 'Server-Brittle'  # refusals a second above which the worker ends
KV_SOURCE = 'Kv-From'  # address of the source and handle of the KV cache
HOLDER = 'Holder'
FENCING_TOKEN = 'Fencing-Token'
STORE_ERA = 'Store-Era'  # rises each time the store is restored from a copy
AUTHORIZATION = 'Authorization'
BEARER_PREFIX = 'bearer '
FORWARDED = 'Citron-Forwarded'  # signed mark of the entry that forwards

# Only this system sets them; values that a caller sends are dropped.
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
        'citron-forwarded',
    ),
)

# Apply to one connection (RFC 9110, 7.6.1), or are set anew when forwarding.
HOP_BY_HOP_HEADERS = frozenset(
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
KV_CACHE_MOVE = '/api/kv-move'
KV_CACHE_HANDLE = '/api/kv-handle/{}'
USAGE = '/usage'
SCALE = '/scale'
