"""Problems found in a release note."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class NoteProblem:
    """One problem of a release note.

    ``where`` is the section heading, or ``note`` for the whole note.
    """

    code: str
    where: str
    text: str
    hint: str = ''

    def __str__(self) -> str:
        """Return the problem on one line."""
        hint = f' HINT: {self.hint}' if self.hint else ''
        return f'citron.{self.code}: [{self.where}] {self.text}{hint}'
