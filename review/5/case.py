"""A dispatcher that knows many keys stands still as workers are replaced, and answers nobody."""

import json
import socket
import sys
import threading
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

from stand_ins import (  # noqa: E402 - the folder of the stand-ins is added above
    BROKEN,
    HELD,
    PULSE_S,
    Answer,
    Clients,
    Discovery,
    Platform,
    Record,
    Workers,
    chunk,
    free_address,
    main,
    read_head,
    settings,
    text_of,
)

WORKERS, REPLACED = 200, 120  # STANDING.md: up to 200 workers, six in ten are replaced within 7 s
REPLACED_WITHIN_S = 7.0
KEYS = 2200  # haugland-drammen: keys_per_worker 3.8 to 11
WALLTIME_S, SLACK_S = 5.0, 0.55  # status-check, haugland-drammen; half a second late only earns nothing
WARM_UP_THREADS, WARM_UP_EVERY_S = 12, 0.2  # 60 jobs a second: 790 over 13 to 18 dispatchers
USUAL_EVERY_S = 0.1
AFTER_S = 12.0


class ChangingDiscovery(Discovery):
    """The agent of discovery: tells each change on the open watches at once."""

    def __init__(self, entries: list[dict[str, Any]]) -> None:
        """List these entries as generation 1."""
        self.changes: list[list[dict[str, Any]]] = []
        self.changed = threading.Condition()
        super().__init__(entries)

    def change(self, *entries: dict[str, Any]) -> None:
        """Tell that these entries have changed."""
        with self.changed:
            listed = {entry["instanceId"]: entry for entry in [*self.list["instances"], *entries]}
            alive = [entry for entry in listed.values() if entry["lifecycle"] != "gone"]
            self.changes.append(list(entries))
            generation = self.list["generation"] + 1
            self.list = {"generation": generation, "reset": True, "instances": alive}
            self.changed.notify_all()

    def serve(self, sock: socket.socket) -> None:
        """Answer one call."""
        stream = sock.makefile("rb")
        while (head := read_head(stream)) is not None:
            if "follow=1" not in head[0]:
                whole = json.dumps(self.list).encode()
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(whole), whole))
                continue
            sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            told = int(head[0].split("since=")[1].split("&")[0].split(" ")[0])
            while self.is_open:
                with self.changed:
                    self.changed.wait_for(lambda told=told: self.list["generation"] > told, PULSE_S)
                    news = list(enumerate(self.changes[told - 1 :], told + 1))
                for generation, entries in news:
                    line = {"generation": generation, "reset": False, "instances": entries}
                    sock.sendall(chunk(json.dumps(line).encode() + b"\n"))
                    told = generation
                if not news:
                    sock.sendall(chunk(b"\n"))


def settings_of_haugland() -> dict[str, Any]:
    """Return the settings with the figures of haugland-drammen."""
    changed = settings(13)
    changed["familyInfo"] = {"tellsStart": False, "progressMs": 1000}
    changed["limits"] = {"maxLaunches": 3, "cancel": True, "parallelTries": True}
    changed["rules"] |= {"coldFrom": 0.33, "coldMs": 7100.0, "fallMs": 2000.0}
    changed["queueTypes"] = [
        {"name": "status-check", "targetTurnaroundMs": 1000.0, "walltimeMs": 5000.0, "idempotency": "pure"}
    ]
    return changed


class Traffic:
    """Clients with status-checks about one of KEYS objects each."""

    def __init__(self, record: Record, address: tuple[str, int]) -> None:
        """Keep the answers and when their requests were sent."""
        self.record, self.address = record, address
        self.loud, self.quiet = Clients(record), Clients(record, quiet=True)
        self.answers: list[tuple[float, Answer]] = []
        self.next_user, self.lock = 0, threading.Lock()

    def check(self, clients: Clients) -> None:
        """Send one status-check and wait for its answer."""
        with self.lock:
            self.next_user += 1
            user = f"object-{self.next_user % KEYS}"
        sent_at = self.record.now()
        answer = clients.post(self.address, "/status-check/line", b"{}", "k", WALLTIME_S, SLACK_S, user)
        with self.lock:
            self.answers.append((sent_at, answer))

    def warm_up(self) -> None:
        """Ask about each object once."""

        def ask() -> None:
            while self.next_user < KEYS:
                began = time.monotonic()
                self.check(self.quiet)
                time.sleep(max(0.0, began + WARM_UP_EVERY_S - time.monotonic()))

        threads = [threading.Thread(target=ask) for _ in range(WARM_UP_THREADS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def usual(self, until: float) -> list[threading.Thread]:
        """Send ten status-checks a second until then; return the threads that wait for answers."""
        threads = []
        while time.monotonic() < until:
            threads.append(threading.Thread(target=self.check, args=(self.loud,)))
            threads[-1].start()
            time.sleep(USUAL_EVERY_S)
        return threads


def case(record: Record, platform: Platform, trouble: bool) -> int:
    """Replace six in ten workers within seven seconds, and look who gets an answer."""
    workers = Workers(record, WORKERS + REPLACED, lambda run: (0.0, 0.0, "in transit"), 1.0)
    entries = workers.entries()
    discovery = ChangingDiscovery(entries[:WORKERS])
    configuration = {
        "name": "n0",
        "listen": text_of(free_address()),
        "discovery": text_of(discovery.address),
        "seed": "1",
        "limits": {"sockets": 1024, "memory_mb": 192},
        "settings": settings_of_haugland(),
    }
    dispatcher = platform.add("n0", configuration)
    dispatcher.start()
    dispatcher.wait_ready()
    traffic = Traffic(record, dispatcher.address)
    traffic.warm_up()
    record.note("warm", answered=sum(answer.status == 200 for _, answer in traffic.answers))
    traffic.answers.clear()

    def replace() -> None:
        for old, new in zip(entries[:REPLACED], entries[WORKERS:], strict=True):
            born = {"startedAtMs": int(time.time() * 1000)}
            discovery.change(old | {"lifecycle": "gone"})
            discovery.change(new | born)
            time.sleep(REPLACED_WITHIN_S / REPLACED)
        record.note("replaced", workers=REPLACED)

    if trouble:
        threading.Thread(target=replace, daemon=True).start()
    for thread in traffic.usual(time.monotonic() + REPLACED_WITHIN_S + AFTER_S):
        thread.join()
    lost = [sent_at for sent_at, answer in traffic.answers if answer.status == 0]
    record.note("end", sent=len(traffic.answers), lost=len(lost))
    return BROKEN if lost else HELD


if __name__ == "__main__":
    main(case)
