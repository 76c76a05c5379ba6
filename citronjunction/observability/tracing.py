"""Stories of a subject, read from the log lines of many processes."""

import dataclasses
import json
from collections import abc

MAX_LINES = 10000  # of one story; more are counted
BEFORE_S = 15.0  # how long before its end a request's workers are looked at
PAIRED = ('subject', 'workers', 'source', 'target')

Line = dict[str, object]


@dataclasses.dataclass(slots=True)
class Story:
    """Hold the lines about a subject in order of time."""

    lines: list[Line] = dataclasses.field(default_factory=list)
    dropped: int = 0

    def add(self, line: Line) -> None:
        """Take a line, up to a bound."""
        if len(self.lines) < MAX_LINES:
            self.lines.append(line)
        else:
            self.dropped += 1

    def sort(self) -> None:
        """Order the lines by time; clocks of hosts differ a little."""
        self.lines.sort(key=lambda line: line['at'])


def parse(texts: abc.Iterable[str]) -> abc.Iterator[Line]:
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


def tell(
    subject: str,
    read: abc.Callable[[], abc.Iterable[str]],
) -> Story:
    """Return what happened to a subject and, shortly before, its workers."""
    story = Story()
    for line in parse(read()):
        if mentions(line, subject):
            story.add(line)
    story.sort()
    workers = {
        str(name)
        for line in story.lines
        if line['subject'] == subject
        for name in line.get('workers') or ()
    }
    if not workers:
        return story
    end = max(line['at'] for line in story.lines)
    for line in parse(read()):
        is_near = end - BEFORE_S <= line['at'] <= end
        if is_near and line['subject'] in workers:
            story.add(line)
    story.sort()
    return story


def mentions(line: Line, subject: str) -> bool:
    """Tell whether a line is about a subject."""
    for key in PAIRED:
        held = line.get(key)
        if held == subject or (isinstance(held, list) and subject in held):
            return True
    return line.get('organisation') == subject


def render(line: Line) -> str:
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
