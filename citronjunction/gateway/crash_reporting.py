"""Detection of worker crashes, which make the running requests suspect."""

import dataclasses
import functools
from collections import abc

from citronjunction.attempts import suspects
from citronjunction.duties import clock
from citronjunction.gateway import attempt, connection_checks, context
from citronjunction.membership import facts
from citronjunction.peering import node

CONNECT_S = 0.5  # a running worker accepts within milliseconds
CHECK_DELAY_S = 0.1  # a worker that ends closes its listener a bit later
# Most parts that only shared a worker with the cause are answered elsewhere
# within this time, and need not be reported.
PART_DELAY_S = 0.2


@dataclasses.dataclass(slots=True)
class Crash:
    """Store what a worker ran as its connections were lost.

    ``parts`` are those of prompts that have not been answered since, also
    elsewhere, with the time of the last request. Times are in seconds since the
    epoch.
    """

    worker: str
    lost_at: float
    fingerprints: set[int] = dataclasses.field(default_factory=set)
    parts: dict[int, float] = dataclasses.field(default_factory=dict)
    is_confirmed: bool = False


class CrashReporter:
    """Publish the requests and parts that ran when a worker crashed."""

    def __init__(
        self,
        services: context.Services,
        peers: node.PeerNode,
        steady_clock: clock.SteadyClock,
    ) -> None:
        self.services = services
        self.peers = peers
        self.clock = steady_clock
        # Crashes that are being checked or reported, by start of the worker.
        self.crashes: dict[str, Crash] = {}

    def check(self, traits: suspects.Traits, lost: attempt.Attempt) -> None:
        """Check whether a worker that lost an attempt has crashed."""
        registration = lost.worker.registration
        start = registration.start_key
        crash = self.crashes.get(start)
        if crash is None:
            crash = Crash(registration.name, self.clock.now())
            self.crashes[start] = crash
            # A worker that only lost an answer accepts the connection.
            connection_checks.ConnectionCheck(
                self.peers.loop.sockets,
                CONNECT_S,
                functools.partial(self._on_checked, start),
            ).start(registration.address, CHECK_DELAY_S)
        age_s = self.services.timers.now() - lost.sent_at
        sent_at = self.clock.now() - age_s
        crash.fingerprints.add(traits.fingerprint)
        for part in traits.parts:
            crash.parts[part] = max(sent_at, crash.parts.get(part, 0))
        if crash.is_confirmed:
            self._report_request(crash, traits.fingerprint)

    def clear(self, parts: abc.Sequence[int]) -> None:
        """Clear the parts of a prompt that a worker has answered."""
        for part in parts:
            for crash in self.crashes.values():
                crash.parts.pop(part, None)
            if self.services.suspect_parts.has_crashes(part):
                now = self.clock.now()
                self.peers.publish(facts.SuspectPart(part, (), now))

    def apply_part(self, fact: facts.SuspectPart) -> None:
        """Apply the crashes under a part that entries have reported."""
        parts = self.services.suspect_parts
        now = self.services.timers.now()
        if parts.update(fact.part, fact.crashes, now):
            self.services.log.write(
                'suspect part',
                str(fact.part),
                workers=[worker for worker, _, _ in fact.crashes],
                for_s=self.services.settings.attempts.suspect_s,
            )

    def _on_checked(self, start: str, check: connection_checks.Result) -> None:
        if check is connection_checks.Result.accepted:
            self.crashes.pop(start)
            return
        crash = self.crashes[start]
        crash.is_confirmed = True
        for fingerprint in crash.fingerprints:
            self._report_request(crash, fingerprint)
        self.services.timers.call_later(
            PART_DELAY_S, lambda: self._report_parts(start)
        )

    def _report_request(self, crash: Crash, fingerprint: int) -> None:
        self.services.log.write(
            'suspect request',
            str(fingerprint),
            worker=crash.worker,
        )
        now = self.services.timers.wall_time()
        self.peers.publish(
            facts.SuspectRequest(fingerprint, (crash.worker,), now)
        )

    def _report_parts(self, start: str) -> None:
        crash = self.crashes.pop(start)
        for part, sent_at in crash.parts.items():
            crashes = ((start, sent_at, crash.lost_at),)
            self.peers.publish(facts.SuspectPart(part, crashes, 0))
