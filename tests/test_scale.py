"""Scale runs: figures are checked first, a small run is whole, one that is cut off says so and ends all."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import time

import pytest

from mastledge.lab.scale import meter_readings, processes, slopes, topology
from mastledge.lab.scale.options import InvalidOptionsError, ScaleOptions, check

CALL = [sys.executable, "-B", "-m", "mastledge", "lab", "scale"]
SMALL = [
    "--real",
    "3",
    "--hollow",
    "9",
    "--voters",
    "3",
    "--workers",
    "12",
    "--zones",
    "2",
    "--regions",
    "2",
    "--round-trip-ms",
    "20",
    "--changes-per-second",
    "2",
    "--restarts-per-second",
    "2",
    "--jobs-per-second",
    "20",
    "--seconds",
    "4",
    "--fan-out",
    "3",
]


@pytest.mark.parametrize(
    ("changed", "says"),
    [
        ({"real": 1}, "--real is not from 2 to 1024: 1"),
        ({"real": 0}, "--real is not from"),
        ({"hollow": -1}, "--hollow is not from"),
        ({"real": 600, "hollow": 600}, "1200 together, over 1024"),
        ({"voters": 4}, "--voters is even: 4"),
        ({"voters": 9}, "--voters is not from 1 to 7"),
        ({"real": 2, "hollow": 0, "voters": 3}, "--voters is over all dispatchers: 3 of 2"),
        ({"workers": 5000}, "--workers is not from 1 to 4096"),
        ({"regions": 3, "zones": 2}, "--zones is below --regions: 2 of 3"),
        ({"round_trip_ms": -1.0}, "--round-trip-ms is not from"),
        ({"changes_per_second": float("nan")}, "--changes-per-second is not from"),
        ({"jobs_per_second": 1e9}, "--jobs-per-second is not from"),
        ({"seconds": 0.0}, "--seconds is not from"),
        ({"fan_out": 1}, "--fan-out is 1"),
        ({"rack_at": 50.0}, "--rack-at is not within --seconds"),
        ({"out": ""}, "--out is missing"),
        ({"real": 400}, "processes would run, over 300"),
        ({"real": 200, "workers": 4096, "memory": 8 << 30}, "half of this machine's memory"),
    ],
)
def test_an_impossible_figure_is_one_line_that_names_it(changed, says):
    memory = changed.pop("memory", 64 << 30)
    with pytest.raises(InvalidOptionsError) as error:
        check(ScaleOptions(**{"out": "x", **changed}), memory)
    assert says in str(error.value) and "\n" not in str(error.value)


@pytest.mark.parametrize(
    ("words", "says"),
    [
        (["--real", "many"], "invalid int value"),
        (["--reals", "3"], "unrecognized arguments"),
        (["--voters", "2", "--out", "{}"], "--voters is even"),
        (["--out", "/proc/nowhere"], "--out: "),
        ([], "--out is missing"),
    ],
)
def test_bad_input_ends_with_status_2_before_anything_starts(words, says, tmp_path):
    words = [word.format(tmp_path / "out") for word in words]
    done = subprocess.run([*CALL, *words], capture_output=True, text=True)
    assert done.returncode == 2 and says in done.stderr and done.stderr.count("\n") == 1, done.stderr


def test_the_size_to_design_for_is_taken():
    assert check(ScaleOptions(real=6, hollow=224, voters=7, workers=3400, out="x"), 32 << 30).processes < 300


def left():
    """Processes of a scale run."""
    found = []
    for pid in filter(str.isdecimal, os.listdir("/proc")):
        try:
            with open(f"/proc/{pid}/environ", "rb") as file:
                if f"MASTLEDGE_TEST={os.getpid()}".encode() in file.read().split(b"\0"):
                    found.append(int(pid))
        except OSError:
            pass
    return found


def marked():
    return {**os.environ, "MASTLEDGE_TEST": f"{os.getpid()}"}


def test_a_small_run_is_whole(tmp_path):
    done = subprocess.run(
        [*CALL, *SMALL, "--quiet", "--out", str(tmp_path)],
        capture_output=True,
        text=True,
        env=marked(),
        timeout=120,
    )
    with open(tmp_path / "scale.json") as file:
        told = json.load(file)
    assert done.returncode == 0 and told["complete"] and not told["faults"], (done.stderr, told["why"])
    rows = {one["role"]: one for one in told["dispatchers"]}
    assert set(rows) == {"leader", "voter", "follower"}
    for one in rows.values():
        assert one["cpu_percent"]["control"] > 0 and one["memory_over_idle_mb"] > -5
        assert one["sent"]["Ack" if one["role"] != "leader" else "Append"][0] > 1
        assert one["descriptors"] > 10 and one["longest_turn_ms"] > 0
    # The follower hears from a relay, so the leader speaks to the voters and to who has asked.
    assert rows["leader"]["sent"]["Append"][0] < 9 * rows["leader"]["received"]["Ack"][0]
    assert told["changes"].get("200", 0) + told["changes"].get("202", 0) >= 3
    assert told["in_force_ms"]["most"] < 7000 and told["new_leader_ms"] > 0
    assert told["list"]["changes"] >= 2 and told["jobs"]["answers"]["200"] > 20
    assert (tmp_path / "scale.png").stat().st_size > 1000
    assert left() == []


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_a_run_that_is_cut_off_is_marked_and_ends_what_it_started(number, tmp_path):
    run = subprocess.Popen(
        [*CALL, *SMALL, "--seconds", "60", "--out", str(tmp_path)],
        env=marked(),
        stdout=subprocess.PIPE,
        text=True,
        # A shell's job in the background ignores SIGINT, and so does what it starts.
        preexec_fn=lambda: signal.signal(signal.SIGINT, signal.SIG_DFL),
    )
    try:
        assert "are ready" in run.stdout.readline()
        assert len(left()) > 4
        run.send_signal(number)
        out, _ = run.communicate(timeout=30)
    finally:
        run.kill()
    with open(tmp_path / "scale.json") as file:
        told = json.load(file)
    assert run.returncode == 1 and not told["complete"] and told["why"] == "cut off" and "cut off" in out
    last = time.monotonic() + 10
    while left() and time.monotonic() < last:
        time.sleep(0.05)
    assert left() == []


def test_the_last_real_one_follows_and_the_others_vote():
    fleet = topology.dispatchers(check(ScaleOptions(real=6, hollow=24, voters=7, out="x")), 4711)
    assert [one.votes for one in fleet[:8]] == [True] * 5 + [False] + [True] * 2
    assert sum(one.votes for one in fleet) == 7 and len({one.peers for one in fleet}) == 30


def test_processor_time_is_told_apart_by_purpose():
    before = meter_readings.MeterReading(at=0, process_us=0, thread_us=0, spent_us={}, steps={})
    after = meter_readings.MeterReading(
        at=1_000_000,
        process_us=12_000,
        thread_us=10_000,
        spent_us={"agreement": 3_000, "jobs": 5_000},
        steps={"agreement": 10, "jobs": 30},
    )
    told = meter_readings.share(before, after)
    # 2,000 us of the loop by steps, and 2,000 of another thread.
    assert told["agreement"] == 3_000 + 500 + 2_000 and told["jobs"] == 5_000 + 1_500
    assert told["control"] == told["agreement"]


def run_of(size, control):
    some = {"all": [size, 10.0 * size]}
    row = {
        "role": "leader",
        "cpu_percent": {"control": control},
        "memory_over_idle_mb": 1.0,
        "sent": some,
        "received": some,
        "descriptors": 9,
        "longest_turn_ms": 2.0,
    }
    return {"complete": True, "options": {"real": 6, "hollow": size - 6}, "dispatchers": [row]}


def test_a_line_through_the_figures_and_what_it_predicts():
    runs = [run_of(size, 0.5 + 0.1 * size) for size in (20, 40, 80, 120)]
    fit = slopes.fitted([*runs, {**run_of(500, 0.0), "complete": False}], "dispatchers")
    one = fit["leader"]["control_percent"]
    assert one["slope"] == pytest.approx(0.1) and one["spread"] == pytest.approx(0, abs=1e-9)
    assert slopes.predicted(fit, 230)["leader"]["control_percent"][0] == pytest.approx(23.5)


@pytest.mark.parametrize(("words", "says"), [(["sleep", "60"], "has said nothing"), (["true"], "has ended")])
def test_a_host_that_says_nothing_is_not_waited_for_without_end(words, says, monkeypatch):
    monkeypatch.setattr(processes, "ANSWER_TIMEOUT_SECONDS", 0.5)

    async def begin():
        host = processes.Host("lightweight_dispatcher", "none")
        host.command = words
        with pytest.raises(processes.HostSilentError, match=says):
            await host.begin()
        if host.process.returncode is None:
            host.process.kill()
        await host.process.wait()

    asyncio.run(begin())
