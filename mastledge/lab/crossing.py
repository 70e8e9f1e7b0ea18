"""Orders of two events (`lab cross`): the program's own code, its peers and its time steered step by step.

A place is where the program waits, and the steps that are possible there. Two of them are played in both
orders, one after the other and both at once, as a loop finds them that was busy for 0.15 s; then peers do
what they usually do until all is quiet, and what they saw is judged. docs/laboratory.md says more.
"""

import os
import shutil
import socket
import struct
import tempfile
from itertools import combinations
from random import Random
from zlib import crc32

import orjson

from mastledge.lab.judge import SLACK, judged, nothing_to_the_drained, of
from mastledge.lab.steered import Readiness, Restless, Steered
from mastledge.program.configuration import load_configuration
from mastledge.program.dispatcher import Dispatcher

# Each with whether launches may be revoked.
EFFECTS = {
    "restartable": ("pure", True),
    "run-once": ("side_effect", True),
    "deduplicated": ("token", True),
    "unrevoked": ("pure", False),
}
BUSY = 150_000  # for which the loop stood still where two steps come at once
FOUND = 3  # scripts that are told of a rule at a place
OWN = 6  # tasks and timers of the program itself, at rest
AHEAD = 1_000  # of a step of time, the others that come at once with it
GONE = 100_000  # after a client has left, in which an attempt may begin
WALLTIME, WINDOW, TIMEOUT, GRACE = 4_000_000, 600_000, 250_000, 100_000
ZONES = {"s-1": "z", "s-2": "z", "s-3": "y"}
TAKEN = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST = b"0\r\n\r\n"
TURNED_AWAY = b"HTTP/1.1 503 X\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"


class BadScript(ValueError):
    """An unknown place or step; one line."""


def chunk(state, job, **more):
    raw = orjson.dumps({"id": job, "from": "w", "state": state, **more}) + b"\n"
    return b"%x\r\n%s\r\n" % (len(raw), raw)


def come(sock):
    """What has come on it: nothing at its end, None where nothing is there."""
    try:
        return sock.recv(1 << 16)
    except BlockingIOError:
        return None
    except OSError:
        return b""


class Caller:
    """A client's connection and its one job."""

    def __init__(self, stage, job, key):
        self.stage, self.job, self.open, self.got, self.half = stage, job, True, b"", False
        self.sock = socket.create_connection(stage.told["listen"], 2)
        self.sock.setblocking(False)
        body = b"x"
        head = (
            f"POST /render HTTP/1.1\r\nHost: h\r\nX-Txn: {job}\r\nX-Remaining-Ms: {WALLTIME // 1000}\r\n"
            f"Idempotency-Key: {key}\r\nContent-Length: 1\r\n\r\n"
        )
        self.unsent = head.encode() + body

    def sends(self, most=None):
        part = self.unsent[:most]
        self.unsent = self.unsent[len(part) :]
        try:
            self.sock.send(part)
        except OSError:
            self.leaves()  # it was closed on
            return
        if not self.unsent:
            self.stage.note("sent", job=self.job, key="", who="n0", walltime=WALLTIME, type="render")

    def reads(self):
        part = come(self.sock) if self.open else None
        if part is None:
            return False
        self.got += part
        if part and self.got.startswith(b"HTTP/1.1 100"):
            self.got = self.got.partition(b"\r\n\r\n")[2]
        if part and b"\r\n\r\n" in self.got:
            self.stage.note(
                "answer",
                job=self.job,
                key="",
                status=int(self.got.split()[1]),
                who="n0",
                type="render",
                result=self.got.partition(b"\r\n\r\n")[2].decode(),
            )
            self.stage.answers[self.job] = self.stage.answers.get(self.job, 0) + 1
            self.got = b""
        if not part:
            if self.job not in self.stage.answers and not self.unsent:
                self.stage.note("lost", job=self.job, who="n0", why="closed")
            self.leaves(False)
        return True

    def leaves(self, noted=True):
        if noted and self.open and self.job not in self.stage.answers:
            self.stage.note("left", job=self.job, who="n0")
        self.open = False
        self.sock.close()


