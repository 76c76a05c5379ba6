"""Load reports of workers, and orders to them."""

import dataclasses
import json

import pydantic

LOAD_HEADER = 'endpoint-load-metrics'
JSON_PREFIX = 'JSON '


@dataclasses.dataclass(slots=True, frozen=True)
class LoadReport:
    """Load and versions that a worker reports.

    ``running`` and ``queued`` count requests, ``slots`` is the number that may
    run at once. ``fencing`` is the fencing token of the last order that the
    worker followed, ``boot`` an id that changes at each start.
    """

    running: int = 0
    queued: int = 0
    slots: int = 16
    versions: tuple[str, ...] = ()
    fencing: int = 0
    boot: str = ''


LOAD_REPORT_ADAPTER = pydantic.TypeAdapter(LoadReport)


def parse_report(text: str | bytes) -> LoadReport | None:
    """Parse the JSON of a report; return ``None`` if it is malformed."""
    try:
        return LOAD_REPORT_ADAPTER.validate_json(text)
    except pydantic.ValidationError:
        return None


def parse_load_header(headers: dict[str, str]) -> LoadReport | None:
    """Parse the report in the headers of a response, if there is one."""
    text = headers.get(LOAD_HEADER, '')
    if not text.startswith(JSON_PREFIX):
        return None
    return parse_report(text[len(JSON_PREFIX) :])


def encode_order(versions: tuple[str, ...], fencing: int) -> bytes:
    """Encode the order to serve exactly these versions.

    ``fencing`` is the fencing token of the sender's lease.
    """
    order = {'versions': list(versions), 'fencing': fencing}
    return json.dumps(order).encode()
