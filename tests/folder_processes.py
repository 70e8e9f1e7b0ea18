"""Run a dispatcher process on given data directories, with stub workers and a stub discovery server.

Nothing is imported from the package: the process is started by its command line and called over HTTP, so
that the tests of stored data don't depend on names in the package.
"""

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

COMMAND = [sys.executable, "-B", "-m", "mastledge", "serve", "--config"]
ROOT = Path(__file__).resolve().parent.parent

KINDS = ("agreement", "repeats", "copies", "recovery")
"""One fixture each; its folders are named after parts of the configuration."""

DISPATCHER = "n0"
WORKERS = ("w0", "w1")
RESTRICTED = "w1"
"""The worker that an operator excluded (agreement) or that is draining in the newest list (recovery)."""

FILE_TYPE, AGREED_TYPE = "render", "report"
"""The queue type of the configuration file, and one that only the committed settings have."""

PATCHED_UTILITY = 0.25
"""The `excessUtility` of the newest committed settings; the configuration file has none."""

ANSWERED_KEY, OPEN_KEY, BODY = "key-answered", "key-open", b"the body"
"""Keys of a job that was answered, and of one that ran when its dispatcher was killed."""

STORED_GENERATION = 7
"""Generation of the endpoint list in the recovery folder."""

KEEP_MS = 100 * 365 * 24 * 3600 * 1000
"""Retention of a hundred years, so that the keys in the fixtures have not expired."""

WALLTIME_MS = 600_000.0
WAIT_S = 20.0
POLL_INTERVAL_S = 0.02

_pid = os.getpid()
# As helpers.HERE: concurrent runs must use different addresses.
HOST = f"127.{64 + (_pid >> 16) % 64}.{_pid >> 8 & 255}.{_pid & 255}"


def settings():
    """Return the settings of the configuration file."""
    return {
        "balancers": 1,
        "me": 0,
        "stepMs": 4.0,
        "discovery": "pushed",
        "kinds": ["m"],
        "zones": ["a"],
        "familyInfo": {"tellsStart": True, "progressMs": 0},
        "limits": {"maxLaunches": 5, "cancel": True, "retryAfter": True, "maxRetryAfterMs": 1000.0},
        "rules": {
            "coldFrom": 1.0,
            "coldMs": 1.0,
            "fallMs": 1000.0,
            "fallMultiple": 3.0,
            "stopSendingWithinMs": 1000.0,
        },
        "queueTypes": [queue_type(FILE_TYPE)],
    }


def queue_type(name):
    return {
        "name": name,
        "targetTurnaroundMs": 1000.0,
        "walltimeMs": WALLTIME_MS,
        "idempotency": "side_effect",
    }


def wait_until(condition, description):
    """Return the first true value of `condition()`; raise AssertionError after WAIT_S seconds."""
    last = time.monotonic() + WAIT_S
    while not (value := condition()):
        assert time.monotonic() < last, f"not true within {WAIT_S:.0f} s: {description}"
        time.sleep(POLL_INTERVAL_S)
    return value


class Server(ThreadingHTTPServer):
    """A stub server on a free port, served by daemon threads."""

    daemon_threads = True

    def __init__(self, handler):
        super().__init__((HOST, 0), handler)
        self.ending = threading.Event()
        threading.Thread(target=self.serve_forever, args=(POLL_INTERVAL_S,), daemon=True).start()

    def handle_error(self, request, client_address):
        """Ignore errors, as a killed dispatcher leaves broken connections."""

    def end(self):
        self.ending.set()
        self.shutdown()
        self.server_close()


class WorkerHandler(BaseHTTPRequestHandler):
    """Answers each job at once, but a job with OPEN_KEY only when the server ends."""

    protocol_version = "HTTP/1.1"

    def log_message(self, *args):
        pass

    def do_POST(self):
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        key, job = self.headers.get("Idempotency-Key", ""), self.headers["X-Txn"]
        self.server.ran.append((key, job))
        if key == OPEN_KEY:
            self.server.ending.wait()
            return
        content = json.dumps({"id": job, "state": "done", "result": f"result of {job}"}).encode() + b"\n"
        self.send_response(200)
        self.send_header("Content-Length", str(len(content)))
        self.end_headers()
        self.wfile.write(content)


class Worker(Server):
    """A stub worker; `ran` holds (key, job) of each job that it got."""

    def __init__(self, name):
        super().__init__(WorkerHandler)
        self.name, self.ran, self.lifecycle = name, [], "ready"

    def entry(self):
        """Return the entry of this worker in the endpoint list."""
        return {
            "instanceId": self.name,
            "hostPort": f"{HOST}:{self.server_port}",
            "zone": "a",
            "machineType": "m",
            "cell": 0,
            "lifecycle": self.lifecycle,
            "weight": 1.0,
            "startedAtMs": 0,
        }


