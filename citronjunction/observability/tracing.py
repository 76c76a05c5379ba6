"""Trace of a subject across the decision logs of many processes."""

import dataclasses
import json
from collections import abc

MAX_LINES = 10000  # per trace; further ones are only counted
WORKER_LOOKBACK_S = 15.0  # before the last line about the subject
SUBJECT_KEYS = ('subject', 'workers', 'source', 'target')

LogLine = dict[str, object]


@dataclasses.dataclass(slots=True)
class Trace:
    """Log lines about a subject."""

    lines: list[LogLine] = dataclasses.field(default_factory=list)
    dropped: int = 0

    def add(self, line: LogLine) -> None:
        """Add a line, or count it as dropped over the limit."""
        if len(self.lines) < MAX_LINES:
            self.lines.append(line)
        else:
            self.dropped += 1

    def sort(self) -> None:
        """Sort the lines by time; clocks of hosts may differ slightly."""
        self.lines.sort(key=lambda line: line['at'])


def parse_lines(texts: abc.Iterable[str]) -> abc.Iterator[LogLine]:
    """Yield the decisions among log lines.

    Text before the JSON is skipped: log collectors add a prefix.
    """
    for text in texts:
        start = text.find('{"')
        if start < 0:
            continue
        try:
            line = json.loads(text[start:])
        except ValueError:
            continue  # truncated by the log reader
        if isinstance(line, dict) and 'decision' in line and 'at' in line:
            yield line


def trace_subject(
    subject: str,
    read: abc.Callable[[], abc.Iterable[str]],
) -> Trace:
    """Return decisions about a subject and recent ones about its workers.

    ``read`` returns all log lines; it is called up to two times.
    """
    trace = Trace()
    for line in parse_lines(read()):
        if mentions(line, subject):
            trace.add(line)
    trace.sort()
    workers = {
        str(name)
        for line in trace.lines
        if line['subject'] == subject
        for name in line.get('workers') or ()
    }
    if not workers:
        return trace
    end = max(line['at'] for line in trace.lines)
    for line in parse_lines(read()):
        is_recent = end - WORKER_LOOKBACK_S <= line['at'] <= end
        if is_recent and line['subject'] in workers:
            trace.add(line)
    trace.sort()
    return trace


def mentions(line: LogLine, subject: str) -> bool:
    """Return whether a line is about a subject or refers to it."""
    for key in SUBJECT_KEYS:
        value = line.get(key)
        if value == subject or (isinstance(value, list) and subject in value):
            return True
    return line.get('organisation') == subject


def format_line(line: LogLine) -> str:
    """Return a line in a readable form."""
    details = ' '.join(
        f'{key}={value}'
        for key, value in line.items()
        if key not in {'at', 'process', 'decision', 'subject'}
        and value not in ('', None, [])
    )
    return (
        f'{line["at"]:.3f} {line.get("process", "-")} {line["decision"]}'
        f' {line["subject"]} {details}'
    )
