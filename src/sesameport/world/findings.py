"""Describe problems that a check collects and reports together."""

import attrs

__all__ = ["Finding", "format_findings"]


@attrs.frozen
class Finding:
    """Describe one problem and its place.

    Attributes
    ----------
    file : str
        File or object that was checked.
    path : str
        Key path inside it, or ``line N``.
    message : str
        What is wrong and what is expected.
    """

    file: str
    path: str
    message: str

    def __str__(self) -> str:
        """Return the finding as one line of text."""
        return f"{self.file}: {self.path}: {self.message}"


def format_findings(findings) -> str:
    """Join findings to text, one per line."""
    return "\n".join(str(finding) for finding in findings)
