"""Tests of the hand-off of running jobs between two real processes, during an upgrade."""

import signal
import socket

import helpers
import pytest
from helpers import HERE
from test_connection_handoff import CHUNKED, chunk
from test_control import free
from test_upgrade import http_status, start_process, wait_until

from mastledge.transport.listening import listen

EXIT_TIMEOUT_S = 6
ANSWER_TIMEOUT_S = 3


def folder_with_path_length(parent, length):
    """Return a new folder whose path has at least `length` characters."""
    folder = parent / "d"
    while len(str(folder)) < length:
        folder /= "d" * min(200, max(1, length - len(str(folder)) - 1))
    folder.mkdir(parents=True)
    return folder


def test_process_that_ends_leaves_no_socket_in_the_folder(tmp_path):
    # Guards against a socket file that stays in $TMPDIR after each end of a process.
    folder = folder_with_path_length(tmp_path, 0)
    address, control = free(), free()
    worker = listen((HERE, 0))
    process = start_process(tmp_path, folder, address, worker.getsockname()[1], control)
    try:
        assert wait_until(lambda: http_status(control, "/api/ready") == 200)
        assert [path.name for path in folder.iterdir() if path.is_socket()]
        process.send_signal(signal.SIGTERM)
        assert process.wait(EXIT_TIMEOUT_S) == 0
        assert not [path.name for path in folder.iterdir() if path.is_socket()]
    finally:
        process.kill()
        process.wait()
        worker.close()


class Upgrade:
    """An upgrade with real processes: the old one has one open job when the new one starts."""

    def __init__(self, parent, folder):
        """Start the old process, and send it the job `c1`, which its worker has received."""
        self.parent, self.folder, self.address = parent, folder, free()
        self.processes = []
        self.worker = listen((HERE, 0))
        self.worker.setblocking(True)
        self.worker.settimeout(ANSWER_TIMEOUT_S)
        self.old = self.start()
        host, _, port = self.address.rpartition(":")
        self.client = socket.create_connection((host, int(port)), 2)
        self.client.settimeout(ANSWER_TIMEOUT_S)
        self.client.sendall(helpers.job(X_Txn="c1", X_Remaining_Ms=10_000))
        self.launch, _ = self.worker.accept()
        self.launch.settimeout(ANSWER_TIMEOUT_S)
        assert self.launch.recv(65536)

    def start(self):
        """Start one more process and return it once it is ready."""
        control = free()
        process = start_process(self.parent, self.folder, self.address, self.worker.getsockname()[1], control)
        self.processes.append(process)
        assert wait_until(lambda: http_status(control, "/api/ready") == 200)
        return process

    def end_old(self):
        """End the old process gracefully."""
        self.old.send_signal(signal.SIGTERM)
        assert self.old.wait(EXIT_TIMEOUT_S) == 0

    def answer(self):
        """Return all that the client receives."""
        return self.client.makefile("rb").read()

    def close(self):
        """End all processes and close the sockets."""
        for process in self.processes:
            process.kill()
            process.wait()
        for opened in (self.client, self.launch, self.worker):
            opened.close()


@pytest.fixture
def start_upgrade(tmp_path):
    """Return a function that starts an upgrade in a folder whose path has at least a given length."""
    upgrades = []

    def start(path_length=0):
        upgrades.append(Upgrade(tmp_path, folder_with_path_length(tmp_path, path_length)))
        return upgrades[-1]

    yield start
    for upgrade in upgrades:
        upgrade.close()


@pytest.mark.parametrize("path_length", [0, 200, 1000])
def test_upgrade_keeps_a_long_job_whatever_the_path_of_the_folder(path_length, start_upgrade):
    # Guards against jobs that are killed at each upgrade because the path of a Unix socket is too long.
    upgrade = start_upgrade(path_length)
    upgrade.launch.sendall(CHUNKED + chunk("started"))
    upgrade.start()
    upgrade.end_old()
    upgrade.launch.sendall(chunk("done", result="r") + b"0\r\n\r\n")
    answer = upgrade.answer()
    assert answer.startswith(b"HTTP/1.1 200")
    assert answer.endswith(b"\r\n\r\nr")


@pytest.mark.parametrize("line_bytes", [5_000, 36_000])
def test_upgrade_keeps_a_job_whose_answer_line_is_partly_read(line_bytes, start_upgrade):
    # Guards against a client closed on without an answer because the bytes read so far were cut off.
    upgrade = start_upgrade()
    result = b"r" * line_bytes
    line = b'{"id":"c1","state":"done","result":"%s"}\n' % result
    parts = line[:-100], line[-100:]
    upgrade.launch.sendall(CHUNKED + chunk("started") + b"%x\r\n%s\r\n" % (len(parts[0]), parts[0]))
    upgrade.start()
    upgrade.end_old()
    upgrade.launch.sendall(b"%x\r\n%s\r\n0\r\n\r\n" % (len(parts[1]), parts[1]))
    answer = upgrade.answer()
    assert answer.startswith(b"HTTP/1.1 200")
    assert answer.endswith(b"\r\n\r\n" + result)
