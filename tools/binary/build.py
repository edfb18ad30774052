"""Build one executable file from the repository.

Usage: python tools/binary/build.py OUTPUT

It needs a C compiler and a Python with its static library (``libpython3.11.a``), and
takes the installed dependencies from the environment that runs it.
"""

import importlib.metadata
import importlib.util
import marshal
import pathlib
import re
import subprocess
import sys
import sysconfig
import tempfile
import zipfile

from packaging.requirements import Requirement

HERE = pathlib.Path(__file__).parent
SOURCE = HERE.parent.parent / "src"
STDLIB = pathlib.Path(sysconfig.get_path("stdlib"))
SUFFIX = sysconfig.get_config_var("EXT_SUFFIX")
SKIPPED_STDLIB = {
    "__pycache__",
    "config-3.11-x86_64-linux-gnu",
    "ensurepip",
    "idlelib",
    "lib-dynload",
    "lib2to3",
    "pydoc_data",
    "site-packages",
    "test",
    "tkinter",
    "turtle.py",
    "turtledemo",
    "venv",
}
SKIPPED_EXTENSIONS = re.compile(r"_test|_tkinter|_curses|readline|xx|_ctypes_test|nis")
# These belong to the C library, which must be the machine's own.
SYSTEM_LIBRARIES = re.compile(
    r"^(linux-vdso|ld-linux|libc|libm|libdl|libpthread|librt|libutil|libgcc_s)\b"
)


class Archive:
    """Collect modules for the archive; every entry is stored uncompressed.

    zipimport needs zlib for compressed entries, and zlib is itself an extension module
    in the archive.
    """

    def __init__(self, path: pathlib.Path):
        self._zip = zipfile.ZipFile(path, "w", zipfile.ZIP_STORED)
        self._names: set[str] = set()
        self.modules: dict[str, str] = {}
        self.needed: dict[str, list[str]] = {}

    def add_tree(self, root: pathlib.Path, base: pathlib.Path) -> None:
        """Add a module file, or a package with its data and extension modules."""
        files = [root] if root.is_file() else sorted(root.rglob("*"))
        for file in files:
            relative = file.relative_to(base)
            parts = relative.parts
            if not file.is_file() or {"__pycache__", "tests", "test"} & set(parts):
                continue
            self.add_file(file, relative.as_posix())

    def add_file(self, file: pathlib.Path, name: str) -> None:
        """Add one file: a module as bytecode, an extension module, or data."""
        if name.endswith(".py"):
            self.add_source(file.read_text(), name)
        elif name.endswith(".so"):
            self.add_extension(file, name)
        elif not name.endswith((".pyi", ".c", ".h", ".pyx", ".pxd", ".exe")):
            self._write(name, file.read_bytes())

    def add_source(self, text: str, name: str) -> None:
        """Compile a module; the bytecode is marked as never checked."""
        code = compile(text, f"<sesameport>/{name}", "exec", dont_inherit=True)
        flags = (0b01).to_bytes(4, "little") + bytes(8)
        data = importlib.util.MAGIC_NUMBER + flags + marshal.dumps(code)
        self._write(name + "c", data)

    def add_extension(self, file: pathlib.Path, name: str) -> None:
        """Add an extension module and the shared libraries that it needs."""
        stem = file.name.removesuffix(SUFFIX).removesuffix(".abi3.so")
        stem = stem.removesuffix(".so")
        module = ".".join([*pathlib.PurePath(name).parent.parts, stem])
        entry = f"_extensions/{module}.so"
        self.modules[module] = entry
        self.needed[entry] = [self._add_library(path) for path in _libraries_of(file)]
        self._write(entry, file.read_bytes())

    def close(self) -> None:
        """Write the index of extension modules and close the archive."""
        text = f"MODULES = {self.modules!r}\nNEEDED = {self.needed!r}\n"
        self.add_source(text, "sesameport_extensions.py")
        self._zip.close()

    def _add_library(self, path: pathlib.Path) -> str:
        entry = f"_libraries/{path.name}"
        if entry not in self._names:
            self._write(entry, path.read_bytes())
        return entry

    def _write(self, name: str, data: bytes) -> None:
        if name in self._names:
            return
        self._names.add(name)
        # zipimport takes a directory for a namespace package only by its own entry.
        for parent in pathlib.PurePosixPath(name).parents:
            if parent.name and f"{parent}/" not in self._names:
                self._names.add(f"{parent}/")
                entry = zipfile.ZipInfo(f"{parent}/", (1980, 1, 1, 0, 0, 0))
                self._zip.writestr(entry, b"")
        # A fixed time gives the same archive from the same files.
        self._zip.writestr(zipfile.ZipInfo(name, (1980, 1, 1, 0, 0, 0)), data)


