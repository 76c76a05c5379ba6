"""Rows of settings and moves that citronctl prints."""

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
    """Describe a settings key; written as JSON."""

    section: str
    key: str
    kind: str
    unit: str
    default: str
    meaning: str


@dataclasses.dataclass(slots=True, frozen=True)
class MoveRow:
    """Describe a move; written as JSON.

    ``left_s`` is the time until its deadline, negative once it has passed.
    """

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
    """Yield a row per settings key, without the defaults of secrets."""
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
    """Return a row per declared move; ``now`` is in seconds since the epoch.

    Moves that a control process has adopted but no longer records are omitted.
    """
    statuses_by_owner = {item.owner: item for item in statuses}
    rows = []
    for move in current.moves:
        owner_status = statuses_by_owner.get(status.get_owner(move.subject))
        record = owner_status.find_move(move.name) if owner_status else None
        if (
            record is None
            and owner_status
            and move.revision <= owner_status.adopted_revision
        ):
            continue
        if record is None:
            record = status.MoveRecord(
                move.name,
                move.action,
                move.subject,
                move.revision,
                move.deadline_at,
                reason='not yet adopted by a control process',
            )
        is_current = (
            owner_status is not None and owner_status.candidate == move.version
        )
        rows.append(
            MoveRow(
                move.name,
                move.revision,
                move.action,
                move.subject,
                record.state.value,
                owner_status.share if is_current and record.is_open else 0,
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
