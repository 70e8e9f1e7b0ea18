"""Case 2: a job whose answer comes in pieces is dropped, with its client, by an upgrade's hand-over."""

import signal
import subprocess
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
import stand

RESULT = b"statement line " * 2400  # 36,000 bytes: a body may hold 64 KiB
PIECE_BYTES, PIECES_EVERY_S = 600, 0.12  # the answer comes in pieces, for about 7 s
JOBS = 4
KILL_AFTER_S = 3.7  # the longest deadline (3 s at most) and 0.7 s more after SIGTERM
WALLTIME_MS = 15_000  # given up after 15 s, as `rent-post`
QUEUE_TYPE = {
    "name": "rent-post",
    "targetTurnaroundMs": 1000.0,
    "walltimeMs": 15_000.0,
    "idempotency": "side_effect",
}


def job(conn, name, headers, body):
    """Run one job: tell the start, and write the last line in pieces, a chunk each."""
    conn.sendall(stand.HEAD + stand.chunk(stand.line(id=name, **{"from": "w0"}, state="started")))
    last = stand.line(id=name, **{"from": "w0"}, state="done", result=RESULT.decode())
    for at in range(0, len(last), PIECE_BYTES):
        conn.sendall(stand.chunk(last[at : at + PIECE_BYTES]))
        time.sleep(PIECES_EVERY_S)
    conn.sendall(stand.END)


def client(record, sock, name, answers):
    """Wait for one answer, for as long as the job may take."""
    answer = stand.read_answer(sock, WALLTIME_MS / 1000 + 0.5)
    record(f"client of {name} got {answer}")
    answers[name] = answer


def case(record, dispatchers, trouble):
    """Send some jobs; with trouble the dispatcher is upgraded while their answers come."""
    discovery, worker = stand.Discovery(), stand.Worker("w0", job, record)
    discovery.list_worker("w0", worker.address)
    listen, controls = (
        f"{stand.HERE}:{stand.free_port()}",
        [f"{stand.HERE}:{stand.free_port()}" for _ in "ab"],
    )
    config = {
        "name": "n0",
        "listen": listen,
        "discovery": discovery.address,
        "seed": "1",
        "limits": {"sockets": 1024, "memory_mb": 256},
        "settings": stand.settings([QUEUE_TYPE]),
    }
    shared = dispatchers.folder / "tmp"
    old = dispatchers.start("old", config | {"control": controls[0]}, shared)
    stand.wait_ready(controls[0], "/api/ready")
    answers, threads = {}, []
    for number in range(JOBS):
        sock = stand.connect(listen)
        stand.send_job(sock, "/rent-post", f"job{number}", WALLTIME_MS)
        record(f"client sends job{number}")
        threads.append(threading.Thread(target=client, args=(record, sock, f"job{number}", answers)))
        threads[-1].start()
    if trouble:
        dispatchers.start("new", config | {"control": controls[1]}, shared)
        stand.wait_ready(controls[1], "/api/ready", 6)
        record("the new process says that it is ready")
        dispatchers.signal(old, signal.SIGTERM)
        try:
            record(f"the old process ended with status {old.wait(KILL_AFTER_S)}")
        except subprocess.TimeoutExpired:
            dispatchers.signal(old, signal.SIGKILL)
    for thread in threads:
        thread.join()
    return verdict(record, worker, answers)


def verdict(record, worker, answers):
    """Return whether each job has one final answer, and its own result if it was served."""
    lost = [name for name, answer in answers.items() if not answer.status]
    wrong = [name for name, answer in answers.items() if answer.status == 200 and answer.body != RESULT]
    record(f"jobs sent {JOBS}, begun {len(worker.began)}, with no answer {lost}, with a wrong result {wrong}")
    if len(worker.began) < JOBS or len(answers) < JOBS:
        raise RuntimeError("not all jobs were begun and waited for")
    return stand.BROKEN if lost or wrong else stand.HELD


stand.main(case, sys.argv[1])
