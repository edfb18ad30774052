"""Test that a running host reloads its settings file."""

import threading

import attrs

from sesameport.domain import Finding
from sesameport.entry.settings import (
    EntrySettings,
    FleetBounds,
    settings_requiring_restart,
)
from sesameport.entry.settings_reloader import SettingsReloader
from sesameport.reload_signal import ReloadSignal

SETTINGS = EntrySettings("h", "a", "10.0.0.1", "10.0.0.1:1", "10.0.0.1:2", 3, "s:4")


def load(text, file):
    if not text.isdigit():
        return None, [Finding(file, "grace", "no number")]
    return attrs.evolve(SETTINGS, bounds=FleetBounds(grace_s=float(text))), []


def start_reloader(tmp_path, text="8"):
    path = tmp_path / "node.toml"
    path.write_text(text)
    applied = []
    return path, applied, SettingsReloader(path, load, applied.append, text)


def test_changed_file_is_applied_once(tmp_path):
    path, applied, reloader = start_reloader(tmp_path)
    reloader.check_file(True)
    assert applied == []
    path.write_text("5")
    reloader.check_file(False)
    reloader.check_file(True)
    assert [settings.bounds.grace_s for settings in applied] == [5.0]


def test_invalid_or_missing_file_is_ignored_and_a_later_one_applied(tmp_path):
    # Guards against a process that exits or loses its settings while the file is being
    # written.
    path, applied, reloader = start_reloader(tmp_path)
    path.write_text("half a fi")
    reloader.check_file(True)
    path.unlink()
    reloader.check_file(True)
    assert applied == []
    path.write_text("6")
    reloader.check_file(False)
    assert len(applied) == 1


def test_signal_triggers_an_immediate_check(tmp_path, monkeypatch):
    monkeypatch.setattr("sesameport.entry.settings_reloader.POLL_PERIOD_S", 30.0)
    path, applied, reloader = start_reloader(tmp_path)
    stopped, signalled = threading.Event(), ReloadSignal()
    thread = threading.Thread(target=reloader.run, args=(stopped, signalled))
    thread.start()
    path.write_text("4")
    stopped.set()
    signalled.set()
    thread.join(5.0)
    assert len(applied) == 1


def test_identity_and_addresses_require_a_restart():
    changed = attrs.evolve(
        SETTINGS,
        data_centre="b",
        bounds=FleetBounds(lease_s=9.0),
        seed_addresses=("x",),
    )
    assert settings_requiring_restart(SETTINGS, changed) == ("data_centre",)
