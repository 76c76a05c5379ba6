"""Accounting of what all callers of a process cost, and who goes first.

Answers the load of crowds that stop short of their end, read nothing or send
thousands of short fields, beside which ordinary callers must be served.
"""

import collections
import dataclasses
from collections import abc

from citronjunction.budgeting import bodies
from citronjunction.budgeting import models as budgets
from citronjunction.conf import models

MIN_BODIES = 3  # bodies of the largest size that always fit
RESERVED_CONNECTIONS = 16  # that each listener may always open, at most
RESERVED_SHARE = 16  # of ``max_connections``: one in so many for a listener


@dataclasses.dataclass(slots=True)
class Usage:
    """Sum the accounts of an address."""

    connections: int = 0
    cost: int = 0


class Ledger:
    """Decide whether connections and bytes of callers fit.

    ``on_ended`` receives each decision to end or refuse one. All listeners of
    a process share a ledger.
    """

    __slots__ = (
        'accounts',
        'addresses',
        'bodies',
        'count_sockets',
        'listeners',
        'on_ended',
        'settings',
        'total',
    )

    def __init__(self, settings: models.Http) -> None:
        self.settings = settings
        self.bodies = bodies.BodyBudget(settings)
        # A dict keeps the order of opening, for equal scores.
        self.accounts: dict[budgets.Account, None] = {}
        self.addresses: dict[str, Usage] = {}
        self.listeners: collections.Counter[str] = collections.Counter()
        self.total = 0
        # Returns the number of open sockets, a new connection's included.
        self.count_sockets: abc.Callable[[], int] = _count_none
        self.on_ended: abc.Callable[[budgets.Ended], None] = _ignore

    @property
    def limit(self) -> int:
        """Return the bytes that all callers may cost."""
        return max(self.settings.max_cost, MIN_BODIES * self.settings.max_body)

    def open(
        self, listener: str, address: str, evict: budgets.Evict, now: float
    ) -> budgets.Account | None:
        """Open an account; return None if the connection doesn't fit."""
        account = budgets.Account(listener, address, evict, now)
        usage = self.addresses.get(address) or Usage()
        if usage.connections >= self.settings.max_address_connections:
            self._report(account, budgets.Limit.address, now)
            return None
        if not self.has_socket(self.count_sockets() - 1, now):
            self._report(account, budgets.Limit.sockets, now)
            return None
        if not self._has_connection(listener, now):
            self._report(account, budgets.Limit.connections, now)
            return None
        self.accounts[account] = None
        self.addresses.setdefault(address, usage).connections += 1
        self.listeners[listener] += 1
        return account

    def close(self, account: budgets.Account) -> None:
        """Free an account; further calls do nothing."""
        if not account.is_open:
            return
        account.is_open = False
        self.clear(account)
        self.accounts.pop(account, None)
        self.listeners[account.listener] -= 1
        usage = self.addresses[account.address]
        usage.connections -= 1
        if not usage.connections:
            self.addresses.pop(account.address)

    def clear(self, account: budgets.Account) -> None:
        """Free all bytes of an account."""
        self.bodies.release(account)
        self._add(account, -account.cost)
        account.parts = budgets.make_parts()

    def charge(
        self,
        account: budgets.Account,
        part: budgets.Part,
        size: int,
        now: float,
    ) -> bool:
        """Set the bytes of a part; return whether they fit.

        Others are evicted for them if those cost more or progress less.
        """
        if not account.is_open:
            return True
        delta = size - account.parts[part]
        account.parts[part] = size
        self._add(account, delta)
        if delta <= 0 or self.total <= self.limit:
            return True
        return self._make_room(account, now)

    def reserve_body(
        self, account: budgets.Account, size: int, now: float
    ) -> bool:
        """Reserve bytes for a body; slow senders of other bodies yield."""
        while not self.bodies.reserve(account, size):
            victim = self._find_slow_sender(account, now)
            if victim is None:
                self._report(account, budgets.Limit.bodies, now)
                return False
            self._evict(victim, budgets.Limit.bodies, now)
        return True

    def has_socket(self, opened: int, now: float) -> bool:
        """Return whether one more socket may be opened beside those open."""
        if opened < self.settings.max_sockets:
            return True
        return self._evict_idlest(budgets.Limit.sockets, 0, now)

    def _add(self, account: budgets.Account, delta: int) -> None:
        account.cost += delta
        self.total += delta
        usage = self.addresses.get(account.address)
        if usage is not None:
            usage.cost += delta

    def _make_room(self, account: budgets.Account, now: float) -> bool:
        while self.total > self.limit:
            victim = self._find_costliest(now)
            if victim is None or victim is account:
                self._report(account, budgets.Limit.memory, now)
                return False
            self._evict(victim, budgets.Limit.memory, now)
        return True

    def _find_costliest(self, now: float) -> budgets.Account | None:
        return max(
            (known for known in self.accounts if known.is_evictable()),
            key=lambda known: (known.is_slow(now), self._score(known, now)),
            default=None,
        )

    def _score(self, account: budgets.Account, now: float) -> float:
        share = self.addresses[account.address].cost / max(self.total, 1)
        return account.score(now) * (1 + share)

    def _find_slow_sender(
        self, account: budgets.Account, now: float
    ) -> budgets.Account | None:
        return max(
            (
                known
                for known in self.bodies.reserved
                if known is not account
                and not known.is_running
                and known.is_slow(now)
            ),
            key=lambda known: self._score(known, now),
            default=None,
        )

    def _has_connection(self, listener: str, now: float) -> bool:
        most = self.settings.max_connections
        if len(self.accounts) < most:
            return True
        reserved = min(RESERVED_CONNECTIONS, most // RESERVED_SHARE)
        if self.listeners[listener] < reserved:
            return True
        return self._evict_idlest(budgets.Limit.connections, reserved, now)

    def _evict_idlest(
        self, limit: budgets.Limit, reserved: int, now: float
    ) -> bool:
        """Close the connection without progress for longest, if one is slow."""
        victim = max(
            (
                known
                for known in self.accounts
                if known.is_slow(now)
                and (known.is_evictable() or not known.is_running)
                and self.listeners[known.listener] > reserved
            ),
            key=lambda known: (not known.is_idle, now - known.began_at),
            default=None,
        )
        if victim is None:
            return False
        self._evict(victim, limit, now)
        return True

    def _evict(
        self, victim: budgets.Account, limit: budgets.Limit, now: float
    ) -> None:
        ended = self._report(victim, limit, now)
        # Freed first: an error must not leave the victim to be chosen again.
        self.close(victim)
        victim.evict(ended)

    def _report(
        self, account: budgets.Account, limit: budgets.Limit, now: float
    ) -> budgets.Ended:
        ended = budgets.Ended(
            limit,
            account.listener,
            account.address,
            account.cost,
            now - account.began_at,
            account.moved,
            account.is_slow(now),
        )
        self.on_ended(ended)
        return ended


def _count_none() -> int:
    return 0


def _ignore(ended: budgets.Ended) -> None:
    """Drop the report."""
