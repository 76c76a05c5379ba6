"""An operator's order to evacuate a data centre."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Order:
    """Order that nothing more is sent to the workers of a data centre.

    ``revision`` is that of the stored object.
    """

    zone: str
    revision: int


@dataclasses.dataclass(slots=True, frozen=True)
class Evacuation:
    """An order in force, with when it was heard of in monotonic seconds."""

    order: Order
    since: float
