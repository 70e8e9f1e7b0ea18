"""Stand-ins for discovery, workers and clients, and the start of real dispatchers. Standard library only."""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HERE = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2
LONGEST_RUN_S = 115  # a script runs for 120 s at most
HEARTBEAT_S = 2.0  # the protocol page: an empty line every 2 s on a watch without a change


def run_command() -> str:
    """Return the command `run` of the deploy file."""
    return tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path) -> None:
        """Begin a new file."""
        self.file, self.began, self.lock = path.open("w"), time.monotonic(), threading.Lock()

    def __call__(self, text: str) -> None:
        """Write one line."""
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
            self.file.flush()


GIVEN_PORTS: set[int] = set()


def free_port() -> int:
    """Return a port that was free just now, and another one at each call; the system picks it."""
    while True:
        with socket.socket() as sock:
            sock.bind((HERE, 0))
            port = sock.getsockname()[1]
        if port not in GIVEN_PORTS:
            GIVEN_PORTS.add(port)
            return port


def read_request(sock: socket.socket, rest: bytes = b"") -> tuple[bytes, dict[str, str], bytes, bytes] | None:
    """Return (request line, headers, body, bytes behind it), or None when the other side has closed."""
    while b"\r\n\r\n" not in rest:
        data = sock.recv(65536)
        if not data:
            return None
        rest += data
    head, _, rest = rest.partition(b"\r\n\r\n")
    first, *lines = head.split(b"\r\n")
    pairs = (line.decode("latin-1").partition(":") for line in lines)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    length = int(headers.get("content-length", "0"))
    while len(rest) < length:
        data = sock.recv(65536)
        if not data:
            return None
        rest += data
    return first, headers, rest[:length], rest[length:]


def chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def line(**fields: object) -> bytes:
    """Return one JSON line."""
    return json.dumps(fields).encode() + b"\n"


class Server:
    """A TCP server with a thread for each connection."""

    def __init__(self, port: int = 0) -> None:
        """Listen on a loopback address and serve at once."""
        self.sock = socket.create_server((HERE, port), backlog=256)
        self.address = "{}:{}".format(*self.sock.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                conn, _ = self.sock.accept()
            except OSError:
                return
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn: socket.socket) -> None:
        with conn, contextlib.suppress(OSError):
            self.serve(conn)

    def serve(self, conn: socket.socket) -> None:
        """Serve one connection."""
        raise NotImplementedError


class Discovery(Server):
    """Discovery of the protocol page: the whole list, and a watch that pushes changes."""

    def __init__(self) -> None:
        """Begin with an empty list."""
        self.generation, self.entries, self.changed = 1, {}, threading.Condition()
        self.log: list[tuple[int, dict]] = []
        super().__init__()

    def list_worker(self, name: str, address: str, state: str = "ready", **more: object) -> None:
        """Put a worker into the list, or change it."""
        entry = {
            "instanceId": name,
            "hostPort": address,
            "zone": "a",
            "machineType": "m",
            "cell": 1,
            "lifecycle": state,
            "weight": 1.0,
            "startedAtMs": 0,
        }
        with self.changed:
            self.generation += 1
            self.entries[name] = entry | more
            self.log.append((self.generation, self.entries[name]))
            self.changed.notify_all()

    def serve(self, conn: socket.socket) -> None:
        """Answer one call."""
        request = read_request(conn)
        if request is None:
            return
        target = request[0].split()[1].decode()
        if "follow=1" not in target:
            with self.changed:
                body = self._message(True, list(self.entries.values()))
            conn.sendall(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n" % len(body) + body
            )
            return
        since = int(target.partition("since=")[2].partition("&")[0] or 0)
        conn.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while True:
            with self.changed:
                if self.generation <= since:
                    self.changed.wait(HEARTBEAT_S)
                if self.generation <= since:
                    data = b"\n"
                else:
                    data = self._message(False, [entry for at, entry in self.log if at > since])
                    since = self.generation
            conn.sendall(chunk(data))

    def _message(self, reset: bool, entries: list[dict]) -> bytes:
        return line(generation=self.generation, reset=reset, instances=entries)


