"""The platform's names stand in its adapter alone."""

import pathlib
import re

ROOT = pathlib.Path(__file__).parent.parent / 'citronjunction'
SOAK = ROOT.parent / 'soak'
WIRE_NAMES = re.compile(
    'Attempt-Id|Deadline-Ms|Prefix-Hash|Token-Usage|Expect-Instance'
    '|Expect-Version|Not-Executed|Fencing-Token|Request-Priority|Kv-From'
    '|Kv-Backup|Pin-Ms|pathPrefix|apiKeys|targetLatencyMs|kv-move|coldLeftMs'
    '|kvCapacity|windowId|ttlS|/api/objects|/api/resolve|/api/readyz'
    '|serializable|waitMs|leaves_ms|ratePerS|plainTokens'
)


def test_wire_names_stand_in_the_adapter_alone():
    outside = [
        path
        for path in (*ROOT.rglob('*.py'), *SOAK.rglob('*.py'))
        if 'platform' not in path.relative_to(ROOT.parent).parts
    ]
    found = [
        f'{path.relative_to(ROOT.parent)}: {match.group()}'
        for path in sorted(outside)
        for match in WIRE_NAMES.finditer(path.read_text('utf-8'))
    ]

    assert not found


def test_modules_stay_small():
    large = [
        str(path.relative_to(ROOT))
        for path in ROOT.rglob('*.py')
        if len(path.read_text('utf-8').splitlines()) > 400
    ]

    assert not large
