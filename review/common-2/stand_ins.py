"""Stand-ins for clients, workers, discovery and the platform, written from the users' pages.

Everything listens on loopback addresses at free ports. Each event goes into the record of the case, with the
seconds since the start of the case.
"""

import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import uuid
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
PORTS = 12_000, 32_000  # below those that Linux gives to connections and to port 0 (32768 and up)
GIVEN_PORTS: set[int] = set()
ENDING_SIGNALS = signal.SIGTERM, signal.SIGINT, signal.SIGHUP
PULSE_S = 2.0  # a watch that has nothing to tell gets an empty line this often (real/PROTOCOL.md)
READY_WITHIN_S = 30.0  # more/mass/STANDING.md, "The gate"
TERM_TO_KILL_S = 3.7 + 1.0  # SIGKILL comes no sooner than 3 s and 0.7 s after SIGTERM (real/PROTOCOL.md)


class CaseNotRunError(Exception):
    """The case could not run, so it says nothing about the rule."""


class Record:
    """The file with what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        """Begin an empty record; the clock of the case starts now."""
        self.start, self.lock = time.monotonic(), threading.Lock()
        self.file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.start

    def note(self, what: str, **fields: Any) -> None:
        """Write one event."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self.lock:
            self.file.write(f"{self.now():8.3f} {what} {text}\n".rstrip() + "\n")
            self.file.flush()


def free_address() -> tuple[str, int]:
    """Return a loopback address whose port was free just now, and is given to nobody by the system itself."""
    while True:
        address = "127.0.0.1", random.randrange(*PORTS)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(address)
            if address[1] not in GIVEN_PORTS:
                GIVEN_PORTS.add(address[1])
                return address


def text_of(address: tuple[str, int]) -> str:
    """Return an address as ADDRESS:PORT."""
    return f"{address[0]}:{address[1]}"


def read_head(stream: Any) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers of a message; None at the end of the connection."""
    line = stream.readline()
    if not line:
        return None
    headers = {}
    while (field := stream.readline().strip()) != b"":
        name, _, value = field.partition(b":")
        headers[name.decode().lower()] = value.strip().decode("latin-1")
    return line.decode("latin-1").strip(), headers


def chunk(data: bytes) -> bytes:
    """Return data as one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class Server:
    """A TCP server with a thread for each connection; `serve` handles one connection."""

    def __init__(self) -> None:
        """Listen at a free port."""
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = self.listener.getsockname()
        self.is_open = True
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while self.is_open:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._run, args=(sock,), daemon=True).start()

    def _run(self, sock: socket.socket) -> None:
        with sock, contextlib.suppress(OSError, ValueError):
            self.serve(sock)

    def serve(self, sock: socket.socket) -> None:
        """Handle one connection until it ends."""
        raise NotImplementedError

    def close(self) -> None:
        """Accept no more connections."""
        self.is_open = False
        self.listener.close()


class Run:
    """One request that reached a worker whole."""

    def __init__(self, worker: str, target: str, headers: dict[str, str], body: bytes) -> None:
        """Take the request."""
        self.worker, self.target, self.headers, self.body = worker, target, headers, body
        self.key = headers.get("idempotency-key", "")
        self.txn = headers.get("x-txn", "")
        self.took_effect = False


class Workers:
    """The workers of a deployment, and all that they were sent and have run."""

    def __init__(
        self, record: Record, count: int, plan: Callable[[Run], tuple[float, float, str]], progress_s: float
    ) -> None:
        """`plan(run)` returns how long a worker hangs first, how long it runs then, and the result."""
        self.record, self.plan, self.progress_s = record, plan, progress_s
        self.runs: list[Run] = []
        self.lock = threading.Lock()
        self.all = {f"w{n}": Worker(self, f"w{n}") for n in range(count)}

    def entries(self) -> list[dict[str, Any]]:
        """Return the workers in discovery's form."""
        return [
            {
                "instanceId": name,
                "hostPort": text_of(worker.address),
                "zone": "dal-1",
                "machineType": "std-4",
                "cell": 0,
                "lifecycle": "ready",
                "weight": 1.0,
                "startedAtMs": 0,
            }
            for name, worker in self.all.items()
        ]

    def effects(self, key: str) -> list[Run]:
        """Return the runs of a key that took effect."""
        with self.lock:
            return [run for run in self.runs if run.key == key and run.took_effect]


