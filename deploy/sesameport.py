"""Start sesameport from a checkout whose packages are on Python's path."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "src"))

from sesameport.commands import main  # noqa: E402

main()
