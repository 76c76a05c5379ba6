"""Boundaries of the source: names on the platform's wire and module sizes."""

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


def test_only_the_platform_package_contains_names_of_its_wire():
    outside = [
        path
        for path in (*ROOT.rglob('*.py'), *SOAK.rglob('*.py'))
        if 'platform' not in path.relative_to(ROOT.parent).parts
    ]
    matches = [
        f'{path.relative_to(ROOT.parent)}: {match.group()}'
        for path in sorted(outside)
        for match in WIRE_NAMES.finditer(path.read_text('utf-8'))
    ]

    assert not matches


def test_modules_have_at_most_400_lines():
    large = [
        str(path.relative_to(ROOT))
        for path in ROOT.rglob('*.py')
        if len(path.read_text('utf-8').splitlines()) > 400
    ]

    assert not large