class Attempt:
    """A connection to a worker: what is being asked on it, and what was told."""

    def __init__(self, stage, worker, sock):
        self.stage, self.worker, self.sock, self.got = stage, worker, sock, b""
        self.job, self.first, self.state, self.open, self.carried = None, None, "idle", True, 0
        self.life, self.barrier = stage.lives[worker][0], 0
        sock.setblocking(False)

    def reads(self):
        part = come(self.sock) if self.open else None
        if part is None:
            return False
        if not part:
            self.ends()
            return True
        if not self.got:
            self.first, self.barrier = self.stage.clock.at, self.stage.barriers
        self.got += part
        head, mark, body = self.got.partition(b"\r\n\r\n")
        if mark:
            fields = [line.split(b": ") for line in head.lower().split(b"\r\n")[1:]]
            self.job = dict(fields)[b"x-txn"].decode()
        if mark and body:
            self.got, self.state, self.carried = b"", "asked", self.carried + 1
            self.stage.launched(self)
        return True

    def ends(self):
        self.open = False
        self.sock.close()

    def says(self, raw):
        try:
            self.sock.send(raw)
        except OSError:
            self.ends()

    def took(self):
        """The head of an answer, where it has not been sent yet."""
        if self.state == "asked":
            self.state = "taken"
            return TAKEN + chunk("started", self.job)
        return b""


