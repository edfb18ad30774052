"""Build the single-file executable.

Usage: python tools/binary/build.py OUTPUT

The build needs a C compiler and a Python that has its static library
(``libpython3.11.a``). The dependencies are copied from the environment that runs it.
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
SYSTEM_LIBRARIES = re.compile(
    r"^(linux-vdso|ld-linux|libc|libm|libdl|libpthread|librt|libutil|libgcc_s)\b"
)
"""Parts of the C library, which must come from the machine that runs the file."""


class Archive:
    """Write modules to a zip archive without compression.

    zipimport needs zlib for compressed entries, and zlib is itself an extension module
    in the archive.
    """

    def __init__(self, path: pathlib.Path):
        self._zip = zipfile.ZipFile(path, "w", zipfile.ZIP_STORED)
        self._names: set[str] = set()
        self.modules: dict[str, str] = {}
        self.libraries: dict[str, list[str]] = {}

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
        """Add a file: a module as bytecode, an extension module or a data file."""
        if name.endswith(".py"):
            self.add_source(file.read_text(), name)
        elif name.endswith(".so"):
            self.add_extension(file, name)
        elif not name.endswith((".pyi", ".c", ".h", ".pyx", ".pxd", ".exe")):
            self._write(name, file.read_bytes())

    def add_source(self, text: str, name: str) -> None:
        """Add a compiled module whose bytecode is never checked against its source."""
        code = compile(text, f"<sesameport>/{name}", "exec", dont_inherit=True)
        flags = (0b01).to_bytes(4, "little") + bytes(8)
        data = importlib.util.MAGIC_NUMBER + flags + marshal.dumps(code)
        self._write(name + "c", data)

    def add_extension(self, file: pathlib.Path, name: str) -> None:
        """Add an extension module and the shared libraries it is linked to."""
        stem = file.name.removesuffix(SUFFIX).removesuffix(".abi3.so")
        stem = stem.removesuffix(".so")
        module = ".".join([*pathlib.PurePath(name).parent.parts, stem])
        entry = f"_extensions/{module}.so"
        self.modules[module] = entry
        self.libraries[entry] = [
            self._add_library(path) for path in _find_libraries(file)
        ]
        self._write(entry, file.read_bytes())

    def close(self) -> None:
        """Write the index of extension modules and close the archive."""
        text = f"MODULES = {self.modules!r}\nLIBRARIES = {self.libraries!r}\n"
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
        # zipimport recognizes a namespace package only by the entry of its directory.
        for parent in pathlib.PurePosixPath(name).parents:
            if parent.name and f"{parent}/" not in self._names:
                self._names.add(f"{parent}/")
                entry = zipfile.ZipInfo(f"{parent}/", (1980, 1, 1, 0, 0, 0))
                self._zip.writestr(entry, b"")
        # With a fixed time stamp the same files give the same archive.
        self._zip.writestr(zipfile.ZipInfo(name, (1980, 1, 1, 0, 0, 0)), data)


def _find_libraries(file: pathlib.Path) -> list[pathlib.Path]:
    """Return the shared libraries of a file, each after the libraries it needs."""
    output = subprocess.run(["ldd", file], capture_output=True, text=True, check=True)
    entries = re.findall(r"^\s*(\S+) => (\S+) \(", output.stdout, re.MULTILINE)
    paths = [
        pathlib.Path(path) for name, path in entries if not SYSTEM_LIBRARIES.match(name)
    ]
    ordered: list[pathlib.Path] = []
    for path in paths:
        for inner in [*_find_libraries(path), path]:
            if inner not in ordered:
                ordered.append(inner)
    return ordered


def _find_dependencies(name: str, dependencies: dict | None = None) -> dict:
    """Return the run-time dependencies of a distribution, by name."""
    dependencies = {} if dependencies is None else dependencies
    for text in importlib.metadata.requires(name) or []:
        requirement = Requirement(text)
        marker = requirement.marker
        if marker is not None and not marker.evaluate({"extra": ""}):
            continue
        if requirement.name not in dependencies:
            dependencies[requirement.name] = importlib.metadata.distribution(
                requirement.name
            )
            _find_dependencies(requirement.name, dependencies)
    return dependencies


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
            continue  # add_extension adds the ones that extension modules need
        archive.add_file(path, file.as_posix())


def build_archive(path: pathlib.Path) -> None:
    """Write the archive of the standard library, the dependencies and sesameport."""
    archive = Archive(path)
    for entry in sorted(STDLIB.iterdir()):
        if entry.name not in SKIPPED_STDLIB:
            archive.add_tree(entry, STDLIB)
    for file in sorted((STDLIB / "lib-dynload").glob("*.so")):
        if not SKIPPED_EXTENSIONS.match(file.name):
            archive.add_file(file, file.name)
    for _, dist in sorted(_find_dependencies("sesameport").items()):
        _add_distribution(archive, dist)
    archive.add_tree(SOURCE / "sesameport", SOURCE)
    archive.add_file(HERE / "sesameport_start.py", "sesameport_start.py")
    archive.close()


def build_launcher(path: pathlib.Path) -> None:
    """Compile the launcher and link the interpreter into it."""
    library = pathlib.Path(sysconfig.get_config_var("LIBPL"))
    library /= sysconfig.get_config_var("LIBRARY")
    if not library.exists():
        raise SystemExit(f"this Python has no static library: {library} does not exist")
    command = [
        *["gcc", "-O2", "-s", "-rdynamic", str(HERE / "launcher.c")],
        *["-I", sysconfig.get_config_var("INCLUDEPY"), "-o", str(path)],
        # Extension modules need interpreter symbols that the launcher does not use.
        *["-Wl,--whole-archive", str(library), "-Wl,--no-whole-archive"],
        *["-lm", "-ldl", "-lpthread", "-lutil"],
    ]
    subprocess.run(command, check=True)


def main() -> None:
    """Build the executable at the path given on the command line."""
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