class Worker(Server):
    """A worker of `real/PROTOCOL.md`. A cancel does not stop what has begun (tx-residents, some days)."""

    def __init__(self, workers: Workers, name: str) -> None:
        """Listen; requests are handled by the plan of `workers`."""
        self.workers, self.name = workers, name
        super().__init__()

    def serve(self, sock: socket.socket) -> None:
        """Serve the requests of one connection, one after the other."""
        stream = sock.makefile("rb")
        while (head := read_head(stream)) is not None:
            line, headers = head
            body = stream.read(int(headers.get("content-length", "0")))
            run = Run(self.name, line.split(" ")[1], headers, body)
            with self.workers.lock:
                self.workers.runs.append(run)
            hang_s, run_s, result = self.workers.plan(run)
            if hang_s + run_s > 0:
                self.workers.record.note("worker_got", worker=self.name, txn=run.txn, key=run.key)
            self._answer(sock, run, hang_s, run_s, result)

    def _answer(self, sock: socket.socket, run: Run, hang_s: float, run_s: float, result: str) -> None:
        time.sleep(hang_s)
        self._send(sock, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._tell(sock, run, state="started")
        end = time.monotonic() + run_s
        while (left := end - time.monotonic()) > 0:
            time.sleep(min(left, self.workers.progress_s))
            if left > self.workers.progress_s:
                self._tell(sock, run, state="running", share=0.5)
        run.took_effect = True
        if hang_s + run_s > 0:
            self.workers.record.note("worker_ran", worker=self.name, txn=run.txn, key=run.key)
        self._tell(sock, run, state="done", result=result)
        self._send(sock, b"0\r\n\r\n")

    def _tell(self, sock: socket.socket, run: Run, **fields: Any) -> None:
        line = json.dumps({"id": run.txn, "from": self.name, **fields}).encode() + b"\n"
        self._send(sock, chunk(line))

    @staticmethod
    def _send(sock: socket.socket, data: bytes) -> None:
        # The dispatcher may have given the attempt up; what has begun goes on.
        with contextlib.suppress(OSError):
            sock.sendall(data)


class Discovery(Server):
    """The agent of discovery on a dispatcher's machine: one list that does not change, and its watch."""

    def __init__(self, entries: list[dict[str, Any]]) -> None:
        """List these entries as generation 1."""
        self.list = {"generation": 1, "reset": True, "instances": entries}
        super().__init__()

    def serve(self, sock: socket.socket) -> None:
        """Answer one call."""
        stream = sock.makefile("rb")
        while (head := read_head(stream)) is not None:
            follows = "follow=1" in head[0]
            whole = json.dumps(self.list).encode()
            if not follows:
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(whole), whole))
                continue
            nothing = {**self.list, "reset": False, "instances": []}
            first = json.dumps(nothing if "since=1" in head[0] else self.list).encode()
            sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(first + b"\n"))
            while self.is_open:
                time.sleep(PULSE_S)
                sock.sendall(chunk(b"\n"))


class Answer:
    """What a client got: `status` 0 means that the connection ended without a whole answer."""

    def __init__(self, status: int, body: bytes, why: str = "") -> None:
        """Take the answer, or why there is none."""
        self.status, self.body, self.why = status, body, why


class Clients:
    """Clients that send one job each on a connection of their own and wait until their time is up."""

    def __init__(self, record: Record, quiet: bool = False) -> None:
        """`quiet`: single jobs are not written to the record."""
        self.record, self.quiet = record, quiet

    def post(  # noqa: PLR0913 - a request has these parts
        self,
        address: tuple[str, int],
        target: str,
        body: bytes,
        key: str,
        remaining_s: float,
        slack_s: float,
        user: str = "",
    ) -> Answer:
        """Send a job and return its answer; a client waits `slack_s` longer than it tells, to be sure."""
        txn = uuid.uuid4().hex[:16]
        lane = target.split("/")[1].split("?")[0]
        if not self.quiet:
            self.record.note("client_sent", to=text_of(address), txn=txn, key=key, path=target[:120])
        head = (
            f"POST {target} HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {txn}\r\nX-Lane: {lane}\r\n"
            f"X-Remaining-Ms: {int(remaining_s * 1000)}\r\nIdempotency-Key: {key}\r\n"
            f"Content-Length: {len(body)}\r\n"
        )
        head += f"Cookie: user={user}\r\n\r\n" if user else "\r\n"
        try:
            with socket.create_connection(address, timeout=remaining_s + slack_s) as sock:
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                sock.sendall(head.encode() + body)
                answer = self._read(sock)
        except TimeoutError:
            answer = Answer(0, b"", "nothing came in its time")
        except OSError as error:
            answer = Answer(0, b"", f"connection ended without an answer: {type(error).__name__}")
        if not self.quiet:
            self.record.note("client_got", txn=txn, key=key, status=answer.status, body=answer.body[:60])
            if answer.why:
                self.record.note("client_got_no_answer", txn=txn, why=answer.why)
        return answer

    @staticmethod
    def _read(sock: socket.socket) -> Answer:
        stream = sock.makefile("rb")
        head = read_head(stream)
        if head is None:
            return Answer(0, b"", "connection closed without an answer")
        length = int(head[1].get("content-length", "0"))
        body = stream.read(length)
        if len(body) < length:
            return Answer(0, b"", "connection closed within the answer")
        return Answer(int(head[0].split(" ")[1]), body)


