"""Problems found in settings."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Problem:
    """One problem of a settings file.

    ``where`` has the path, section and key as far as they are known.
    """

    code: str
    where: str
    text: str
    hint: str

    def __str__(self) -> str:
        """Return the problem on one line."""
        return (
            f'citron.{self.code}: {self.where}: {self.text} HINT: {self.hint}'
        )
