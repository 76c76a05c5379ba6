"""CPU time and memory of processes, read from /proc."""

import dataclasses
import os
import pathlib

TICKS_PER_S = os.sysconf('SC_CLK_TCK')
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
CPU_FIELD = 11  # after the name in /proc/PID/stat: user, then system ticks
RSS_FIELD = 1  # resident pages in /proc/PID/statm


@dataclasses.dataclass(slots=True, frozen=True)
class Usage:
    """CPU seconds and resident memory of a process."""

    cpu_s: float
    rss_bytes: int


def read_usage(process_id: int) -> Usage:
    """Return the usage of a process so far."""
    folder = pathlib.Path('/proc') / str(process_id)
    text = (folder / 'stat').read_text()
    fields = text.rpartition(')')[2].split()
    ticks = int(fields[CPU_FIELD]) + int(fields[CPU_FIELD + 1])
    pages = int((folder / 'statm').read_text().split()[RSS_FIELD])
    return Usage(ticks / TICKS_PER_S, pages * PAGE_BYTES)
