"""Conversion of evidence about a candidate version to and from facts."""

from collections import abc

from citronjunction.membership import facts, table
from citronjunction.releases import evidence


def gather_rows(
    facts_table: table.FactTable,
    upstream: str,
    version: str,
    release: int,
) -> abc.Iterator[evidence.Row]:
    """Yield the rows of all entries about a version in a release."""
    for fact in facts_table.select(facts.EvidenceState):
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
    """Return the rows of own evidence in the form of facts."""
    return tuple(
        facts.EvidenceRow(
            row.route,
            row.metric,
            row.worker,
            row.samples,
            tuple(round(log_value, 3) for log_value in row.log_values),
        )
        for row in rows
    )


def measure_change(rows: abc.Iterable[evidence.Row]) -> float:
    """Return a number that changes with the evidence.

    Callers compare it to the last published one, to skip small changes.
    """
    return sum(row.samples / 20 + max(row.log_values) for row in rows)
