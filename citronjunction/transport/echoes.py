"""Headers that servers echo, by which responses are matched to calls."""

import dataclasses
from collections import abc


@dataclasses.dataclass(slots=True, frozen=True)
class Echo:
    """Name a header that the server echoes, to match responses to calls.

    A response without it may be repeated later and then answer another call,
    so its connection is not reused unless ``is_optional``.
    """

    name: str
    text: str
    is_optional: bool = False

    def is_of_other_call(self, headers: abc.Mapping[str, str]) -> bool:
        """Return whether a response with these headers is for another call."""
        return headers.get(self.name, self.text) != self.text
