"""Builders of schedulers, connections and requests for tests."""

import os
import socket

import h11

from mastledge.protocol import http
from mastledge.protocol.client_connection import ClientConnection
from mastledge.protocol.client_listener import ClientListener
from mastledge.protocol.worker_connections import WorkerConnections
from mastledge.protocol.worker_endpoint import WorkerEndpoint
from mastledge.scheduling.scheduler import Scheduler
from mastledge.transport.budget import Budget
from mastledge.transport.connection import Connection
from mastledge.transport.listening import listen
from mastledge.transport.loop import Loop, Queue

STEP = 4_000
# An address per process, as a port closed by one test run may be reused by a parallel one.
HERE = f"127.{64 + (os.getpid() >> 16) % 64}.{os.getpid() >> 8 & 255}.{os.getpid() & 255}"


def queue_type(effect="restartable", **other):
    return {
        "target": 200_000,
        "walltime": 5_000_000,
        "effect": effect,
        "group": "zone",
        "window": 7_500_000,
        "utility": 1.0,
        "late_utility": 0.2,
        "kind": -1,
        "priority": 0,
        "stretch": 2.0,
        **other,
    }


def scheduler(types=None, workers=4, seed=7, **other):
    settings = {
        "dispatchers": 2,
        "me": 0,
        "zone": 0,
        "step": STEP,
        "follow": "pushed",
        "excess_utility": 0.2,
        "utility_basis": "work",
        "tells_start": True,
        "progress_every": 1_000_000,
        "queue_order": "fifo",
        "may_revoke": True,
        "may_probe": False,
        "may_hold_off": True,
        "most_hold_off": 2_000_000,
        "parallel": False,
        "launches": 5,
        "connect_timeout": 250_000,
        "cpu_a_second": 0,
        "cpu_a_job": 0,
        "conn_idle": 5_000_000,
        "answer_slack": 16_000,
        "ask_within": 10_000_000,
        "cold_from": 0.2,
        "cold_for": 10_000_000,
        "fall_for": 2_000_000,
        "fall_multiple": 2.5,
        "grace": 500_000,
        "report_how": "silent",
        "report_fields": [],
        "price_crossing": 0,
        "price_probe": 0,
        "price_waste": 0,
        "price_peer": 0,
        "may_message": False,
        "price_late": 0,
        "tenants": [],
        "queue_types": types or [queue_type()],
        **other,
    }
    for n, terms in enumerate(settings["queue_types"]):
        terms.setdefault("name", n)
    dispatcher = Scheduler(settings, seed, 0)
    dispatcher.update_endpoints(0, "whole", [entry(i) for i in range(workers)])
    return dispatcher


def entry(i, state="ready", born=0, zone=None):
    return (i % 2 if zone is None else zone, i, state, born, 0, 0, 1.0)


def known_workers(*ports):
    """Return a list of workers, `s-1` and so on, at these ports."""
    instances = [
        {
            "instanceId": f"s-{number}",
            "hostPort": f"{HERE}:{port}",
            "zone": "z",
            "machineType": "k",
            "cell": 0,
            "lifecycle": "ready",
            "weight": 1.0,
            "startedAtMs": 0,
        }
        for number, port in enumerate(ports, 1)
    ]
    return {"generation": 1, "reset": True, "instances": instances}


def arrive(dispatcher, now=0, job=1, queue_number=0, hint=100_000, patience=5_000_000, width=1.0, tenant=0):
    dispatcher.job_arrived(now, job, queue_number, hint, 0, width, 0.0, tenant, patience)


def pull(dispatcher, now):
    decisions = []
    while (decision := dispatcher.decide(now)) is not None:
        decisions.append(decision)
    return decisions


class Rig:
    """An event loop with its queue and budget, and the logged events."""

    def __init__(self, sockets=64, memory=1 << 26):
        self.errors, self.logged = [], []
        self.loop = Loop(self.errors.append)
        self.inbox, self.budget = Queue(self.loop), Budget(sockets, memory)

    def log(self, event, **fields):
        self.logged.append((event, fields))

    def turn(self, until, longest=2_000_000):
        """Run the loop until the condition holds or `longest` microseconds passed; return the condition."""
        deadline = self.loop.now() + longest
        while not until() and self.loop.now() < deadline:
            self.loop.run_once(10_000)
        return until()

    def called(self, sock):
        """Return the next connection that the listening socket accepts, and the first bytes on it."""
        sock.setblocking(False)
        received = []

        def has_data():
            try:
                if not received:
                    received.append(sock.accept()[0])
                    received[0].setblocking(False)
                received.append(received[0].recv(65536))
            except BlockingIOError:
                pass
            return len(received) > 1

        self.turn(has_data)
        received[0].settimeout(2)
        return received[:2]

    def reply(self, theirs):
        """Return all data received on the socket, after waiting for the first bytes and briefly for more."""
        received, _ = [], theirs.setblocking(False)

        def has_data():
            try:
                received.append(theirs.recv(65536))
            except BlockingIOError:
                pass
            return any(received)

        self.turn(has_data)
        for _ in range(5):
            self.loop.run_once(2_000)
            has_data()
        return b"".join(received)

    def pair(self, kind="clients", role=h11.SERVER):
        """Return a connection of the dispatcher and the plain socket at its other end."""
        listening_socket = listen((HERE, 0))
        theirs = socket.create_connection(listening_socket.getsockname(), 2)
        listening_socket.setblocking(True)
        ours, _ = listening_socket.accept()
        listening_socket.close()
        self.budget.acquire(kind)
        return http.attach(Connection(self.loop, ours, self.budget, kind), role), theirs


def door(rig, types=None, most_held=100, dispatchers=3):
    types = types or [queue_type(name="render")]
    settings = {
        "queue_types": types,
        "tenants": ["a", "b"],
        "most_held": most_held,
        "hold_off": 2_000_000,
        "dispatchers": dispatchers,
    }
    listener = ClientListener(rig.loop, rig.budget, rig.inbox, settings, rig.log)
    listener.ready = True
    return listener


def client(rig, listener, beyond=False):
    """Return a client's socket that the listener serves."""
    conn, theirs = rig.pair()
    conn.owner = rig.loop.spawn(ClientConnection(listener, conn, beyond).serve())
    listener.clients.add(conn)
    return theirs


def job(path="/render", body=b"x", **headers):
    """Return a client's request; headers that are None are omitted."""
    fields = {"Host": "h", "X_Txn": "9b1f", "X_Remaining_Ms": "480", "Content_Length": len(body), **headers}
    lines = [f"{name}: {value}".replace("_", "-", 2) for name, value in fields.items() if value is not None]
    return "\r\n".join([f"POST {path} HTTP/1.1", *lines, "", ""]).encode() + body


def workers(rig):
    settings = {"connect_timeout": 250_000, "conn_idle": 5_000_000, "report_fields": ["busy", "outstanding"]}
    return WorkerConnections(rig.loop, rig.budget, rig.inbox, settings, rig.log)


def peer_at(worker_id="s-1"):
    """Return a worker endpoint and the socket on which it listens."""
    sock = listen((HERE, 0))
    peer = WorkerEndpoint(worker_id)
    peer.address = sock.getsockname()
    sock.settimeout(2)
    return peer, sock
