"""Check that the executable observes the limits of hosts, and measure it.

Usage: python tools/binary/tests/check.py EXECUTABLE [ARGS...] [--measure]

The check fails if the daemon starts another process, writes to a file, or maps a file
other than itself and the C library. ARGS are passed before the subcommand. With
``--measure`` problems do not cause a failure, so that ``python -m sesameport`` can be
measured for comparison.
"""

import os
import pathlib
import re
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import time

SETTINGS = """
data_centres = [{{name = "rajkot-a", region = "guj-west"}}]
[host]
name = "h1"
data_centre = "rajkot-a"
listen = "127.0.0.1:{port}"
[platform]
url = "http://127.0.0.1:9"
"""
RUNS = 5
OBSERVATION_S = 2.0
START_TIMEOUT_S = 20.0
C_LIBRARY = re.compile(r"/(ld-linux|libc|libm|libdl|libpthread|librt|libutil|libgcc_s)")
_WRITE_FLAGS = os.O_WRONLY | os.O_RDWR


def _list_files(directory: pathlib.Path) -> set[str]:
    """Return the files in the directory that a run uses for work, home and TMPDIR."""
    return {str(path) for path in directory.glob("**/*")}


def _list_shared_files() -> set[str]:
    """Return the files in directories that other programs write to as well."""
    paths = set()
    for directory in ("/tmp", "/var/tmp", "/dev/shm"):
        paths |= {str(path) for path in pathlib.Path(directory).glob("*")}
    return paths


def _count_children(pid: int) -> int:
    """Return the number of child processes of all threads of a process."""
    count = 0
    for task in pathlib.Path(f"/proc/{pid}/task").iterdir():
        try:
            count += len((task / "children").read_text().split())
        except OSError:
            continue  # the thread has ended
    return count


def _read_memory_and_threads(pid: int) -> dict[str, int]:
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    rows = re.findall(r"^(VmRSS|VmHWM|Rss\w+|Threads):\s+(\d+)", text, re.MULTILINE)
    return {name: int(value) for name, value in rows}


def _list_files_open_for_writing(pid: int) -> list[str]:
    """Return paths that a process has open for writing, except standard streams."""
    paths = []
    for entry in pathlib.Path(f"/proc/{pid}/fd").iterdir():
        target = os.readlink(entry)
        info = pathlib.Path(f"/proc/{pid}/fdinfo/{entry.name}").read_text()
        flags = int(re.search(r"flags:\s+(\d+)", info).group(1), 8)
        if not flags & _WRITE_FLAGS or target.startswith(("/memfd:", "/dev/null")):
            continue
        if target.startswith("/") and int(entry.name) > 2:
            paths.append(target)
    return paths


def _list_mapped_files(pid: int) -> set[str]:
    text = pathlib.Path(f"/proc/{pid}/maps").read_text()
    return set(re.findall(r"\s(/(?!memfd:)\S+)", text))


def _get_written_bytes_and_child_faults(pid: int) -> tuple[int, int]:
    """Return bytes written to storage, and minor page faults of reaped children."""
    text = pathlib.Path(f"/proc/{pid}/io").read_text()
    written = int(re.search(r"^write_bytes: (\d+)", text, re.MULTILINE).group(1))
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return written, int(fields[8])


