"""Define the problems that a document check reports."""

import attrs

__all__ = ["Finding", "format_findings"]


@attrs.frozen
class Finding:
    """Represent one problem and its position in a file.

    Attributes
    ----------
    file : str
        Name of the file or object that was checked.
    path : str
        Key path in the file, for example ``workspaces[0].keys[1]``, or ``line N``.
    message : str
        Description of the problem.
    """

    file: str
    path: str
    message: str

    def __str__(self) -> str:
        """Return the finding as a single line."""
        return f"{self.file}: {self.path}: {self.message}"


def format_findings(findings) -> str:
    """Return the findings as text with one line each."""
    return "\n".join(str(finding) for finding in findings)
