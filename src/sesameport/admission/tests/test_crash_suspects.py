"""Test which requests are refused after crashes, and what hosts tell each other."""

import itertools
import random

import pytest

from sesameport.admission import CrashSuspects, SuspectReport
from sesameport.admission.crash_suspects import (
    FIRST_TRIAL_PAUSE_S,
    MAX_REPORTED,
    MAX_SUSPECTS,
)
from sesameport.admission.suspect_groups import REFUSED_LIFETIME_S


@pytest.fixture
def suspects():
    return CrashSuspects(random.Random(1))


def is_refused(suspects, subjects, now=1.0):
    return suspects.judge(subjects, now).refused_s > 0


def test_bystander_of_one_crash_is_not_refused(suspects):
    suspects.record_crash("c1", ["deadly", "bystander"], 0.0)
    suspects.record_crash("c2", ["deadly", "other"], 0.5)
    assert is_refused(suspects, ["deadly", "new"])
    assert not is_refused(suspects, ["bystander"])
    assert not is_refused(suspects, ["other", "new"])


def test_one_crash_seen_by_several_hosts_counts_once(suspects):
    for _ in range(5):
        suspects.record_crash("c1", ["a"], 0.0)
    assert not is_refused(suspects, ["a"])


def test_sound_requests_with_the_first_part_of_deadly_ones_are_served(suspects):
    for number in range(2):
        suspects.record_crash(f"c{number}", ["first", "deadly", f"r{number}"], 0.0)
    assert is_refused(suspects, ["first", "deadly", "r9"])
    assert not is_refused(suspects, ["first", "r9"])
    suspects.record_answer(["first", "r9"], 1.0)
    assert is_refused(suspects, ["deadly", "second"], 2.0)
    assert not is_refused(suspects, ["first", "second"], 2.0)


def test_crash_without_a_companion_shows_which_part_is_deadly(suspects):
    for number in range(2):
        suspects.record_crash(f"c{number}", ["first", "deadly"], 0.0)
    assert not is_refused(suspects, ["deadly", "second"])
    suspects.record_crash("c3", ["deadly", "second"], 1.0)
    assert is_refused(suspects, ["deadly", "third"])
    assert not is_refused(suspects, ["first", "third"])


def test_part_that_is_answered_between_crashes_is_not_refused(suspects):
    for number in range(9):
        suspects.record_crash(f"c{number}", ["popular", f"r{number}"], float(number))
        assert suspects.is_suspect(["popular"])
        suspects.record_answer(["popular"], number + 0.5)
        assert not suspects.is_suspect(["popular"])
        assert not is_refused(suspects, ["popular", "new"], number + 0.6)


def test_trials_end_with_the_fifth_crash(suspects):
    now, trials = 0.0, 0
    for number in range(2):
        suspects.record_crash(f"c{number}", ["deadly"], now)
    for step in range(int(REFUSED_LIFETIME_S) - 600):
        judgement = suspects.judge(["deadly", f"r{step}"], float(step))
        if judgement.refused_s:
            continue
        assert judgement.is_trial
        trials += 1
        suspects.record_crash(f"t{step}", ["deadly", f"r{step}"], float(step))
    assert trials == 3


def test_trial_that_is_answered_ends_the_refusal_everywhere(suspects):
    other = CrashSuspects(random.Random(2))
    for number in range(2):
        suspects.record_crash(f"c{number}", ["a"], 0.0)
    other.merge(suspects.reports(0.1), 0.1)
    assert is_refused(other, ["a"])
    now = FIRST_TRIAL_PAUSE_S + 2.0
    assert suspects.judge(["a"], now).is_trial
    assert is_refused(suspects, ["a"], now)  # one request at a time
    suspects.record_answer(["a"], now)
    other.merge(suspects.reports(now), now)
    assert suspects.judge(["a"], now) == other.judge(["a"], now)
    assert not is_refused(other, ["a"], now)


def test_reports_have_the_same_effect_in_any_order_and_number():
    events = [
        [SuspectReport("a", {"c1": False})],
        [SuspectReport("a", {"c1": True, "c2": False}), SuspectReport("b", {"c2": 0})],
        [SuspectReport("a", {"c3": False}, 2)],
        [SuspectReport("a", {"c2": True})],
    ]
    states = []
    for order in itertools.permutations(events):
        suspects = CrashSuspects(random.Random(3))
        for reports in (*order, order[0]):
            suspects.merge(reports, 1.0)
        states.append({report.subject: report for report in suspects.reports(1.0)})
    assert all(state == states[0] for state in states)
    assert states[0]["a"] == SuspectReport(
        "a", {"c1": True, "c2": True, "c3": False}, 2
    )