def _free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def _run_daemon(command: list[str], directory: pathlib.Path) -> dict:
    """Run the daemon, measure it once it listens, and stop it."""
    settings = directory / "settings.toml"
    port = _free_port()
    settings.write_text(SETTINGS.format(port=port))
    files_before, shared_before = _list_files(directory), _list_shared_files()
    directories = {"HOME": str(directory), "TMPDIR": str(directory)}
    started = time.monotonic()
    process = subprocess.Popen(
        [*command, "serve", str(settings)],
        cwd=directory,
        env={**os.environ, **directories},
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
    max_children = 0
    while time.monotonic() < started + START_TIMEOUT_S:
        max_children = max(max_children, _count_children(process.pid))
        with socket.socket() as sock:
            if sock.connect_ex(("127.0.0.1", port)) == 0:
                break
        time.sleep(0.005)
    ready_s = time.monotonic() - started
    end = time.monotonic() + OBSERVATION_S
    while time.monotonic() < end:
        max_children = max(max_children, _count_children(process.pid))
        time.sleep(0.02)
    result = {
        "ready_s": ready_s,
        "children": max_children,
        "status": _read_memory_and_threads(process.pid),
        "open_for_writing": _list_files_open_for_writing(process.pid),
        "mapped": _list_mapped_files(process.pid),
        "counters": _get_written_bytes_and_child_faults(process.pid),
    }
    # A self-extracting executable may delete its files when it exits, so the files are
    # listed both before and after the stop.
    left = _list_files(directory) - files_before
    new = _list_shared_files() - shared_before
    process.send_signal(signal.SIGTERM)
    _, errors = process.communicate(timeout=30)
    result["exit"] = process.returncode
    result["errors"] = errors.decode()
    result["left"] = sorted(left | (_list_files(directory) - files_before))
    result["new"] = sorted(new | (_list_shared_files() - shared_before))
    return result


def _find_problems(result: dict, executable: str) -> list[str]:
    problems = []
    if result["children"] or result["counters"][1]:
        problems.append(f"started {result['children']} other processes")
    if result["counters"][0]:
        problems.append(f"wrote {result['counters'][0]} bytes to storage")
    problems += [f"left {path}" for path in result["left"]]
    problems += [f"open for writing: {path}" for path in result["open_for_writing"]]
    for path in sorted(result["mapped"]):
        if path != executable and not C_LIBRARY.search(path):
            problems.append(f"maps {path}")
    if result["exit"]:
        problems.append(f"exit code {result['exit']}: {result['errors'][-500:]}")
    return problems


def _run_demo(command: list[str], directory: pathlib.Path) -> list[str]:
    """Run the demo command and return its problems."""
    directories = {"HOME": str(directory), "TMPDIR": str(directory)}
    completed = subprocess.run(
        [*command, "demo"],
        cwd=directory,
        env={**os.environ, **directories},
        capture_output=True,
        timeout=60,
        text=True,
    )
    problems = [f"demo: left {path}" for path in sorted(_list_files(directory))]
    if completed.returncode:
        problems.append(
            f"demo: exit code {completed.returncode}: {completed.stderr[-500:]}"
        )
    return problems


def main() -> int:
    """Check and measure the executable given on the command line."""
    command = [arg for arg in sys.argv[1:] if arg != "--measure"]
    if not command:
        raise SystemExit(__doc__)
    command[0] = str(pathlib.Path(command[0]).absolute())
    results = []
    for _ in range(RUNS):
        with tempfile.TemporaryDirectory() as directory:
            results.append(_run_daemon(command, pathlib.Path(directory)))
    ready = [result["ready_s"] for result in results]
    last = results[-1]["status"]
    print(f"start to listening: median {statistics.median(ready):.2f} s of {RUNS}")
    print("memory, kB: " + ", ".join(f"{k} {v}" for k, v in last.items()))
    executable = str(pathlib.Path(command[0]).resolve())
    problems = sorted(
        {text for result in results for text in _find_problems(result, executable)}
    )
    with tempfile.TemporaryDirectory() as directory:
        problems += _run_demo(command, pathlib.Path(directory))
    # Other programs write to the shared directories too. Files of this executable
    # would appear in every run, so it is a problem only if every run has new files.
    new = [result["new"] for result in results]
    for text in sorted({path for paths in new for path in paths}):
        print(f"new in a shared directory during a run: {text}")
    if all(new):
        problems.append("every run left new files in a shared directory")
    for text in sorted(problems, key=len)[:20]:
        print(f"problem: {text}")
    if len(problems) > 20:
        print(f"problem: and {len(problems) - 20} more")
    if "--measure" in sys.argv:
        return 0
    print("limits observed" if not problems else f"{len(problems)} problems")
    return 1 if problems else 0


if __name__ == "__main__":
    raise SystemExit(main())
