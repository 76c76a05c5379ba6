"""Faults that are injected into requests of a version."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class VersionFault:
    """Describe a fault of a version; ``kind`` is none, fail, slow or crash.

    The first ``after`` requests succeed. The fault applies while more than
    ``above_load`` requests are running, to paths that contain ``route``.
    ``slowdown`` multiplies the duration for the kind slow. An engine crashes
    on any request whose body contains ``crash_on``.
    """

    kind: str = 'none'
    after: int = 0
    above_load: int = -1
    route: str = ''
    slowdown: float = 4
    crash_on: str = ''

    def applies_to(self, served: int, running: int, path: str) -> bool:
        """Return whether the fault applies to a request."""
        if self.kind == 'none' or served < self.after:
            return False
        if running <= self.above_load:
            return False
        return not self.route or self.route in path