def settings(dispatchers: int) -> dict[str, Any]:
    """Return settings with the figures of tx-residents: queue types, walltimes, windows, rules."""
    return {
        "balancers": dispatchers,
        "me": 0,
        "stepMs": 4.0,
        "zones": ["dal-1"],
        "kinds": ["std-4"],
        "locality": 0,
        "discovery": "pushed",
        "familyInfo": {"tellsStart": True, "progressMs": 2000},
        "limits": {"maxLaunches": 6, "cancel": True, "parallelTries": False, "mayProbe": False},
        "rules": {
            "coldFrom": 0.3,
            "coldMs": 8700.0,
            "fallMs": 1000.0,
            "fallMultiple": 3.0,
            "stopSendingWithinMs": 1000.0,
        },
        "queueTypes": [
            {
                "name": "balance-view",
                "targetTurnaroundMs": 800.0,
                "walltimeMs": 5000.0,
                "idempotency": "pure",
                "utility": 1.0,
            },
            {
                "name": "rent-post",
                "targetTurnaroundMs": 3500.0,
                "walltimeMs": 15000.0,
                "idempotency": "side_effect",
                "utility": 5.0,
            },
            {
                "name": "work-order",
                "targetTurnaroundMs": 550.0,
                "walltimeMs": 5000.0,
                "idempotency": "token",
                "dedupScope": "zone",
                "windowMs": 7500.0,
                "utility": 3.0,
            },
        ],
    }