class Worker(Server):
    """A worker: `job(conn, id, headers, body)` writes the whole answer, and returns when it has ended."""

    def __init__(self, name: str, job, record: Record) -> None:
        """Listen at once."""
        self.name, self.job, self.record = name, job, record
        self.began: list[tuple[str, str]] = []  # (id, key) of each request that was begun
        super().__init__()

    def began_with(self, first: bytes, name: str) -> None:
        """Take the request line of a request that begins."""

    def serve(self, conn: socket.socket) -> None:
        """Serve the requests of one connection."""
        rest = b""
        while (request := read_request(conn, rest)) is not None:
            first, headers, body, rest = request
            name = headers.get("x-txn", "")
            if not first.startswith(b"POST") or not name:
                conn.sendall(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                continue
            self.began.append((name, headers.get("idempotency-key", "")))
            self.began_with(first, name)
            self.record(f"worker {self.name} begins {name} ({first.decode('latin-1')})")
            if self.job(conn, name, headers, body) is False:
                return


HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
END = b"0\r\n\r\n"


class Dispatchers:
    """Starts dispatchers with the command of the deploy file, and ends them."""

    def __init__(self, folder: Path, record: Record) -> None:
        """Keep files in `folder`."""
        self.folder, self.record, self.processes = folder, record, []

    def start(self, name: str, config: dict, tmpdir: Path) -> subprocess.Popen:
        """Start one dispatcher; its log goes to NAME.log in the folder."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(config))
        tmpdir.mkdir(exist_ok=True)
        environment = {**os.environ, "GW_CONFIG": str(path), "TMPDIR": str(tmpdir)}
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                ["/bin/sh", "-c", run_command()], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.processes.append(process)
        self.record(f"platform starts {name} (process {process.pid})")
        return process

    def signal(self, process: subprocess.Popen, number: int) -> None:
        """Send a signal and record it."""
        self.record(f"platform sends {signal.Signals(number).name} to process {process.pid}")
        process.send_signal(number)

    def end(self) -> None:
        """End all processes that are left."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()


def http_call(address: str, method: str, path: str, timeout: float = 1.0) -> int:
    """Return the status of one call, 0 if there was no answer."""
    host, _, port = address.partition(":")
    try:
        with socket.create_connection((host, int(port)), timeout) as sock:
            sock.sendall(f"{method} {path} HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n".encode())
            sock.settimeout(timeout)
            data = sock.recv(65536)
    except OSError:
        return 0
    return int(data.split()[1]) if data.startswith(b"HTTP/1.1 ") else 0


def wait_ready(address: str, path: str = "/health/ready", seconds: float = 15.0) -> None:
    """Wait until a dispatcher says that it is ready; raise TimeoutError."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if http_call(address, "GET", path) == 200:
            return
        time.sleep(0.02)
    raise TimeoutError(f"{address} is not ready after {seconds} s")


class Answer:
    """What a client got: a status and a body, or status 0 and the reason."""

    def __init__(self, status: int, body: bytes, why: str = "", close: bool = False) -> None:
        """Take the fields; `close`: the dispatcher closes the connection behind the answer."""
        self.status, self.body, self.why, self.close = status, body, why, close

    def __str__(self) -> str:
        """Return a short text for the record."""
        return f"{self.status}, {len(self.body)} bytes" if self.status else f"no answer: {self.why}"


def send_job(
    sock: socket.socket, target: str, name: str, ms: int, body: bytes = b"{}", **headers: str
) -> None:
    """Write one job on an open connection."""
    lane = target[1:].partition("/")[0].partition("?")[0]
    fields = {"Host": "service.internal", "X-Txn": name, "X-Lane": lane, "X-Remaining-Ms": str(ms)}
    fields |= {key.replace("_", "-"): value for key, value in headers.items()}
    fields["Content-Length"] = str(len(body))
    head = "".join(f"{key}: {value}\r\n" for key, value in fields.items())
    sock.sendall(f"POST {target} HTTP/1.1\r\n{head}\r\n".encode() + body)


def read_answer(sock: socket.socket, seconds: float) -> Answer:
    """Read one whole answer."""
    until, data = time.monotonic() + seconds, b""
    try:
        while True:
            head, end, rest = data.partition(b"\r\n\r\n")
            if end:
                lines = [each.partition(b":") for each in head.split(b"\r\n")[1:]]
                fields = {key.strip().lower(): value.strip() for key, _, value in lines}
                length = int(fields.get(b"content-length", b"0"))
                if len(rest) >= length:
                    return Answer(
                        int(head.split()[1]), rest[:length], close=fields.get(b"connection") == b"close"
                    )
            sock.settimeout(max(0.001, until - time.monotonic()))
            more = sock.recv(65536)
            if not more:
                return Answer(0, b"", f"the dispatcher closed the connection after {len(data)} bytes")
            data += more
    except TimeoutError:
        return Answer(0, b"", f"nothing whole within {seconds} s")
    except OSError as error:
        return Answer(0, b"", f"the connection broke: {error}")


def connect(address: str) -> socket.socket:
    """Return a client's connection."""
    host, _, port = address.partition(":")
    return socket.create_connection((host, int(port)), 2)


def settings(queue_types: list[dict], **more: object) -> dict:
    """Return settings like those of a small deployment."""
    return {
        "balancers": 1,
        "me": 0,
        "stepMs": 4.0,
        "discovery": "pushed",
        "zones": ["a"],
        "kinds": ["m"],
        "familyInfo": {"tellsStart": True, "progressMs": 1000},
        "limits": {"maxLaunches": 5, "cancel": True, "retryAfter": True, "maxRetryAfterMs": 1000.0},
        "rules": {
            "coldFrom": 0.3,
            "coldMs": 8000.0,
            "fallMs": 1000.0,
            "fallMultiple": 3.0,
            "stopSendingWithinMs": 1000.0,
        },
        "queueTypes": queue_types,
    } | more


class EndedError(Exception):
    """The script was told to end, or ran for too long."""


def end_on_signal(number: int, frame: object) -> None:
    """Raise EndedError in the main thread, so that all processes are ended."""
    raise EndedError(signal.Signals(number).name)


def main(case, folder: str) -> None:
    """Run `case(record, dispatchers, trouble)`, and exit with its status; 2 if it could not run."""
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGALRM):
        signal.signal(number, end_on_signal)
    signal.alarm(LONGEST_RUN_S)
    record = Record(Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble: {trouble}")
    status = NOT_RUN
    try:
        with tempfile.TemporaryDirectory(prefix="case-") as temporary:
            dispatchers = Dispatchers(Path(temporary), record)
            try:
                status = case(record, dispatchers, trouble)
            finally:
                dispatchers.end()
                for log in sorted(Path(temporary).glob("*.log")):
                    for text in log.read_text(errors="replace").splitlines():
                        if any(word in text for word in INTERESTING):
                            record(f"log of {log.stem}: {text[:1500]}")
    except Exception as error:
        # Whatever stops a script is no broken rule.
        status = NOT_RUN
        record(f"the case could not run: {type(error).__name__}: {error}")
    record(f"exit status {status}")
    sys.stdout.write(f"exit status {status}\n")
    sys.stdout.flush()
    os._exit(status)


INTERESTING = (
    "phase",
    "handed",
    "connection_",
    "successor",
    "internal_error",
    "configuration_",
    "launch_ended",
    "answer_late",
    "other_process",
    "idempotency",
    "replica",
)
