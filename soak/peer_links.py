"""Peer links between entry processes, as the kernel lists their connections."""

import os
import pathlib
from collections import abc

from soak import system

SOCKETS = pathlib.Path('/proc/net/tcp')
ADDRESSES = slice(1, 3)  # fields of a line
STATE = 3
INODE = 9
ESTABLISHED = '01'
LISTENING = '0A'
SOCKET = 'socket:['
Pair = frozenset[str]


def list_pairs(entries: abc.Iterable[system.Entry]) -> dict[Pair, set[str]]:
    """Return the open connections between the entries, by pair of names.

    A connection is named by the address of its client.
    """
    running = [entry for entry in entries if entry.is_running()]
    owners = {}
    for entry in running:
        owners.update(
            dict.fromkeys(_list_inodes(entry.process.pid), entry.name)
        )
    listeners = {entry.ports['control']: entry.name for entry in running}
    pairs: dict[Pair, set[str]] = {}
    for local, remote, inode in _list_sockets(ESTABLISHED):
        if remote in listeners and inode in owners:
            pair = frozenset((listeners[remote], owners[inode]))
            pairs.setdefault(pair, set()).add(local)
    return pairs


def is_listening(entry: system.Entry) -> bool:
    """Return whether an entry accepts peer links."""
    address = entry.ports['control']
    return any(local == address for local, _, _ in _list_sockets(LISTENING))


def _list_sockets(state: str) -> abc.Iterator[tuple[str, str, str]]:
    """Yield the local and remote address and the inode of sockets."""
    for line in SOCKETS.read_text().splitlines()[1:]:
        fields = line.split()
        if fields[STATE] == state:
            local, remote = map(_decode, fields[ADDRESSES])
            yield local, remote, fields[INODE]


def _list_inodes(pid: int) -> list[str]:
    """Return the inodes of a process's sockets; none if it has ended."""
    inodes = []
    try:
        for file in os.scandir(f'/proc/{pid}/fd'):
            target = os.readlink(file.path)
            if target.startswith(SOCKET):
                inodes.append(target[len(SOCKET) : -1])
    except FileNotFoundError:
        return inodes
    return inodes


def _decode(address: str) -> str:
    """Return ``IP:PORT`` of an address in the form of the kernel."""
    digits, _, port = address.partition(':')
    numbers = reversed(bytes.fromhex(digits))
    return f'{".".join(map(str, numbers))}:{int(port, 16)}'
