"""Findings of a check, each with the place that it is about."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Finding:
    """One thing that is wrong in a settings document.

    Attributes:
        source: the file name or the path in the configuration service.
        line: the line in the source, from 1; 0 where it is unknown.
        key: the dotted key in the document; empty for the whole document.
        message: what was expected and what was found.
    """

    source: str
    line: int
    key: str
    message: str

    def __str__(self) -> str:
        place = f"{self.source}:{self.line}"
        if not self.key:
            return f"{place}: {self.message}"
        return f'{place}: key "{self.key}": {self.message}'