class DiscoveryHandler(BaseHTTPRequestHandler):
    """Answers a poll with the whole list, and sends it to a watch whenever its generation changes."""

    protocol_version = "HTTP/1.1"

    def log_message(self, *args):
        pass

    def do_GET(self):
        if "follow=1" not in self.path:
            content = self.server.list()
            self.send_response(200)
            self.send_header("Content-Length", str(len(content)))
            self.end_headers()
            self.wfile.write(content)
            return
        self.send_response(200)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        sent_generation = int(self.path.rpartition("since=")[2])
        while not self.server.ending.wait(POLL_INTERVAL_S):
            # An empty line is the heartbeat of the watch.
            changed = self.server.generation != sent_generation
            sent_generation = self.server.generation
            line = (self.server.list() if changed else b"") + b"\n"
            self.wfile.write(b"%x\r\n%s\r\n" % (len(line), line))


class Discovery(Server):
    def __init__(self, workers, generation):
        super().__init__(DiscoveryHandler)
        self.workers, self.generation = workers, generation

    def list(self):
        head = {"generation": self.generation, "reset": True}
        return json.dumps({**head, "instances": [worker.entry() for worker in self.workers]}).encode()


class Site:
    """One dispatcher process on folders below `place`, two stub workers and a stub discovery server."""

    def __init__(self, place, kind, generation=1):
        self.place, self.kind = Path(place), kind
        self.workers = [Worker(name) for name in WORKERS]
        self.discovery = Discovery(self.workers, generation)
        self.reserved, self.process, self.jobs = [], None, 0
        self.listen, self.control, self.peers = self.free(), self.free(), self.free()

    def free(self):
        """Return a free address, which stays bound here so that no other process gets it."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((HOST, 0))
        self.reserved.append(sock)
        return f"{HOST}:{sock.getsockname()[1]}"

    def worker(self, name):
        return self.workers[WORKERS.index(name)]

    def registry(self):
        """Return the default name of the registry, which is the address of discovery."""
        return f"{HOST}:{self.discovery.server_port}"

    def configuration(self, form):
        """Return the configuration; `form` allows the dispatcher to form a new fleet if none is stored."""
        document = {
            "name": DISPATCHER,
            "listen": self.listen,
            "control": self.control,
            "discovery": self.registry(),
            "seed": "8c1f",
            "settings": settings(),
            "limits": {"sockets": 128, "memory_mb": 64},
        }
        if self.kind in ("agreement", "copies"):
            document["peers"] = {
                "listen": self.peers,
                "members": {DISPATCHER: self.peers},
                "folder": str(self.place / "peers"),
                "form": form,
                "lease_ms": 500,
            }
        if self.kind in ("repeats", "copies"):
            document["repeats"] = {
                "folder": str(self.place / "repeats"),
                "keep_ms": KEEP_MS,
                "copies": 3 if self.kind == "copies" else 1,
            }
        if self.kind == "recovery":
            document["recovery"] = {
                "folder": str(self.place / "recovery"),
                "open_ms": 100,
                "list_ms": 600_000,
            }
        return document

    def start(self, form=False):
        """Start the process and wait until it is ready."""
        config, temporary = self.place / "config.json", self.place / "tmp"
        temporary.mkdir(parents=True, exist_ok=True)
        config.write_text(json.dumps(self.configuration(form)))
        env = {**os.environ, "TMPDIR": str(temporary), "PYTHONPATH": str(ROOT)}
        with open(self.place / "log", "ab") as log:
            self.process = subprocess.Popen([*COMMAND, str(config)], stderr=log, env=env, cwd=ROOT)
        wait_until(self.ready, "the dispatcher is ready")

    def ready(self):
        exit_code = self.process.poll()
        assert (
            exit_code is None
        ), f"the dispatcher exited with {exit_code}: {(self.place / 'log').read_text()[-2000:]}"
        try:
            return self.call("GET", "/api/ready")[0] == 200
        except OSError:
            return False

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def end(self):
        """Stop the process and the stub servers, and release the reserved addresses."""
        if self.process is not None and self.process.poll() is None:
            self.process.terminate()
            try:
                self.process.wait(WAIT_S)
            except subprocess.TimeoutExpired:
                self.kill()
        for server in (*self.workers, self.discovery):
            server.end()
        for sock in self.reserved:
            sock.close()

    def request(self, address, method, path, body=b"", headers=None):
        """Return (status, headers, content) of one request on a new connection."""
        host, _, port = address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=WAIT_S)
        try:
            connection.request(method, path, body, headers or {})
            response = connection.getresponse()
            return response.status, response.headers, response.read()
        finally:
            connection.close()

    def call(self, method, path, body=b"", headers=None):
        """Send an operator call to the control address."""
        return self.request(self.control, method, path, body, headers)

    def get_json(self, path):
        """Return the decoded JSON of an operator call."""
        status, _, content = self.call("GET", path)
        assert status == 200, content
        return json.loads(content)

    def job(self, key="", kind=FILE_TYPE, body=BODY):
        """Send a job, without a key if `key` is empty; return (status, content)."""
        self.jobs += 1
        headers = {"X-Txn": f"{self.kind}-{self.jobs}", **({"Idempotency-Key": key} if key else {})}
        status, _, content = self.request(self.listen, "POST", f"/{kind}", body, headers)
        return status, content

    def served(self, count):
        """Send `count` jobs, all of which must succeed, and return how many each worker has run."""
        before = [len(worker.ran) for worker in self.workers]
        for _ in range(count):
            status, content = self.job()
            assert status == 200, (status, content)
        return {worker.name: len(worker.ran) - ran for worker, ran in zip(self.workers, before, strict=True)}
