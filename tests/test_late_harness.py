"""A harness that runs late: what it records and how fast its workers are does not depend on that."""

import asyncio
import socket
import time

import h11
import numpy
import pytest
from helpers import HERE

from mastledge.lab.load import ReceivedAnswer
from mastledge.lab.scenario import Workers
from mastledge.lab.soak.clients import read_answer
from mastledge.lab.stub_servers import Worker
from mastledge.lab.tcp_info import hang_up
from mastledge.lab.wire import address, now

STALL_S = 0.3
TICK_US = 20_000  # to which the kernel tells when bytes came, at the most
WORK_MS = 100
REQUEST = b"POST /read HTTP/1.1\r\nHost: w\r\nX-Txn: %s\r\nContent-Length: 1\r\n\r\nx"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nr"


class Notes:
    """Takes the events of a stub worker."""

    host = HERE

    def __init__(self):
        self.events = []

    def note(self, kind, at=None, **fields):
        self.events.append({"kind": kind, "at": at or now(), **fields})

    def times(self, kind):
        return [event["at"] for event in self.events if event["kind"] == kind]

    async def wait_for(self, kind, count):
        async with asyncio.timeout(5):
            while len(self.times(kind)) < count:
                await asyncio.sleep(0.001)


async def launches_during_a_stall(jobs):
    """Send jobs to a worker with one slot, stall the loop, and return (sent at, stall ended at, notes)."""
    notes = Notes()
    options = Workers(count=1, slots=1, run_ms=(WORK_MS, WORK_MS))
    worker = await Worker(notes, "w0", options, numpy.random.default_rng(1)).begin()
    clients = [socket.create_connection(address(worker.address)) for _ in range(jobs)]
    try:
        await asyncio.sleep(0)
        sent_at = now()
        for number, client in enumerate(clients):
            client.sendall(REQUEST % b"j%d" % number)
        time.sleep(STALL_S)
        stall_ended_at = now()
        await notes.wait_for("effect", jobs)
        return sent_at, stall_ended_at, notes
    finally:
        for client in clients:
            client.close()
        worker.server.close()


def test_a_launch_is_recorded_at_the_time_at_which_its_request_came():
    # Guards against a launch that counts as late because the harness has read it late.
    sent_at, _, notes = asyncio.run(launches_during_a_stall(1))
    (launched_at,) = notes.times("launch")
    assert abs(launched_at - sent_at) < TICK_US


def test_a_worker_is_as_fast_in_a_harness_that_runs_late():
    # Guards against an overload that the harness makes itself.
    _, stall_ended_at, notes = asyncio.run(launches_during_a_stall(2))
    assert max(notes.times("effect")) - stall_ended_at < WORK_MS * 1000


def test_an_answer_is_recorded_at_the_time_at_which_it_came():
    # Guards against an answer that counts as late because the harness has read it late.
    async def play() -> tuple[int, ReceivedAnswer]:
        with socket.create_server((HERE, 0)) as server:
            reader, writer = await asyncio.open_connection(*server.getsockname())
            theirs, _ = server.accept()
            client = h11.Connection(h11.CLIENT)
            client.send(h11.Request(method="GET", target="/", headers=[("host", "d")]))
            answered_at = now()
            theirs.sendall(ANSWER)
            time.sleep(STALL_S)
            answer = await read_answer(client, reader, writer)
            writer.close()
            theirs.close()
            return answered_at, answer

    answered_at, answer = asyncio.run(play())
    assert abs(answer.at - answered_at) < TICK_US


@pytest.mark.parametrize("closed_by_the_other_side", [False, True])
def test_a_client_that_leaves_closes_its_connection_at_once(closed_by_the_other_side):
    # Guards against a close that asyncio makes a turn later than it is recorded.
    async def play():
        with socket.create_server((HERE, 0)) as server:
            _, writer = await asyncio.open_connection(*server.getsockname())
            theirs, _ = server.accept()
            theirs.settimeout(2)
            if closed_by_the_other_side:
                theirs.close()
            left_at = hang_up(writer)
            assert closed_by_the_other_side or theirs.recv(1) == b""
            assert left_at <= now()
            theirs.close()

    asyncio.run(play())