def _libraries_of(file: pathlib.Path) -> list[pathlib.Path]:
    """Return the libraries that a file needs, each after those it needs itself."""
    output = subprocess.run(["ldd", file], capture_output=True, text=True, check=True)
    found = re.findall(r"^\s*(\S+) => (\S+) \(", output.stdout, re.MULTILINE)
    paths = [
        pathlib.Path(path) for name, path in found if not SYSTEM_LIBRARIES.match(name)
    ]
    ordered: list[pathlib.Path] = []
    for path in paths:
        for inner in [*_libraries_of(path), path]:
            if inner not in ordered:
                ordered.append(inner)
    return ordered


def _distributions(name: str, found: dict | None = None) -> dict:
    """Return the distributions that a distribution needs at run time, by name."""
    found = {} if found is None else found
    for text in importlib.metadata.requires(name) or []:
        requirement = Requirement(text)
        marker = requirement.marker
        if marker is not None and not marker.evaluate({"extra": ""}):
            continue
        if requirement.name not in found:
            found[requirement.name] = importlib.metadata.distribution(requirement.name)
            _distributions(requirement.name, found)
    return found


def _add_distribution(archive: Archive, dist) -> None:
    for file in dist.files or []:
        path = pathlib.Path(dist.locate_file(file))
        parts = set(file.parts)
        if ".." in parts or {"__pycache__", "tests"} & parts or not path.is_file():
            continue
        if file.parts[0].endswith(".dist-info"):
            if file.name in ("METADATA", "entry_points.txt"):
                archive.add_file(path, file.as_posix())
            continue
        if file.parts[0].endswith(".libs"):
            continue  # added with the extension modules that need them
        archive.add_file(path, file.as_posix())


def build_archive(path: pathlib.Path) -> None:
    """Write the archive of all modules."""
    archive = Archive(path)
    for item in sorted(STDLIB.iterdir()):
        if item.name not in SKIPPED_STDLIB:
            archive.add_tree(item, STDLIB)
    for file in sorted((STDLIB / "lib-dynload").glob("*.so")):
        if not SKIPPED_EXTENSIONS.match(file.name):
            archive.add_file(file, file.name)
    for _, dist in sorted(_distributions("sesameport").items()):
        _add_distribution(archive, dist)
    archive.add_tree(SOURCE / "sesameport", SOURCE)
    archive.add_file(HERE / "sesameport_start.py", "sesameport_start.py")
    archive.close()


def build_launcher(path: pathlib.Path) -> None:
    """Compile the launcher with the interpreter inside."""
    library = pathlib.Path(sysconfig.get_config_var("LIBPL"))
    library /= sysconfig.get_config_var("LIBRARY")
    if not library.exists():
        raise SystemExit(f"no static library of this Python at {library}")
    command = [
        *["gcc", "-O2", "-s", "-rdynamic", str(HERE / "launcher.c")],
        *["-I", sysconfig.get_config_var("INCLUDEPY"), "-o", str(path)],
        # Extension modules use symbols that the launcher itself does not.
        *["-Wl,--whole-archive", str(library), "-Wl,--no-whole-archive"],
        *["-lm", "-ldl", "-lpthread", "-lutil"],
    ]
    subprocess.run(command, check=True)


def main() -> None:
    """Build the executable."""
    if len(sys.argv) != 2:
        raise SystemExit(__doc__)
    output = pathlib.Path(sys.argv[1])
    with tempfile.TemporaryDirectory() as directory:
        launcher = pathlib.Path(directory) / "launcher"
        archive = pathlib.Path(directory) / "archive.zip"
        build_launcher(launcher)
        build_archive(archive)
        output.parent.mkdir(parents=True, exist_ok=True)
        output.write_bytes(launcher.read_bytes() + archive.read_bytes())
    output.chmod(0o755)
    print(f"{output}: {output.stat().st_size / 1e6:.1f} MB")


if __name__ == "__main__":
    main()
