"""Tests of requests and signals that come during the start of a dispatcher."""

import contextlib
import os
import signal
import subprocess
import sys
import threading

import helpers
import orjson
import pytest
from test_control import Served, free
from test_program import file
from test_upgrade import http_status, wait_until

from mastledge.program import graceful_shutdown
from mastledge.program.lifecycle import Phase
from mastledge.program.recovery_directory import RecoveryDirectory

WALLTIME_MS = 300
LATENESS_US = 50_000  # that the protocol allows for each time limit
LONGEST_WAIT_US = 300_000
KILL_AFTER_LONGEST_US = 700_000


@pytest.fixture
def slow_directory(monkeypatch):
    """Let the recovery folder be unreadable until the test ends."""
    test_ended = threading.Event()
    monkeypatch.setattr(RecoveryDirectory, "read_log", lambda self: test_ended.wait(20))
    yield
    test_ended.set()


def answer_time(served):
    """Send a job and return (microseconds until the first bytes of its answer, the answer)."""
    client = served.connect()
    client.sendall(helpers.job(X_Remaining_Ms=WALLTIME_MS))
    client.setblocking(False)
    received, sent_at = [], served.made.loop.now()

    def has_answer():
        with contextlib.suppress(BlockingIOError):
            received.append(client.recv(65536))
        return bool(received)

    assert served.turn(has_answer, 4_000_000)
    return served.made.loop.now() - sent_at, received[0]


def test_request_is_answered_in_time_when_shutdown_is_requested_during_the_start(tmp_path):
    # Guards against connections that wait unread in the backlog until the listener closes.
    served = Served(tmp_path)
    served.made.stop_requested = True
    elapsed_us, answer = answer_time(served)
    assert answer.startswith(b"HTTP/1.1 ")
    assert elapsed_us <= WALLTIME_MS * 1000 + LATENESS_US
    served.close()


def test_request_is_answered_in_time_while_the_recovery_folder_is_read(tmp_path, slow_directory):
    # Guards against connections that wait unread in the backlog during the first stage of a start.
    served = Served(tmp_path, recovery={"folder": str(tmp_path / "starts")})
    elapsed_us, answer = answer_time(served)
    assert answer.startswith(b"HTTP/1.1 503")
    assert elapsed_us <= WALLTIME_MS * 1000 + LATENESS_US
    served.close()


def test_shutdown_does_not_wait_for_the_recovery_folder(tmp_path, slow_directory, monkeypatch):
    # Guards against a process that has to be killed because its folder is slow.
    monkeypatch.setattr(graceful_shutdown, "LONGEST_WAIT_US", LONGEST_WAIT_US)
    served = Served(tmp_path, recovery={"folder": str(tmp_path / "starts")})
    served.turn(lambda: False, 50_000)
    signalled_at = served.made.loop.now()
    served.made.request_stop()
    served.made.wake()
    assert served.turn(lambda: served.made.phase == Phase.ENDED, 6_000_000)
    assert served.made.loop.now() - signalled_at < LONGEST_WAIT_US + KILL_AFTER_LONGEST_US
    served.close()


def test_reload_requested_while_the_configuration_is_read_does_not_end_the_process(tmp_path):
    # Guards against SIGHUP ending a process that has not installed its signal handlers yet.
    control = free()
    path = file(tmp_path, listen=free(), discovery=free(), control=control)
    content = (tmp_path / "config.json").read_bytes()
    (tmp_path / "config.json").rename(tmp_path / "next.json")
    os.mkfifo(path)  # the process waits in its first read of the configuration
    command = [sys.executable, "-m", "mastledge", "serve", "--config", path]
    process = subprocess.Popen(command, stderr=subprocess.PIPE)
    try:
        with open(path, "wb") as fifo:  # returns once the process has opened its end
            process.send_signal(signal.SIGHUP)
            (tmp_path / "next.json").rename(path)
            fifo.write(content)
        assert wait_until(lambda: http_status(control, "/api/ready") or process.poll() is not None)
        assert process.poll() is None
        process.send_signal(signal.SIGTERM)
        events = [orjson.loads(line)["event"] for line in process.communicate(timeout=10)[1].splitlines()]
        assert process.returncode == 0
        assert "configuration_loaded" in events
    finally:
        process.kill()
        process.wait()
