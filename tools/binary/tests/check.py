"""Check that the executable keeps the limits of its hosts, and measure it.

Usage: python tools/binary/tests/check.py EXECUTABLE [ARGS...]

It fails when the daemon starts another process, writes outside its memory, or maps a
file other than itself and the C library. ARGS come before the subcommand, so that
``python -m sesameport`` can be measured for comparison with ``--measure``.
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
STARTS = 5
STEADY_S = 2.0
START_BOUND_S = 20.0
C_LIBRARY = re.compile(r"/(ld-linux|libc|libm|libdl|libpthread|librt|libutil|libgcc_s)")
_WRITE_FLAGS = os.O_WRONLY | os.O_RDWR


def _private(directory: pathlib.Path) -> set[str]:
    """List the working, home and temporary directories, which are the run's own."""
    return {str(path) for path in directory.glob("**/*")}


def _shared() -> set[str]:
    """List the places that other programs of the machine write to as well."""
    found = set()
    for place in ("/tmp", "/var/tmp", "/dev/shm"):
        found |= {str(path) for path in pathlib.Path(place).glob("*")}
    return found


def _processes(pid: int) -> int:
    """Return the number of processes that any thread of a process started."""
    count = 0
    for task in pathlib.Path(f"/proc/{pid}/task").iterdir():
        try:
            count += len((task / "children").read_text().split())
        except OSError:
            continue  # the thread ended
    return count


def _status(pid: int) -> dict[str, int]:
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    found = re.findall(r"^(VmRSS|VmHWM|Rss\w+|Threads):\s+(\d+)", text, re.MULTILINE)
    return {name: int(value) for name, value in found}


def _open_for_writing(pid: int) -> list[str]:
    """Return regular files that a process has open for writing."""
    found = []
    for entry in pathlib.Path(f"/proc/{pid}/fd").iterdir():
        target = os.readlink(entry)
        info = pathlib.Path(f"/proc/{pid}/fdinfo/{entry.name}").read_text()
        flags = int(re.search(r"flags:\s+(\d+)", info).group(1), 8)
        if not flags & _WRITE_FLAGS or target.startswith(("/memfd:", "/dev/null")):
            continue
        if target.startswith("/") and int(entry.name) > 2:
            found.append(target)
    return found


def _mapped_files(pid: int) -> set[str]:
    text = pathlib.Path(f"/proc/{pid}/maps").read_text()
    return set(re.findall(r"\s(/(?!memfd:)\S+)", text))


def _counters(pid: int) -> tuple[int, int]:
    """Return bytes written to storage, and page faults of children waited for."""
    text = pathlib.Path(f"/proc/{pid}/io").read_text()
    written = int(re.search(r"^write_bytes: (\d+)", text, re.MULTILINE).group(1))
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return written, int(fields[8])


def _free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def _serve(command: list[str], directory: pathlib.Path) -> dict:
    """Run the daemon until it serves, look at it, and stop it."""
    settings = directory / "settings.toml"
    port = _free_port()
    settings.write_text(SETTINGS.format(port=port))
    private, shared = _private(directory), _shared()
    names = {"HOME": str(directory), "TMPDIR": str(directory)}
    started = time.monotonic()
    process = subprocess.Popen(
        [*command, "serve", str(settings)],
        cwd=directory,
        env={**os.environ, **names},
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
    most = 0
    while time.monotonic() < started + START_BOUND_S:
        most = max(most, _processes(process.pid))
        with socket.socket() as sock:
            if sock.connect_ex(("127.0.0.1", port)) == 0:
                break
        time.sleep(0.005)
    ready_s = time.monotonic() - started
    end = time.monotonic() + STEADY_S
    while time.monotonic() < end:
        most = max(most, _processes(process.pid))
        time.sleep(0.02)
    result = {
        "ready_s": ready_s,
        "children": most,
        "status": _status(process.pid),
        "open_for_writing": _open_for_writing(process.pid),
        "mapped": _mapped_files(process.pid),
        "counters": _counters(process.pid),
    }
    # A packer may remove at the end what it unpacked, so both moments count.
    left = _private(directory) - private
    new = _shared() - shared
    process.send_signal(signal.SIGTERM)
    _, errors = process.communicate(timeout=30)
    result["exit"] = process.returncode
    result["errors"] = errors.decode()
    result["left"] = sorted(left | (_private(directory) - private))
    result["new"] = sorted(new | (_shared() - shared))
    return result


def _problems(result: dict, executable: str) -> list[str]:
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


def _demo(command: list[str], directory: pathlib.Path) -> list[str]:
    """Run the whole path on the embedded stand-ins and return what went wrong."""
    names = {"HOME": str(directory), "TMPDIR": str(directory)}
    done = subprocess.run(
        [*command, "demo"],
        cwd=directory,
        env={**os.environ, **names},
        capture_output=True,
        timeout=60,
        text=True,
    )
    problems = [f"the demo left {path}" for path in sorted(_private(directory))]
    if done.returncode:
        problems.append(f"demo: exit code {done.returncode}: {done.stderr[-500:]}")
    return problems


def main() -> int:
    """Check and measure one executable."""
    command = [item for item in sys.argv[1:] if item != "--measure"]
    if not command:
        raise SystemExit(__doc__)
    command[0] = str(pathlib.Path(command[0]).absolute())
    results = []
    for _ in range(STARTS):
        with tempfile.TemporaryDirectory() as directory:
            results.append(_serve(command, pathlib.Path(directory)))
    ready = [result["ready_s"] for result in results]
    last = results[-1]["status"]
    print(f"start to listening: median {statistics.median(ready):.2f} s of {STARTS}")
    print("memory, kB: " + ", ".join(f"{k} {v}" for k, v in last.items()))
    executable = str(pathlib.Path(command[0]).resolve())
    problems = sorted({item for r in results for item in _problems(r, executable)})
    with tempfile.TemporaryDirectory() as directory:
        problems += _demo(command, pathlib.Path(directory))
    # Other programs write to shared places too. What this one leaves at each start
    # would be there after every start.
    new = [result["new"] for result in results]
    for text in sorted({path for paths in new for path in paths}):
        print(f"new in a shared place during a run: {text}")
    if all(new):
        problems.append("every run left something in a shared place")
    for text in sorted(problems, key=len)[:20]:
        print(f"problem: {text}")
    if len(problems) > 20:
        print(f"problem: and {len(problems) - 20} more")
    if "--measure" in sys.argv:
        return 0
    print("limits kept" if not problems else f"{len(problems)} problems")
    return 1 if problems else 0


if __name__ == "__main__":
    raise SystemExit(main())