class Stage:
    """One program with its peers; what they see is noted as the laboratory's judge reads it."""

    def __init__(self, effect):
        self.effect, self.events, self.answers, self.faults = effect, [], {}, []
        memory = "/dev/shm" if os.path.isdir("/dev/shm") else None
        self.folder = tempfile.mkdtemp(prefix="mastledge-cross-", dir=memory)
        pid = os.getpid()
        self.host = f"127.{64 + (pid >> 16) % 64}.{pid >> 8 & 255}.{pid & 255}"
        self.workers = {name: self.listening() for name in ZONES}
        self.agents = [self.listening(), self.listening()]
        self.states, self.born = dict.fromkeys(ZONES, "gone") | {"s-1": "ready"}, {}
        self.lives = dict.fromkeys(ZONES, (0, 0))  # of each worker: which one it is, and since when
        self.generation, self.calls, self.silent, self.attempts, self.callers = 1, [], False, [], []
        self.unseen, self.busy, self.barriers = set(), 0, 0
        self.config = os.path.join(self.folder, "config.json")
        self.configure(0)
        self.told = load_configuration(self.config, {})
        self.program = Dispatcher(self.told, self.log, lambda: load_configuration(self.config, {}))
        self.loop = self.program.loop
        self.loop.on_error = lambda error: self.faults.append(f"{type(error).__name__}: {error}")
        self.clock, self.ready = Steered(self.loop), Readiness(self.loop, self.to_discovery)
        self.began = self.clock.at
        self.program.begin()
        self.settle()
        while self.program.phase != "serving":
            self.passes(self.clock.due())

    def log(self, event, **fields):
        if event == "internal_error":
            self.faults.append(f"{fields.get('call', '')} {fields['why']}")

    def to_discovery(self, fd):
        """It is on this machine and answers at once, also where connects to workers come up late."""
        with socket.socket(fileno=os.dup(fd)) as sock:
            try:
                return any(sock.getpeername() == agent.getsockname() for agent in self.agents)
            except OSError:
                return False

    def listening(self, port=0):
        sock = socket.create_server((self.host, port))
        sock.setblocking(False)
        return sock

    def at(self, sock):
        return f"{self.host}:{sock.getsockname()[1]}"

    def configure(self, agent):
        rules = {
            "coldFrom": 0.3,
            "coldMs": 50.0,
            "fallMs": 1000.0,
            "fallMultiple": 3.0,
            "stopSendingWithinMs": GRACE / 1000,
        }
        kind = {
            "name": "render",
            "targetTurnaroundMs": 3000.0,
            "walltimeMs": WALLTIME / 1000,
            "idempotency": EFFECTS[self.effect][0],
            "dedupScope": "zone",
            "windowMs": WINDOW / 1000,
        }
        settings = {
            "balancers": 4,
            "me": 0,
            "stepMs": 4.0,
            "discovery": "pushed",
            "rules": rules,
            "limits": {
                "maxLaunches": 5,
                "cancel": EFFECTS[self.effect][1],
                "connectTimeoutMs": TIMEOUT / 1000,
            },
            "familyInfo": {"tellsStart": True},
            "queueTypes": [kind],
        }
        if not hasattr(self, "address"):
            free = self.listening()
            self.address = self.at(free)
            free.close()
        with open(self.config, "wb") as file:
            file.write(
                orjson.dumps(
                    {
                        "listen": self.address,
                        "discovery": self.at(self.agents[agent]),
                        "seed": "8c1f",
                        "settings": settings,
                        "known": self.list_(True),
                        "limits": {"sockets": 128},
                    }
                )
            )

    def list_(self, reset, names=None):
        return {
            "generation": self.generation,
            "reset": reset,
            "instances": [
                {
                    "instanceId": name,
                    "hostPort": self.at(sock),
                    "zone": ZONES[name],
                    "cell": 0,
                    "machineType": "k",
                    "lifecycle": self.states[name],
                    "weight": 1.0,
                    "startedAtMs": self.born.get(name, 0),
                }
                for name, sock in self.workers.items()
                if (names is None or name in names) and (not reset or self.states[name] != "gone")
            ],
        }

    def note(self, kind, **fields):
        self.events.append({"at": self.clock.at, "kind": kind, **fields})

    # What goes on

    def peers(self):
        """What has come for the peers is read; discovery answers at once."""
        busy = False
        for name, sock in list(self.workers.items()):
            try:
                self.attempts.append(Attempt(self, name, sock.accept()[0]))
                busy = True
            except BlockingIOError:
                pass
        for agent in self.agents:
            try:
                call = agent.accept()[0]
                call.setblocking(False)
                self.calls.append([call, b""])
                busy = True
            except BlockingIOError:
                pass
        for call in list(self.calls):
            busy = self.answers_call(call) or busy
        for one in (*self.attempts, *self.callers):
            busy = one.reads() or busy
        return busy

    def answers_call(self, call):
        sock, got = call
        part = come(sock)
        if part is None:
            return False
        if not part:
            sock.close()
            self.calls.remove(call)
            return True
        call[1] = got + part
        if not self.silent and call[1].endswith(b"\r\n\r\n"):
            watch = b"follow=1" in call[1]
            raw = orjson.dumps(self.list_(not watch)) + b"\n"
            sock.send(TAKEN + b"%x\r\n%s\r\n" % (len(raw), raw) + (b"" if watch else LAST))
            call[1] = b"watch" if watch else b""
            self.heard()
        return True

    def heard(self):
        self.note("told", who="n0", generation=self.generation)
        self.lives = {
            name: (life, self.barriers if since is None else since)
            for name, (life, since) in self.lives.items()
        }

    def launched(self, attempt):
        self.note(
            "launch",
            job=attempt.job,
            key="",
            worker=attempt.worker,
            first=attempt.first,
            attempt=id(attempt),
            type="render",
            life=attempt.life,
            lives=self.lives[attempt.worker],
            barrier=attempt.barrier,
        )

    def settle(self):
        self.clock.settle(self.peers)

    def passes(self, when):
        self.clock.at = max(self.clock.at, when)
        self.settle()

    # Steps, by the names that scripts have

    def client(self):
        return self.callers[-1]

    def attempt(self, *states):
        """The newest connection in one of these states; `again`: one that has carried an answer before."""
        return next(
            (
                one
                for one in reversed(self.attempts)
                if one.open
                and one.state in states
                and ("again" not in states or one.carried > (one.state == "asked"))
            ),
            None,
        )

    def calls_in(self, job):
        self.callers.append(Caller(self, job, "k" + job))

    def step_request(self):
        self.calls_in(f"a{len(self.callers)}")
        self.client().sends()

    def step_connects(self):
        self.calls_in(f"a{len(self.callers)}")

    def step_request_begins(self):
        self.calls_in(f"a{len(self.callers)}")
        self.client().sends(-1)

    def step_nearly_finishes(self):
        self.goes_on(1_700_000)

    def step_finishes(self):
        """After SIGTERM, until it takes nothing new and closes who is idle."""
        while self.program.phase == "leaving":
            self.goes_on(20_000)

    def step_request_ends(self):
        self.client().sends()

    def step_client_closes(self):
        self.client().leaves()

    def step_client_resets(self):
        self.client().sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.client().leaves()

    def step_client_ends(self):
        one = self.client()
        if one.job not in self.answers:
            self.note("left", job=one.job, who="n0")
        one.half = True
        one.sock.shutdown(socket.SHUT_WR)

    def step_worker_takes(self):
        one = self.attempt("asked")
        one.says(one.took())

    def step_worker_done(self):
        one = self.attempt("asked", "taken")
        one.says(one.took() + chunk("done", one.job, result="r") + LAST)
        one.state = "idle"

    def step_worker_last_line(self):
        one = self.attempt("asked", "taken")
        one.says(one.took() + chunk("done", one.job, result="r"))
        one.state = "ending"

    def step_worker_last_chunk(self):
        one = self.attempt("ending")
        one.says(LAST)
        one.state = "idle"

    def step_worker_turns_away(self):
        one = self.attempt("asked")
        one.says(TURNED_AWAY)
        self.unseen.add((id(one), one.job))
        one.state = "idle"

    def step_worker_returns(self):
        one = self.attempt("asked")
        one.says(TAKEN + chunk("returned", one.job) + LAST)
        self.unseen.add((id(one), one.job))
        one.state = "idle"

    def step_worker_fails(self):
        one = self.attempt("asked", "taken")
        one.says(one.took() + chunk("failed", one.job) + LAST)
        one.state = "idle"

    def step_second_answer(self):
        self.attempt("idle", "asked", "again").says(TURNED_AWAY)

    def step_worker_closes(self):
        self.attempt("idle", "asked", "taken", "ending").ends()

    def step_worker_resets(self):
        one = self.attempt("idle", "asked", "taken", "ending")
        one.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        one.ends()

    def step_connects_held(self):
        self.ready.held = True

    def step_connects_up(self):
        self.ready.held = False

    def changes(self, name, state, born=None):
        self.states[name], self.generation = state, self.generation + 1
        if born:
            self.born[name], self.lives[name] = born, (self.lives[name][0] + 1, None)  # until it is told
        self.note("listed", worker=name, state=state, generation=self.generation)
        if self.silent:
            return
        raw = orjson.dumps(self.list_(False, {name})) + b"\n"
        for sock, what in self.calls:
            if what == b"watch":
                sock.send(b"%x\r\n%s\r\n" % (len(raw), raw))
                self.heard()

    def step_drains(self):
        self.changes("s-1", "draining")

    def step_gone(self):
        self.changes("s-1", "gone")

    def unix(self):
        return (self.clock.at + self.program.discovery.since) // 1000

    def step_restarts(self):
        for one in self.attempts:
            if one.worker == "s-1":
                one.ends()
        self.changes("s-1", "ready", self.unix())

    def step_moves(self):
        self.workers["s-1"].close()
        self.workers["s-1"] = self.listening()
        self.changes("s-1", "ready", self.unix())

    def step_joins(self):
        self.changes("s-2", "ready")

    def step_joins_elsewhere(self):
        self.changes("s-3", "ready")

    def step_watch_silent(self):
        self.silent = True

    def step_watch_back(self):
        self.silent = False

    def step_watch_resets(self):
        for sock, what in self.calls:
            if what == b"watch":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                sock.close()
        self.calls = [call for call in self.calls if call[0].fileno() >= 0]

    def step_older(self):
        """A change of a generation that is behind what was told."""
        raw = (
            orjson.dumps(
                {
                    **self.list_(False),
                    "generation": 0,
                    "instances": [
                        {**one, "lifecycle": "ready"} for one in self.list_(False, {"s-1"})["instances"]
                    ],
                }
            )
            + b"\n"
        )
        for sock, what in self.calls:
            if what == b"watch":
                sock.send(b"%x\r\n%s\r\n" % (len(raw), raw))

    def step_term(self):
        self.program.stop_requested = True
        self.loop.wake(self.program.lifecycle_task)

    def step_hup(self):
        self.configure(1)
        self.program.reload_configuration()

    def until(self, step):
        """When this step of time is there."""
        now = self.clock.at
        since = {"walltime": WALLTIME, "nearly-window": WINDOW - TIMEOUT // 2, "window": WINDOW + 2 * SLACK}
        if step in since:
            return max([now, *(event["at"] + since[step] for event in of(self.record(), "sent"))])
        if step == "timer":
            due = self.clock.due()
            return now if due is None else max(now, due)
        return now + (TIMEOUT if step == "connect-time" else GRACE + 2 * SLACK)

    def step_full(self):
        """No descriptor is left for one more connection of any kind."""
        for kind in ("clients", "workers"):
            self.program.budget.limits[kind] = self.program.budget.used[kind]

    def possible(self, step):
        """Whether there is anything that could do it now."""
        if step in ("request", "request-begins", "connects"):
            return self.program.phase in ("serving", "leaving")
        if step in (*CLIENT, "request-ends"):
            one = self.callers[-1] if self.callers else None
            return one is not None and one.open and not one.half and (step in CLIENT or bool(one.unsent))
        needs = {
            "worker-takes": ("asked",),
            "worker-turns-away": ("asked",),
            "worker-returns": ("asked",),
            "worker-done": ("asked", "taken"),
            "worker-last-line": ("asked", "taken"),
            "worker-fails": ("asked", "taken"),
            "worker-last-chunk": ("ending",),
            "second-answer": ("idle", "asked", "again"),
            "worker-closes": ("idle", "asked", "taken", "ending"),
            "worker-resets": ("idle", "asked", "taken", "ending"),
        }.get(step)
        return needs is None or self.attempt(*needs) is not None

    def does(self, *steps):
        """One step, or several that a busy loop finds at once; what is not possible is passed over.

        Time passes up to the time of a step of time; the others of its group are there just before.
        """
        target = max((self.until(step) for step in steps if step in TIMES), default=None)
        if target is not None and target > self.clock.at + AHEAD:
            self.goes_on(target - AHEAD - self.clock.at)
        self.barriers += 1
        for step in steps:
            if step not in TIMES and self.possible(step):
                getattr(self, "step_" + step.replace("-", "_"))()
        if target is not None:
            self.clock.at = max(self.clock.at, target)
        elif len(steps) > 1:
            self.clock.at, self.busy = self.clock.at + BUSY, BUSY
        self.settle()

    # The end, and the verdict

    def goes_on(self, span):
        """Time passes as it does: what is due on the way comes at its time."""
        self.barriers += 1
        self.clock.run(lambda: False, span, self.peers)

    def rest(self):
        """Peers do what they usually do until nobody waits; then long enough for what is late."""
        self.ready.held = self.silent = False
        self.settle()
        last = self.clock.at + 2 * WALLTIME
        while self.clock.at < last and self.loop.running:
            if self.attempt("asked", "taken") is not None:
                self.does("worker-done")
            elif self.attempt("ending") is not None:
                self.does("worker-last-chunk")
            elif self.program.router.jobs:
                self.goes_on(20_000)
            else:
                break
        for one in self.callers:
            if one.open and one.unsent:
                one.leaves(False)
        self.goes_on(WALLTIME)
        for one in self.callers:
            if one.open:
                one.leaves(False)
        self.goes_on(1_000_000)

    def record(self):
        return {
            "events": self.events,
            "spells": [],
            "grace": GRACE,
            "goals": {},
            "repeats": False,
            "lag_ms": self.busy / 1000,
            "run_once": ["render"] if self.effect == "run-once" else [],
            "cold": {"span": 1_000_000, "multiple": 3.0, "slots": 100, "from": 0.3, "for": 0},
        }

    def verdict(self):
        """What is broken: by the laboratory's rules, and by those of a single order."""
        # A launch takes effect unless its worker has said that it never ran.
        for event in of(self.record(), "launch"):
            if (event["attempt"], event["job"]) not in self.unseen:
                self.events.append({**event, "kind": "effect"})
        self.events.sort(key=lambda event: event["at"])
        record = self.record()
        told = judged(record)
        # For drains a launch counts from its first byte, else from its last.
        first = [{**event, "at": event.get("first", event["at"])} for event in record["events"]]
        told["nothing_to_the_drained"] = list(nothing_to_the_drained({**record, "events": first}))
        out = [f"{rule}: {line}" for rule, lines in told.items() for line in lines]
        left = {event["job"]: event["at"] for event in of(record, "left")}
        begun = {}
        for event in of(record, "launch"):
            job = event["job"]
            if event["first"] > left.get(job, event["first"]) + GONE:
                late = (event["first"] - left[job]) / 1000
                out.append(f"nothing_for_the_gone: {job} was launched {late:.0f} ms after its client left")
            if self.effect == "deduplicated" and (event["attempt"], job) not in self.unseen:
                at, worker = begun.setdefault(job, (event["at"], event["worker"]))
                if event["at"] > at + WINDOW + SLACK or ZONES[event["worker"]] != ZONES[worker]:
                    out.append(
                        f"inside_the_window: {job} was launched on {event['worker']} "
                        f"{(event['at'] - at) / 1000:.0f} ms after {worker}"
                    )
            life, since = event["lives"]
            if event["life"] != life and since is not None and event["barrier"] > since:
                out.append(f"the_worker_of_now: {job} went to a former life of {event['worker']}")
        out += [f"one_answer: {job} had {count}" for job, count in self.answers.items() if count > 1]
        return out + self.left_over() + [f"no_fault: {fault}" for fault in self.faults]

    def left_over(self):
        program, out = self.program, []
        if program.router.jobs:
            out.append(f"nothing_left: {len(program.router.jobs)} jobs")
        if program.router.scheduler.jobs:
            out.append(f"nothing_left: {len(program.router.scheduler.jobs)} jobs of the decisions")
        if program.budget.used["clients"]:
            out.append(f"nothing_left: {program.budget.used['clients']} clients' descriptors")
        idle = sum(len(peer.idle) for peer in program.router.endpoints.values())
        timers = sum(wait_number == task.wait_number for _, _, task, wait_number in self.loop.timers)
        if timers > idle + OWN:
            out.append(f"nothing_left: {timers - idle} timers")
        if len(self.loop.waiters) > idle + OWN:
            out.append(f"nothing_left: {len(self.loop.waiters) - idle} tasks")
        if program.budget.used["workers"] > idle:
            out.append(f"nothing_left: {program.budget.used['workers'] - idle} workers' descriptors")
        if program.budget.request_bytes or program.listener.jobs.in_hand:
            out.append("nothing_left: room for bodies, or jobs in hand")
        return out

    def over(self):
        program = self.program
        for task in (
            program.lifecycle_task,
            program.inbox.reader,
            program.discovery.task,
            program.accept_task,
        ):
            if task is not None:
                self.loop.cancel(task)
        for conn in list(program.listener.clients):
            self.loop.cancel(conn.owner)
        for peer in program.router.endpoints.values():
            program.workers.close_idle(peer)
        program.listening_socket.close()
        self.loop.epoll.close()
        for one in (*self.attempts, *self.callers):
            one.sock.close()
        for sock in (*self.workers.values(), *self.agents, *(call[0] for call in self.calls)):
            sock.close()
        shutil.rmtree(self.folder)


CLIENT = ("client-closes", "client-resets", "client-ends")
LIST = ("drains", "gone", "restarts", "moves")
WATCH = ("watch-silent", "watch-resets", "older", "hup")
ANSWER = (
    "worker-takes",
    "worker-done",
    "worker-last-line",
    "worker-turns-away",
    "worker-returns",
    "worker-fails",
)
BREAK = ("worker-closes", "worker-resets")
TIME = ("timer", "grace", "connect-time", "window", "walltime")
TIMES = (*TIME, "nearly-window")
KEPT = ("request", "worker-done")

# What leads there, and the steps that are possible next.
PLACES = {
    "request": (("request-begins",), ("request-ends", *CLIENT, *LIST, *WATCH, "timer", "term", "full")),
    "kept": (KEPT, ("request", *BREAK, "second-answer", *LIST, "timer", "term", "hup", "full")),
    "kept-request": ((*KEPT, "request"), ("second-answer", *ANSWER, *BREAK, *CLIENT, *LIST, *TIME, "term")),
    "quiet": (("request",), ("timer", *BREAK, *CLIENT, *LIST, "watch-resets", "hup", "walltime", "term")),
    "connect": (
        ("connects-held", "request"),
        ("connects-up", *CLIENT, *LIST, *WATCH, *TIME, "joins", "term", "full"),
    ),
    "asked": (
        ("request",),
        (*ANSWER, *BREAK, *CLIENT, *LIST, *WATCH, *TIME, "joins", "joins-elsewhere", "term", "full"),
    ),
    "taken": (
        ("request", "worker-takes"),
        ("worker-done", "worker-last-line", "worker-fails", *BREAK, *CLIENT, *LIST, *TIME, "term", "hup"),
    ),
    "last-line": (
        ("request", "worker-last-line"),
        ("worker-last-chunk", *BREAK, *CLIENT, "request", *LIST, "timer", "term"),
    ),
    "retry": (
        ("joins", "request", "connects-held", "worker-resets"),
        ("connects-up", *CLIENT, *LIST, *TIME, "watch-resets", "term", "full"),
    ),
    "returned": (
        ("joins", "request", "connects-held", "worker-returns"),
        ("connects-up", *CLIENT, *LIST, *TIME, "watch-resets", "term", "full"),
    ),
    "watch": (
        ("watch-silent", "drains", "timer"),
        ("watch-back", "watch-resets", "older", "request", "hup", "timer", "gone", "restarts", "term"),
    ),
    "no-worker": (("gone", "request"), ("joins", "restarts", *CLIENT, *WATCH, *TIME, "term", "full")),
    "leaving": (("request", "term"), (*ANSWER, *BREAK, *CLIENT, *TIME, "request", "drains", "hup")),
    "finishing": (
        (*KEPT, "request", "term", "nearly-finishes", "connects", "finishes"),
        ("request-ends", "worker-done", *BREAK, *CLIENT, *TIME),
    ),
    "kept-quiet": (
        (*KEPT, "request"),
        ("timer", "second-answer", *BREAK, *CLIENT, *LIST, "walltime", "term"),
    ),
    "after-drain": (
        ("drains", "grace"),
        ("older", "joins", "request", "watch-resets", "hup", "restarts", "timer"),
    ),
    "window": (
        ("joins", "request", "nearly-window", "connects-held", "worker-resets"),
        ("connects-up", "joins-elsewhere", *TIME, *CLIENT, "gone"),
    ),
}


def steps_of(text):
    """A script: groups one after the other, the steps of a group at once."""
    known = {name[5:].replace("_", "-") for name in dir(Stage) if name.startswith("step_")} | set(TIMES)
    groups = [tuple(group.split("+")) for group in text.split(",")]
    for step in (step for group in groups for step in group):
        if step not in known:
            raise BadScript(f"unknown step: {step}")
    return groups


def named(effect, place, groups):
    return f"{place}/{effect}/" + ",".join("+".join(group) for group in groups)


def parsed(text):
    """(effect, place, groups) of a script's name."""
    place, _, rest = text.partition("/")
    effect, _, script = rest.partition("/")
    if place not in PLACES:
        raise BadScript(f"unknown place: {place}")
    if effect not in EFFECTS:
        raise BadScript(f"unknown effect: {effect}")
    return effect, place, steps_of(script)


def played(effect, place, groups):
    """What is broken where these steps follow; empty where nothing is."""
    stage = Stage(effect)
    try:
        for step in PLACES[place][0]:
            # The last byte of a run-once job follows a look of some milliseconds.
            stage.does(step)
            if place not in ("quiet", "kept-quiet"):
                stage.goes_on(5_000)
        for group in groups:
            stage.does(*group)
        stage.rest()
        return stage.verdict()
    except Restless:
        return ["comes_to_rest: it goes on and on"]
    finally:
        stage.over()


def pairs(place):
    """Both orders of each two steps, one after the other and at once."""
    for one, other in combinations(PLACES[place][1], 2):
        for group in ((one, other), (other, one)):
            yield [group[:1], group[1:]]
            if one not in TIME or other not in TIME:
                yield [group]


def longer(place, depth, count, random):
    """Orders of so many steps, drawn: some of them at once."""
    steps = PLACES[place][1]
    for _ in range(count):
        groups = []
        while sum(map(len, groups)) < depth:
            drawn = [random.choice(steps) for _ in range(random.choice((1, 1, 2)))]
            groups.append(tuple(drawn))
        yield groups


def shrunk(effect, place, groups):
    """The steps that matter: none of them can be left out, nor come by itself."""
    rule = {line.partition(":")[0] for line in played(effect, place, groups)}

    def still(tried):
        return tried and rule & {line.partition(":")[0] for line in played(effect, place, tried)}

    smaller = True
    while smaller:
        smaller = False
        for n, group in enumerate(groups):
            for tried in (
                [*groups[:n], *groups[n + 1 :]],
                *(
                    [*groups[:n], tuple(s for s in group if s is not step), *groups[n + 1 :]]
                    for step in group
                    if len(group) > 1
                ),
            ):
                if still(tried):
                    groups, smaller = tried, True
                    break
            if smaller:
                break
    return groups


def search(place, effect, depth, count, seed):
    """(orders tried, {rule: [(script's name, what was broken)]}), of each rule the first ones shrunk."""
    tried, broken = 0, {}
    random = Random(crc32(f"{place}/{effect}/{seed}".encode()))
    for groups in pairs(place) if depth == 2 else longer(place, depth, count, random):
        tried += 1
        for line in played(effect, place, groups):
            found = broken.setdefault(line.partition(":")[0], [])
            if len(found) < FOUND:
                found.append((named(effect, place, shrunk(effect, place, groups)), line))
            break
    return tried, broken
