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


@pytest.mark.parametrize("path_length", [0, 200, 1000])
def test_upgrade_keeps_a_long_job_whatever_the_path_of_the_folder(path_length, tmp_path):
    # Guards against jobs that are killed at each upgrade because the path of a Unix socket is too long.
    folder = folder_with_path_length(tmp_path, path_length)
    address, first, second = free(), free(), free()
    worker = listen((HERE, 0))
    worker.setblocking(True)
    worker.settimeout(ANSWER_TIMEOUT_S)
    processes = [start_process(tmp_path, folder, address, worker.getsockname()[1], first)]
    try:
        assert wait_until(lambda: http_status(first, "/api/ready") == 200)
        host, _, port = address.rpartition(":")
        client = socket.create_connection((host, int(port)), 2)
        client.sendall(helpers.job(X_Txn="c1", X_Remaining_Ms=10_000))
        launch, _ = worker.accept()
        launch.settimeout(ANSWER_TIMEOUT_S)
        assert launch.recv(65536)
        launch.sendall(CHUNKED + chunk("started"))
        processes.append(start_process(tmp_path, folder, address, worker.getsockname()[1], second))
        assert wait_until(lambda: http_status(second, "/api/ready") == 200)
        processes[0].send_signal(signal.SIGTERM)
        assert processes[0].wait(EXIT_TIMEOUT_S) == 0
        launch.sendall(chunk("done", result="r") + b"0\r\n\r\n")
        client.settimeout(ANSWER_TIMEOUT_S)
        answer = client.makefile("rb").read()
        assert answer.startswith(b"HTTP/1.1 200")
        assert answer.endswith(b"\r\n\r\nr")
        client.close()
        launch.close()
    finally:
        for process in processes:
            process.kill()
            process.wait()
        worker.close()
