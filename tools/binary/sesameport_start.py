"""Import extension modules from the running executable, then run the command line.

The archive contains the extension modules and their shared libraries without
compression. On import, each is copied to an anonymous memory file (memfd) of this
process and loaded by its path under /proc/self/fd. Until the finder is installed, only
modules that need no extension module can be imported.
"""

import os
import sys
from importlib.machinery import ExtensionFileLoader, ModuleSpec

import _sesameport_launcher
import sesameport_extensions as extensions

__all__ = ["run"]

_EXECUTABLE = "/proc/self/exe"
_LOCAL_HEADER_BYTES = 30


class ArchiveFinder:
    """Find extension modules in the archive and copy them to memory files."""

    def __init__(self):
        self._paths: dict[str, str] = {}

    def find_spec(self, name, path=None, target=None):
        """Return the spec of an extension module, or None for other modules."""
        entry = extensions.MODULES.get(name)
        if entry is None:
            return None
        for library in extensions.LIBRARIES.get(entry, ()):
            if library not in self._paths:
                _sesameport_launcher.load_library(self._copy_to_memory(library))
        file = self._copy_to_memory(entry)
        spec = ModuleSpec(name, ExtensionFileLoader(name, file), origin=file)
        spec.has_location = True
        return spec

    def _copy_to_memory(self, entry: str) -> str:
        if entry not in self._paths:
            # The descriptor stays open so that its number is not reused: the dynamic
            # linker identifies loaded libraries by path, here /proc/self/fd/NUMBER.
            memory = os.memfd_create(entry.rpartition("/")[2], os.MFD_CLOEXEC)
            start, size = _locate_entry(entry)
            source = os.open(_EXECUTABLE, os.O_RDONLY | os.O_CLOEXEC)
            try:
                while size > 0:
                    sent = os.sendfile(memory, source, start, size)
                    start, size = start + sent, size - sent
            finally:
                os.close(source)
            self._paths[entry] = f"/proc/self/fd/{memory}"
        return self._paths[entry]


def _locate_entry(entry: str) -> tuple[int, int]:
    """Return the offset and size of an uncompressed entry in the executable."""
    importer = sys.path_importer_cache[_EXECUTABLE]
    size, header_start = importer._files[entry][3:5]
    source = os.open(_EXECUTABLE, os.O_RDONLY | os.O_CLOEXEC)
    try:
        header = os.pread(source, _LOCAL_HEADER_BYTES, header_start)
    finally:
        os.close(source)
    name_bytes = int.from_bytes(header[26:28], "little")
    extra_bytes = int.from_bytes(header[28:30], "little")
    return header_start + _LOCAL_HEADER_BYTES + name_bytes + extra_bytes, size


def run() -> None:
    """Install the finder and run the command line."""
    sys.meta_path.insert(0, ArchiveFinder())
    sys.argv[0] = "sesameport"
    from sesameport.__main__ import main

    main()