class Dispatcher:
    """One dispatcher of the project, started with `run` of the deploy file."""

    def __init__(self, platform: "Platform", name: str, configuration: dict[str, Any]) -> None:
        """Write its configuration; `start` starts it."""
        self.platform, self.name, self.configuration = platform, name, configuration
        host, _, port = configuration["listen"].rpartition(":")
        self.address = host, int(port)
        self.process: subprocess.Popen | None = None
        self.path = platform.folder / f"{name}.json"
        self.path.write_text(json.dumps(configuration))

    def start(self) -> None:
        """Start the process, with a private and empty $TMPDIR."""
        temporary = self.platform.folder / f"tmp-{self.name}-{uuid.uuid4().hex[:8]}"
        temporary.mkdir()
        environment = {"PATH": os.environ.get("PATH", "/usr/bin:/bin"), "TMPDIR": str(temporary)}
        environment |= {"GW_CONFIG": str(self.path), "GW_NAME": self.name}
        with (self.platform.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(  # the command of the deploy file, as the platform starts it
                ["/bin/sh", "-c", self.platform.run_command],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.platform.record.note("dispatcher_started", name=self.name)

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.platform.record.note("signal", name=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    def is_ready(self) -> bool:
        """Return whether the dispatcher says that it is ready."""
        try:
            with socket.create_connection(self.address, timeout=1.0) as sock:
                sock.sendall(b"GET /health/ready HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n")
                return sock.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def wait_ready(self) -> None:
        """Wait until the dispatcher is ready; raise CaseNotRunError if it does not get ready in time."""
        until = time.monotonic() + READY_WITHIN_S
        while not self.is_ready():
            if self.process.poll() is not None:
                raise CaseNotRunError(f"{self.name} ended with status {self.process.returncode}")
            if time.monotonic() > until:
                raise CaseNotRunError(f"{self.name} did not get ready")
            time.sleep(0.02)
        self.platform.record.note("dispatcher_ready", name=self.name)

    def restart_planned(self) -> None:
        """Restart as the platform does: SIGTERM, SIGKILL if it is late, then a new process."""
        self.signal(signal.SIGTERM)
        self.wait_end()
        self.start()
        self.wait_ready()

    def wait_end(self) -> None:
        """Wait for the end after SIGTERM, and kill the process if it is late."""
        try:
            status = self.process.wait(TERM_TO_KILL_S)
        except subprocess.TimeoutExpired:
            self.signal(signal.SIGKILL)
            status = self.process.wait()
        self.platform.record.note("dispatcher_ended", name=self.name, status=status)

    def resident_mb(self) -> float:
        """Return the resident memory of the process, in MB."""
        fields = Path(f"/proc/{self.process.pid}/statm").read_text().split()
        return int(fields[1]) * os.sysconf("SC_PAGE_SIZE") / (1 << 20)

    def log_lines(self, event: str) -> list[dict[str, Any]]:
        """Return the lines of the dispatcher's log with this event."""
        lines = (self.platform.folder / f"{self.name}.log").read_text(errors="replace").splitlines()
        return [json.loads(line) for line in lines if f'"{event}"' in line]


class Platform:
    """The operators' platform: a temporary folder, the deploy file's commands and all processes."""

    def __init__(self, record: Record) -> None:
        """Read the deploy file."""
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        self.run_command = deploy["run"]
        self.dispatchers: list[Dispatcher] = []

    def add(self, name: str, configuration: dict[str, Any]) -> Dispatcher:
        """Add a dispatcher that is not started yet."""
        dispatcher = Dispatcher(self, name, configuration)
        self.dispatchers.append(dispatcher)
        return dispatcher

    def close(self) -> None:
        """End all processes that were started, and remove the folder."""
        for dispatcher in self.dispatchers:
            if dispatcher.process is not None and dispatcher.process.poll() is None:
                dispatcher.process.kill()
                dispatcher.process.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


def fleet_configurations(
    platform: Platform, discovery: Discovery, count: int, keep_ms: int
) -> dict[str, dict[str, Any]]:
    """Return the configurations of dispatchers that hold keys for one another (deploy/fleet/)."""
    names = [f"n{n}" for n in range(count)]
    members = {name: text_of(free_address()) for name in names}
    return {
        name: {
            "name": name,
            "listen": text_of(free_address()),
            "control": text_of(free_address()),
            "discovery": text_of(discovery.address),
            "seed": f"{n + 1:x}",
            "peers": {
                "listen": members[name],
                "members": members,
                "folder": str(platform.folder / f"{name}-fleet"),
                "form": True,
                "registry": "main",
            },
            "repeats": {
                "folder": str(platform.folder / f"{name}-keys"),
                "keep_ms": keep_ms,
                "copies": count,
            },
            "limits": {"sockets": 1024, "memory_mb": 192},
            "settings": settings(count) | {"me": n},
        }
        for n, name in enumerate(names)
    }


def end_case(number: int, frame: Any) -> None:
    """End the case after a signal, so that its processes are ended too."""
    raise CaseNotRunError(f"ended by {signal.Signals(number).name}")


def main(case: Callable[[Record, Platform, bool], int]) -> None:
    """Run a case and exit with its verdict: 0 held, 1 broken, 2 not run. TROUBLE=0 leaves the trouble out."""
    for number in ENDING_SIGNALS:
        signal.signal(number, end_case)
    verdict, record, platform = NOT_RUN, None, None
    try:
        record = Record(Path(sys.argv[1]) / "record.txt")
        trouble = os.environ.get("TROUBLE", "1") != "0"
        record.note("case", trouble=int(trouble))
        platform = Platform(record)
        verdict = case(record, platform, trouble)
    except Exception as error:
        # An error of the script says nothing about the rule.
        if record is not None:
            why = f"{type(error).__name__}: {error}"
            folder = str(platform.folder) if platform is not None else ROOT.as_posix()
            record.note("not_run", why=why.replace(folder, "FOLDER").replace(ROOT.as_posix(), "ROOT"))
    finally:
        for number in ENDING_SIGNALS:
            signal.signal(number, signal.SIG_IGN)
        if platform is not None:
            platform.close()
    if record is not None:
        record.note("verdict", exit=verdict, means={0: "held", 1: "broken", 2: "not run"}[verdict])
    # Threads of clients may still wait for answers that nobody will send.
    os._exit(verdict)
