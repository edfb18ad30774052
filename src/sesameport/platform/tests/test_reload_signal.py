"""Test that a real process survives SIGHUP during its imports, and reloads then."""

import os
import pathlib
import signal
import socket
import subprocess
import sys
import threading

import pytest

import sesameport
from sesameport.platform.tests.conftest import wait_until

SIGNALS = 20_000

ROOT = pathlib.Path(sesameport.__file__).parents[2]

SEND_DURING_IMPORTS = """
import os, runpy, signal, sys

class Sender:
    def find_spec(self, name, path=None, target=None):
        if name == "msgspec":
            sys.meta_path.remove(self)
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Sender())
sys.argv = sys.argv[1:]
runpy.run_path(sys.argv[0], run_name="__main__")
"""

SETTINGS = """
nodeName = "h"
ip = "127.9.{}.{}"
zone = "a"
internalPorts = [{}, 0]
listen = {{front = "127.0.0.1:{}", readyAddress = "127.0.0.1:{}"}}
platform = {{address = "127.0.0.1:9"}}
"""


def free_ports(count):
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


@pytest.mark.parametrize(
    "arguments", [("deploy/sesameport.py",), ("src/sesameport/__main__.py", "serve")]
)
def test_signal_during_the_imports_is_handled_after_the_start(tmp_path, arguments):
    # The signal ended the process, and the settings of its platform stayed unread.
    settings = tmp_path / "node.toml"
    # The port of the metrics is fixed, so each process gets its own address.
    address = (os.getpid() % 250, 1 + len(arguments))
    settings.write_text(SETTINGS.format(*address, *free_ports(3)))
    process = subprocess.Popen(
        [sys.executable, "-c", SEND_DURING_IMPORTS, *arguments],
        cwd=ROOT,
        env={"SESAMEPORT_CONFIG": str(settings), "PYTHONPATH": "src"},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    timer = threading.Timer(30.0, process.kill)
    timer.start()
    try:
        lines = []
        for line in process.stdout:
            lines.append(line)
            if '"event":"settings unchanged"' in line:
                break
        assert '"event":"settings unchanged"' in "".join(lines)
    finally:
        timer.cancel()
        process.send_signal(signal.SIGKILL)
        process.wait(10)
        process.stdout.close()


def test_series_of_signals_leaves_a_process_able_to_stop(tmp_path):
    # Guards against a handler that is interrupted by the next signal while it holds a
    # lock. The process then hung until it was killed, and SIGTERM had no effect.
    settings = tmp_path / "node.toml"
    settings.write_text(SETTINGS.format(os.getpid() % 250, 9, *free_ports(3)))
    log = tmp_path / "host.log"
    with log.open("wb") as file:
        process = subprocess.Popen(
            [sys.executable, "deploy/sesameport.py"],
            cwd=ROOT,
            env={"SESAMEPORT_CONFIG": str(settings), "PYTHONPATH": "src"},
            stdout=file,
            stderr=subprocess.STDOUT,
        )
    try:
        wait_until(lambda: b'"event":"started"' in log.read_bytes(), 30.0)
        for _ in range(SIGNALS):
            process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGTERM)
        assert process.wait(60.0) >= 0
    finally:
        process.kill()
        process.wait()
