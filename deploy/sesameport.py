"""Start an entry host from a checkout, with the dependencies on Python's path.

The command line is not imported: its modules would take a fifth of the memory of the
host and a third of its start time. SIGHUP ends a process without a handler, so the
handler that reloads the settings is installed before the imports.
"""

import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "src"))

from sesameport.reload_signal import install_reload_signal  # noqa: E402

install_reload_signal()

from sesameport.entry.process import run_entry_host  # noqa: E402
from sesameport.platform import HttpPlatformAdapter, load_platform_settings  # noqa: E402

settings_file = pathlib.Path(os.environ["SESAMEPORT_CONFIG"])
raise SystemExit(
    run_entry_host(settings_file, load_platform_settings, HttpPlatformAdapter())
)
