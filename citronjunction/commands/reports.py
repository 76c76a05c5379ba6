"""Rows that citronctl prints."""

import dataclasses
import json
from collections import abc

import rich
import typer
from rich import table

from citronjunction.conf import models as conf
from citronjunction.configuration import models as configuration
from citronjunction.releases import status


@dataclasses.dataclass(slots=True, frozen=True)
class SettingRow:
    """Describe a settings key."""

    section: str
    key: str
    kind: str
    unit: str
    default: str
    meaning: str


@dataclasses.dataclass(slots=True, frozen=True)
class MoveRow:
    """Describe a move for operators."""

    name: str
    revision: int
    action: str
    subject: str
    state: str
    share: float
    reason: str
    left_s: float
    is_final: bool


def list_settings(settings: conf.Settings) -> abc.Iterator[SettingRow]:
    """Yield a row for each settings key; secrets have no default shown."""
    for section in dataclasses.fields(settings):
        for key in dataclasses.fields(section.type):
            default = '' if key.name in conf.SECRET_KEYS else str(key.default)
            yield SettingRow(
                section.name,
                key.name,
                type(key.default).__name__,
                key.metadata['unit'],
                default,
                key.metadata['text'],
            )


def list_moves(
    current: configuration.Configuration,
    statuses: list[status.Status],
    now: float,
) -> list[MoveRow]:
    """Return every declared move with its state; ``now`` is epoch seconds."""
    by_owner = {held.owner: held for held in statuses}
    rows = []
    for move in current.moves:
        held = by_owner.get(status.get_owner(move.subject))
        record = held.find_move(move.name) if held else None
        if record is None and held and move.revision <= held.adopted_revision:
            continue
        if record is None:
            record = status.MoveRecord(
                move.name,
                move.action,
                move.subject,
                move.revision,
                move.deadline_at,
                reason='no control process has taken it up',
            )
        is_current = held is not None and held.candidate == move.version
        rows.append(
            MoveRow(
                move.name,
                move.revision,
                move.action,
                move.subject,
                record.state.value,
                held.share if is_current and record.is_open else 0,
                record.reason,
                round(move.deadline_at - now, 1),
                not record.is_open,
            ),
        )
    return rows


def print_moves(rows: list[MoveRow], *, as_json: bool) -> None:
    """Print moves as a table or as JSON."""
    if as_json:
        typer.echo(json.dumps([dataclasses.asdict(row) for row in rows]))
        return
    grid = table.Table('rev', 'action', 'subject', 'state', 'share', 'reason')
    for row in rows:
        grid.add_row(
            str(row.revision),
            row.action,
            row.subject,
            row.state,
            f'{row.share:.0%}',
            row.reason,
        )
    rich.print(grid)
