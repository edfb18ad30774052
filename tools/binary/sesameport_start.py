"""Import extension modules from the running executable, then run the command line.

The archive holds extension modules and the shared libraries they need uncompressed.
Each one that is imported is copied to an anonymous memory file of this process and
loaded by its path under /proc/self/fd. Only modules that need no extension module may
be imported before the finder is installed.
"""

import os
import sys
from importlib.machinery import ExtensionFileLoader, ModuleSpec

import _sesameport_launcher
import sesameport_extensions as extensions

__all__ = ["run"]

_EXECUTABLE = "/proc/self/exe"
_LOCAL_HEADER_BYTES = 30


class MemoryFinder:
    """Find extension modules in the archive."""

    def __init__(self):
        self._paths: dict[str, str] = {}

    def find_spec(self, name, path=None, target=None):
        """Return the spec of an extension module, or None for other names."""
        entry = extensions.MODULES.get(name)
        if entry is None:
            return None
        for library in extensions.NEEDED.get(entry, ()):
            if library not in self._paths:
                _sesameport_launcher.load_library(self._copy(library))
        file = self._copy(entry)
        spec = ModuleSpec(name, ExtensionFileLoader(name, file), origin=file)
        spec.has_location = True
        return spec

    def _copy(self, entry: str) -> str:
        if entry not in self._paths:
            # The descriptor stays open: the dynamic linker compares paths of loaded
            # libraries, so a number under /proc/self/fd must not be used twice.
            memory = os.memfd_create(entry.rpartition("/")[2], os.MFD_CLOEXEC)
            start, size = _find(entry)
            source = os.open(_EXECUTABLE, os.O_RDONLY | os.O_CLOEXEC)
            try:
                while size > 0:
                    sent = os.sendfile(memory, source, start, size)
                    start, size = start + sent, size - sent
            finally:
                os.close(source)
            self._paths[entry] = f"/proc/self/fd/{memory}"
        return self._paths[entry]


def _find(entry: str) -> tuple[int, int]:
    """Return the position and size of an uncompressed entry in the executable."""
    importer = sys.path_importer_cache[_EXECUTABLE]
    size, header_start = importer._files[entry][3:5]
    source = os.open(_EXECUTABLE, os.O_RDONLY | os.O_CLOEXEC)
    try:
        header = os.pread(source, _LOCAL_HEADER_BYTES, header_start)
    finally:
        os.close(source)
    names = int.from_bytes(header[26:28], "little")
    extra = int.from_bytes(header[28:30], "little")
    return header_start + _LOCAL_HEADER_BYTES + names + extra, size


def run() -> None:
    """Install the finder and run the command line."""
    sys.meta_path.insert(0, MemoryFinder())
    sys.argv[0] = "sesameport"
    from sesameport.commands import main

    main()
