"""Test that a running host follows its settings file."""

import threading

import attrs

from sesameport.entry.settings import (
    EntrySettings,
    FleetBounds,
    settings_requiring_restart,
)
from sesameport.entry.settings_reloader import SettingsReloader
from sesameport.world import Finding

SETTINGS = EntrySettings("h", "a", "10.0.0.1", "10.0.0.1:1", "10.0.0.1:2", 3, "s:4")


def load(text, file):
    if not text.isdigit():
        return None, [Finding(file, "grace", "no number")]
    return attrs.evolve(SETTINGS, bounds=FleetBounds(grace_s=float(text))), []


def followed(tmp_path, text="8"):
    path = tmp_path / "node.toml"
    path.write_text(text)
    taken = []
    return path, taken, SettingsReloader(path, load, taken.append, text)


def test_changed_file_is_taken_over_once(tmp_path):
    path, taken, file = followed(tmp_path)
    file.check_file(True)
    assert taken == []
    path.write_text("5")
    file.check_file(False)
    file.check_file(True)
    assert [settings.bounds.grace_s for settings in taken] == [5.0]


def test_invalid_or_missing_file_changes_nothing_and_a_later_one_counts(tmp_path):
    # Guards against a process that ends or forgets its settings while the file is
    # being written.
    path, taken, file = followed(tmp_path)
    path.write_text("half a fi")
    file.check_file(True)
    path.unlink()
    file.check_file(True)
    assert taken == []
    path.write_text("6")
    file.check_file(False)
    assert len(taken) == 1


def test_signal_is_followed_at_once(tmp_path, monkeypatch):
    monkeypatch.setattr("sesameport.entry.settings_reloader.POLL_PERIOD_S", 30.0)
    path, taken, file = followed(tmp_path)
    stopped, signalled = threading.Event(), threading.Event()
    thread = threading.Thread(target=file.run, args=(stopped, signalled))
    thread.start()
    path.write_text("4")
    stopped.set()
    signalled.set()
    thread.join(5.0)
    assert len(taken) == 1


def test_identity_and_addresses_need_a_restart():
    changed = attrs.evolve(
        SETTINGS,
        data_centre="b",
        bounds=FleetBounds(lease_s=9.0),
        seed_addresses=("x",),
    )
    assert settings_requiring_restart(SETTINGS, changed) == ("data_centre",)
