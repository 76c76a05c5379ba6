"""Stories of a subject, read from the log lines of many processes."""

import dataclasses
import json
from collections import abc

MAX_LINES = 10000  # of one story; more are counted
BEFORE_S = 15.0  # how long before its end a request's workers are looked at
PAIRED = ('subject', 'workers', 'source', 'target')

LogLine = dict[str, object]


@dataclasses.dataclass(slots=True)
class Trace:
    """Hold the lines about a subject in order of time."""

    lines: list[LogLine] = dataclasses.field(default_factory=list)
    dropped: int = 0

    def add(self, line: LogLine) -> None:
        """Take a line, up to a bound."""
        if len(self.lines) < MAX_LINES:
            self.lines.append(line)
        else:
            self.dropped += 1

    def sort(self) -> None:
        """Order the lines by time; clocks of hosts differ a little."""
        self.lines.sort(key=lambda line: line['at'])


def parse_lines(texts: abc.Iterable[str]) -> abc.Iterator[LogLine]:
    """Yield the decisions among log lines; a collector's prefix is skipped."""
    for text in texts:
        start = text.find('{"')
        if start < 0:
            continue
        try:
            line = json.loads(text[start:])
        except ValueError:
            continue  # a line that its reader cut off
        if isinstance(line, dict) and 'decision' in line and 'at' in line:
            yield line


def trace_subject(
    subject: str,
    read: abc.Callable[[], abc.Iterable[str]],
) -> Trace:
    """Return what happened to a subject and, shortly before, its workers."""
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
        is_near = end - BEFORE_S <= line['at'] <= end
        if is_near and line['subject'] in workers:
            trace.add(line)
    trace.sort()
    return trace


def mentions(line: LogLine, subject: str) -> bool:
    """Tell whether a line is about a subject."""
    for key in PAIRED:
        held = line.get(key)
        if held == subject or (isinstance(held, list) and subject in held):
            return True
    return line.get('organisation') == subject


def format_line(line: LogLine) -> str:
    """Return a line for people."""
    details = ' '.join(
        f'{key}={held}'
        for key, held in line.items()
        if key not in {'at', 'process', 'decision', 'subject'}
        and held not in ('', None, [])
    )
    return (
        f'{line["at"]:.3f} {line.get("process", "-")} {line["decision"]}'
        f' {line["subject"]} {details}'
    )
