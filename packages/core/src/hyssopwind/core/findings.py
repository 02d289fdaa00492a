"""Findings of a settings check, each with its location."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Finding:
    """An error in a settings document.

    Attributes:
        source: the file name or the path in the configuration service.
        line: the line in the source, from 1; 0 if it is unknown.
        key: the dotted key in the document; empty for the whole document.
        message: what was expected and what was found.
    """

    source: str
    line: int
    key: str
    message: str

    def __str__(self) -> str:
        location = f"{self.source}:{self.line}"
        if not self.key:
            return f"{location}: {self.message}"
        return f'{location}: key "{self.key}": {self.message}'
