"""Check settings and service documents."""

import pathlib
import sys
from typing import Annotated

import attrs
import cappa

from sesameport.documents import load_service, load_settings
from sesameport.domain import Finding, format_findings
from sesameport.platform import is_platform_settings, load_platform_settings

__all__ = ["Check", "check_files"]


def check_files(paths) -> list[Finding]:
    """Return the findings of all files.

    A file with a ``[host]`` table is read as settings, a file in the format of the
    users' platform as the settings of an entry host, and any other file as a service
    document.
    """
    findings = []
    for path in paths:
        try:
            text = path.read_text()
        except (OSError, UnicodeDecodeError) as exc:
            findings.append(Finding(str(path), "file", str(exc)))
            continue
        findings.extend(_select_loader(text)(text, str(path))[1])
    return findings


def _select_loader(text: str):
    if is_platform_settings(text):
        return load_platform_settings
    return load_settings if "[host]" in text else load_service


def _check(command: "Check") -> int:
    findings = check_files(command.documents)
    if findings:
        print(format_findings(findings), file=sys.stderr)
        print(f"{len(findings)} findings", file=sys.stderr)
        return 1
    print(f"{len(command.documents)} checked, no findings")
    return 0


@cappa.command(name="check", invoke=_check)
@attrs.frozen
class Check:
    """Check settings and service documents and report the findings of all files.

    Exit code 0: no findings. 1: findings. 2: wrong usage.
    """

    documents: Annotated[
        list[pathlib.Path], cappa.Arg(num_args=-1, help="TOML files", required=True)
    ]
