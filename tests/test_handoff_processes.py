"""Tests of the hand-off of running jobs between two real processes, during an upgrade."""

import itertools
import os
import resource
import select
import signal
import socket

import helpers
import pytest
from helpers import HERE, known_workers
from test_connection_handoff import CHUNKED, ENDED_WITH_THE_PROCESS
from test_control import free
from test_program import GOOD
from test_upgrade import http_status, start_process, wait_until

from mastledge.transport.listening import listen

EXIT_TIMEOUT_S = 6
ANSWER_TIMEOUT_S = 3
MANY_JOBS, JOBS_PER_WORKER = 400, 4
WALLTIME_MS = 15_000


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


def line_chunk(line):
    """Return a chunk with a line, or with a part of one."""
    return b"%x\r\n%s\r\n" % (len(line), line)


def started(name):
    """Return the chunk that tells that a job has started."""
    return line_chunk(b'{"id":"%s","state":"started"}\n' % name.encode())


def done(name):
    """Return the last chunks of the answer to a job that has ended well, with the result `r`."""
    return line_chunk(b'{"id":"%s","state":"done","result":"r"}\n' % name.encode()) + b"0\r\n\r\n"


class Upgrade:
    """An upgrade with real processes: the old one has open jobs when the new one starts."""

    def __init__(self, parent, folder, jobs=1, workers=1, **changed):
        """Start the old process, and send it jobs named `c1` and so on, which their worker has received."""
        self.parent, self.folder, self.address, self.changed = parent, folder, free(), changed
        self.processes, self.clients, self.launches = [], {}, {}
        self.workers = [listen((HERE, 0)) for _ in range(workers)]
        self.ports = [worker.getsockname()[1] for worker in self.workers]
        self.changed["known"] = known_workers(*self.ports)
        queue_type = {**GOOD["settings"]["queueTypes"][0], "walltimeMs": float(WALLTIME_MS)}
        self.changed["settings"] = {**GOOD["settings"], "queueTypes": [queue_type]}
        self.old = self.start()
        for number in range(1, jobs + 1):
            self.send_job(f"c{number}")

    def send_job(self, name):
        """Send a job to the old process, and wait until the worker has received it."""
        host, _, port = self.address.rpartition(":")
        client = self.clients[name] = socket.create_connection((host, int(port)), 2)
        client.settimeout(ANSWER_TIMEOUT_S)
        client.sendall(helpers.job(X_Txn=name, X_Remaining_Ms=WALLTIME_MS))
        waiting, _, _ = select.select(self.workers, [], [], ANSWER_TIMEOUT_S)
        launch = self.launches[name] = waiting[0].accept()[0]
        launch.settimeout(ANSWER_TIMEOUT_S)
        request = b""
        while b"X-Txn: %s\r\n" % name.encode() not in request.replace(b"x-txn", b"X-Txn"):
            request += launch.recv(65536)
        launch.sendall(CHUNKED + started(name))

    def start(self):
        """Start one more process and return it once it is ready."""
        control = free()
        process = start_process(
            self.parent, self.folder, self.address, self.ports[0], control, **self.changed
        )
        self.processes.append(process)
        assert wait_until(lambda: http_status(control, "/api/ready") == 200)
        return process

    def end_old(self):
        """End the old process gracefully."""
        self.old.send_signal(signal.SIGTERM)
        assert self.old.wait(EXIT_TIMEOUT_S) == 0

    def answer(self, name="c1"):
        """Return all that the client of a job receives."""
        return self.clients[name].makefile("rb").read()

    def close(self):
        """End all processes and close the sockets."""
        for process in self.processes:
            process.kill()
            process.wait()
        for opened in (*self.clients.values(), *self.launches.values(), *self.workers):
            opened.close()


@pytest.fixture
def start_upgrade(tmp_path):
    """Return a function that starts an upgrade in a folder whose path has at least a given length."""
    upgrades = []

    def start(path_length=0, **options):
        upgrades.append(Upgrade(tmp_path, folder_with_path_length(tmp_path, path_length), **options))
        return upgrades[-1]

    yield start
    for upgrade in upgrades:
        upgrade.close()