def test_merge_returns_whether_the_other_host_knows_as_much(suspects):
    suspects.record_crash("c1", ["a"], 0.0)
    assert suspects.merge([SuspectReport("a", {"c1": False, "c2": False})], 1.0)
    assert not suspects.merge([SuspectReport("a", {"c1": False})], 1.0)
    assert not suspects.merge([], 1.0)


def test_old_suspects_are_forgotten_and_their_number_is_bounded(suspects):
    for number in range(2):
        suspects.record_crash(f"c{number}", ["refused"], 0.0)
    for number in range(2 * MAX_SUSPECTS):
        suspects.record_crash("c9", [f"r{number}"], 1.0 + number)
    assert len(suspects) == MAX_SUSPECTS
    assert is_refused(suspects, ["refused"])
    suspects.expire(REFUSED_LIFETIME_S - 1.0)
    assert suspects.refused() == {"refused"}
    suspects.expire(REFUSED_LIFETIME_S)
    assert not suspects.refused()


def long_prompt(number, parts=3_000):
    """Return the subjects of a request with many parts that no other one has."""
    return ["deadly", *(f"r{number}-{part}" for part in range(parts))]


def test_first_part_of_prompts_with_thousands_of_parts_is_refused(suspects):
    # The first 1,000 of such a prompt were forgotten as soon as they were recorded, so
    # the part crashed one server after the other (review/14).
    other = CrashSuspects(random.Random(2))
    for number in range(6):
        suspects.record_crash(f"c{number}", long_prompt(number), float(number))
        other.merge_groups(suspects.report_groups(float(number)), float(number))
    for host in (suspects, other):
        assert len(host) <= MAX_SUSPECTS
        assert is_refused(host, long_prompt(9), 6.0)
        assert not is_refused(host, long_prompt(5)[1:], 6.0)
        assert set(host.refused()) == {"deadly"}


def test_reports_of_long_prompts_are_bounded_and_name_the_refused_first(suspects):
    for number in range(6):
        suspects.record_crash(f"c{number}", long_prompt(number), float(number))
    groups = suspects.report_groups(6.0)
    assert groups[0].subjects == ("deadly",)
    assert sum(len(group.subjects) for group in groups) == MAX_REPORTED
    changed = suspects.report_groups(6.0, changed_since=5.0)
    assert sum(len(group.subjects) for group in changed) == 3_001
    # Nobody can tell whether two hosts know the same, so none repeats on and on.
    assert suspects.merge_groups(groups, 6.0)


def play_load(hosts, deadly_per_s, seed):
    """Return the crashes, and the sound requests that are served and refused, of 40 s.

    Requests reach random hosts and reports take 0.3 s. All requests share the first
    part, and the sound ones come four times a second.
    """
    rng = random.Random(seed)
    fleet = [CrashSuspects(random.Random(rng.random())) for _ in range(hosts)]
    for suspects in fleet:
        suspects.hosts = hosts
    due, crashes, sound, refused_sound = [], 0, 0, 0
    now = 0.0
    while now < 40.0:
        now += rng.expovariate(deadly_per_s + 4.0)
        for at, reports in [item for item in due if item[0] <= now]:
            due.remove((at, reports))
            for suspects in fleet:
                suspects.merge(reports, at)
        suspects = rng.choice(fleet)
        is_deadly = rng.random() < deadly_per_s / (deadly_per_s + 4.0)
        subjects = ["first", "deadly" if is_deadly else f"p{rng.random()}"]
        subjects.append(f"r{rng.random()}")
        if is_refused(suspects, subjects, now):
            refused_sound += not is_deadly
            continue
        sound += not is_deadly
        if is_deadly:
            crashes += 1
            suspects.record_crash(f"c{now}", subjects, now)
            due.append((now + 0.3, suspects.reports(now)))
        elif suspects.is_suspect(subjects):
            suspects.record_answer(subjects, now)
            due.append((now + 0.3, suspects.reports(now)))
    return crashes, sound, refused_sound


@pytest.mark.parametrize("hosts", [9, 61, 195])
@pytest.mark.parametrize("deadly_per_s", [0.5, 4.0])
def test_deadly_requests_beside_sound_ones_that_share_a_part(hosts, deadly_per_s):
    crashes, sound, refused_sound = play_load(hosts, deadly_per_s, seed=hosts)
    # At most those that arrive until the second crash is known, and one trial.
    assert crashes <= 5
    assert refused_sound <= 0.02 * sound
