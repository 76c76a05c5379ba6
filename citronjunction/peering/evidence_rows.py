"""Evidence about a candidate version, to and from the facts of peers."""

from collections import abc

from citronjunction.membership import facts, table
from citronjunction.releases import evidence


def gather_rows(
    held: table.FactTable,
    upstream: str,
    version: str,
    release: int,
) -> abc.Iterator[evidence.Row]:
    """Yield all rows about a version in a release."""
    for fact in held.select(facts.EvidenceState):
        if (fact.upstream, fact.version, fact.release) == (
            upstream,
            version,
            release,
        ):
            for row in fact.rows:
                yield evidence.Row(
                    row.route,
                    row.metric,
                    row.worker,
                    row.samples,
                    row.log_values,
                )


def encode_rows(
    rows: abc.Iterable[evidence.Row],
) -> tuple[facts.EvidenceRow, ...]:
    """Build what peers are told of own evidence."""
    return tuple(
        facts.EvidenceRow(
            row.route,
            row.metric,
            row.worker,
            row.samples,
            tuple(round(held, 3) for held in row.log_values),
        )
        for row in rows
    )


def measure_change(rows: abc.Iterable[evidence.Row]) -> float:
    """Return a number that changes as the evidence does."""
    return sum(row.samples / 20 + max(row.log_values) for row in rows)