@pytest.mark.parametrize("path_length", [0, 200, 1000])
def test_upgrade_keeps_a_long_job_whatever_the_path_of_the_folder(path_length, start_upgrade):
    # Guards against jobs that are killed at each upgrade because the path of a Unix socket is too long.
    upgrade = start_upgrade(path_length)
    upgrade.start()
    upgrade.end_old()
    upgrade.launches["c1"].sendall(done("c1"))
    answer = upgrade.answer()
    assert answer.startswith(b"HTTP/1.1 200")
    assert answer.endswith(b"\r\n\r\nr")


@pytest.mark.parametrize("line_bytes", [5_000, 36_000, 390_000])
def test_upgrade_keeps_a_job_whose_answer_line_is_partly_read(line_bytes, start_upgrade):
    # Guards against a client closed on without an answer because the bytes read so far were cut off.
    upgrade = start_upgrade()
    result = b"r" * line_bytes
    line = b'{"id":"c1","state":"done","result":"%s"}\n' % result
    parts = line[:-100], line[-100:]
    upgrade.launches["c1"].sendall(line_chunk(parts[0]))
    upgrade.start()
    upgrade.end_old()
    upgrade.launches["c1"].sendall(line_chunk(parts[1]) + b"0\r\n\r\n")
    answer = upgrade.answer()
    assert answer.startswith(b"HTTP/1.1 200")
    assert answer.endswith(b"\r\n\r\n" + result)


def test_upgrade_keeps_many_long_jobs(start_upgrade):
    # Guards against jobs killed at an upgrade because more of them are open than one message queue takes.
    upgrade = start_upgrade(
        jobs=MANY_JOBS, workers=MANY_JOBS // JOBS_PER_WORKER, limits={"sockets": 4 * MANY_JOBS}
    )
    upgrade.start()
    upgrade.end_old()
    for name, launch in upgrade.launches.items():
        launch.sendall(done(name))
    answers = {name: upgrade.answer(name)[:12] for name in upgrade.clients}
    assert {name: answer for name, answer in answers.items() if answer != b"HTTP/1.1 200"} == {}


def test_upgrade_to_a_version_without_offers_loses_no_job(start_upgrade):
    # Guards against the way back: an older version cuts long datagrams, and one long job kept the others.
    upgrade = start_upgrade(jobs=3)
    line = b'{"id":"c1","state":"done","result":"%s"}\n' % (b"r" * 36_000)
    upgrade.launches["c1"].sendall(line_chunk(line[:-100]))
    present = set(upgrade.folder.iterdir())
    upgrade.start()
    (offers,) = [path for path in set(upgrade.folder.iterdir()) - present if ".offers" in path.name]
    offers.unlink()
    upgrade.end_old()
    assert upgrade.answer("c1").startswith(ENDED_WITH_THE_PROCESS)
    for name in ("c2", "c3"):
        upgrade.launches[name].sendall(done(name))
        assert upgrade.answer(name).startswith(b"HTTP/1.1 200")


def stop(process):
    process.send_signal(signal.SIGSTOP)


def use_up_descriptors(process):
    in_use = {int(name) for name in os.listdir(f"/proc/{process.pid}/fd")}
    first_free = next(number for number in itertools.count() if number not in in_use)
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (first_free, first_free))


@pytest.mark.parametrize("disturb", [stop, use_up_descriptors])
def test_jobs_that_the_new_process_does_not_take_are_answered_by_the_old_one(disturb, start_upgrade):
    # Guards against clients closed on without an answer: jobs were let go before the new process had them.
    upgrade = start_upgrade(jobs=3)
    new = upgrade.start()
    disturb(new)
    upgrade.end_old()
    new.kill()
    for name in upgrade.clients:
        assert upgrade.answer(name).startswith(ENDED_WITH_THE_PROCESS)
