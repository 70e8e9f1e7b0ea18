"""Workers: connections to them, and what becomes of a launch on one."""

import h11

from mastledge.protocol import http
from mastledge.transport.connection import connect
from mastledge.transport.errors import OutOfDescriptorsError, WaitTimeoutError
from mastledge.transport.loop import READ, WRITE

RETIRED = 0.7  # of the time after which a worker may close an idle connection; a launch must not cross that
REFUSED = 2_000  # beside a round trip, in which a connection that is dead already breaks at what is written
BREAKS = 1 / 64  # of the launches on connections that stood idle; above, run-once jobs get new ones
GAIN = 1 / 32
TAIL = 1_000_000  # for the end of an answer whose last line has come
REPORTED = {
    "inflight": "outstanding",
    "queue": "backlog",
    "util": "busy",
    "utilization": "busy",
    "latency_ms": "recent_ms",
    "eps": "errors_per_s",
    "x0": "free_slots",
    "x1": "free_memory",
}
NOT_TOLD = -1.0  # no figure of a report is below nothing


class Withheld(Exception):
    """Not all of it was sent, as the rules by which that was decided may no longer hold."""


class Left(Exception):
    """Not all of it was sent, as nobody waits for the answer any more."""


class WorkerEndpoint:
    """A worker as sockets know it: its address and the idle connections to it. Decisions name it by this."""

    __slots__ = ("id", "address", "idle", "born", "state", "out")

    def __init__(self, wkr_id, out=False):
        self.id, self.address, self.idle, self.born, self.state = wkr_id, None, [], 0, "ready"
        self.out = out  # by hand

    def life(self):
        """What a launch was decided for: the list may tell of another one while its connection comes up."""
        return self.state, self.address, self.born

    def __str__(self):
        # Dispatchers agree on homes for keys by this, so it must be the same at all of them.
        return self.id


class WorkerConnections:
    def __init__(self, loop, budget, inbox, settings, log):
        self.loop, self.budget, self.inbox, self.log = loop, budget, inbox, log
        self.breaks, self.tries = 0.0, 0
        self.rule = None  # where dispatchers agree: whether a launch may still be sent
        self.configure(settings)

    def configure(self, settings):
        self.connect_timeout = settings["connect_timeout"]
        self.keep = int(settings["conn_idle"] * RETIRED)
        self.fields = settings["report_fields"]
        self.patience = max(self.connect_timeout, 100_000)

    # Idle connections

    def taken(self, peer, once):
        """The connection used last: the others get old and go."""
        if once and self.breaks > BREAKS:
            # Some break at the last byte, too late to tell that nothing ran. In time they are tried again.
            self.breaks -= GAIN / 2 * self.breaks
            return None
        while peer.idle:
            conn, task = peer.idle.pop()
            self.budget.remove_idle("workers", conn)
            conn.owner = None
            self.loop.cancel(task)
            if conn.is_quiet():
                return conn
            conn.close()
        return None

    def kept(self, peer, conn, life):
        if peer.out or life != peer.life() or not conn.is_quiet():
            conn.close()
            return
        conn.buffer.clear()
        conn.owner, conn.reused, conn.at_chunk_end = peer, True, True
        task = self.loop.spawn(self.watch(peer, conn, self.loop.now() + self.keep))
        peer.idle.append((conn, task))
        self.budget.add_idle("workers", conn, lambda: self.dropped(peer, conn))

    def watch(self, peer, conn, until):
        try:
            yield (conn.fd, READ, until)
        finally:
            if conn.owner is peer:
                self.forgotten(peer, conn)

    def forgotten(self, peer, conn):
        conn.owner = None
        peer.idle = [pair for pair in peer.idle if pair[0] is not conn]
        self.budget.remove_idle("workers", conn)
        conn.close()

    def dropped(self, peer, conn):
        task = next(task for known, task in peer.idle if known is conn)
        self.forgotten(peer, conn)
        self.loop.cancel(task)
        return True

    def hang_up(self, peer):
        for conn, _ in list(peer.idle):
            self.dropped(peer, conn)

    # Launches

    def launch(self, peer, launch, exchange, until):
        """Runs a launch, of which it uses `name`, `sent` and `send_by`, the last time for its last byte.

        Tells what is heard of it, and one `ended`.
        """
        conn = result = None
        report, whole, life = (), False, peer.life()
        try:
            conn, how = yield from self.sent(peer, launch, exchange, until)
            if conn is not None:
                launch.conn = conn
                try:
                    stood = conn.reused
                    how, result, report = yield from self.outcome(conn, launch, until)
                    if how in ("turned away", "returned"):
                        named = how == "returned"
                        proof = (named or not stood) and (yield from self.ended_alone(conn, named, until))
                        how = "full" if proof else "doubted"
                        if not proof:
                            self.log("rejection_doubted", worker=peer.id, kept=stood)
                    whole = how in ("completed", "error", "full")
                except WaitTimeoutError:
                    how = "timeout"
                except (OSError, h11.RemoteProtocolError) as error:
                    # One that stood idle may long have ended at the other side, in good health or not.
                    how = "dropped" if conn.reused else "lost"
                    self.held(conn, False)
                    self.log(
                        "worker_connection_broken",
                        worker=peer.id,
                        how=how,
                        why=str(error) or type(error).__name__,
                    )
                except (ValueError, http.TooLarge) as error:
                    self.log("worker_answer_malformed", worker=peer.id, why=str(error))
                    how = "error"
            if conn is not None and not whole:
                # Still out for its worker until the connection ends, and the job may go elsewhere at once.
                conn.close()
            self.inbox.put("ended", launch, how, result, report)
            if whole and (yield from self.ended_well(conn)):
                kept, conn = conn, None
                self.kept(peer, kept, life)
        finally:
            if conn is not None:
                conn.close()

    def sent(self, peer, launch, exchange, until):
        """The connection on which the whole request was written, or None and how the launch ended."""
        loop, conn, done, life = self.loop, self.taken(peer, exchange.once), False, peer.life()
        fresh, send_by = conn is None, launch.send_by
        try:
            if fresh:
                before = min(send_by, loop.now() + self.connect_timeout)
                conn = yield from connect(loop, self.budget, "workers", peer.address, before)
                http.attach(conn, h11.CLIENT)
            left = max(1, (until - loop.now()) // 1000)
            headers = [
                (b"host", b"%s:%d" % (peer.address[0].encode(), peer.address[1])),
                *exchange.headers,
                (b"x-remaining-ms", b"%d" % left),
                (b"content-length", b"%d" % len(exchange.body)),
            ]
            content = http.request(conn, exchange.method, exchange.target, headers, exchange.body)
            if life != peer.life():
                # A drain counts from its news, and a new life takes less: both hold for the first byte.
                self.log("launch_withheld", worker=peer.id)
                raise Withheld
            if exchange.once:
                # No worker begins before the last byte, and what broke before it may be launched again.
                yield from self.sent_lawfully(conn, peer, content[:-1], send_by, exchange)
                if not (yield from conn.stays_quiet(REFUSED)):
                    raise OSError("broke before the last byte")
                content = content[-1:]
            yield from self.sent_lawfully(conn, peer, content, send_by, exchange)
            launch.sent = done = True
            self.tries += 1
            return conn, None
        except Withheld:
            return None, "unsent"
        except Left:
            # Its connection tells that as well, but where the loop is busy not before this one is up.
            self.inbox.put("left", exchange)
            return None, "unsent"
        except OutOfDescriptorsError:
            self.log("out_of_descriptors", worker=peer.id)
            return None, "unsent"
        except (OSError, WaitTimeoutError) as error:
            # Not all of it was written, so it cannot have run. That a connection which stood idle breaks,
            # or that the job's time was too short to connect, says nothing of the worker.
            self.log("launch_not_sent", worker=peer.id, why=str(error) or "timed out")
            if conn is not None and loop.now() < send_by:
                self.held(conn, False)
            if not fresh or loop.now() >= send_by:
                return None, "unsent"
            # What stands idle to a machine that takes no connection would only swallow the next launch.
            self.hang_up(peer)
            return None, "unreachable"
        finally:
            if conn is not None and not done:
                conn.close()

    def sent_lawfully(self, conn, peer, content, until, exchange=None):
        """Asks again at each write: this process may have been stopped for seconds since the last one."""
        while content:
            if self.loop.now() >= until:
                raise WaitTimeoutError
            if self.rule is not None and not self.rule.may_act(self.loop.now()) or peer.out:
                self.log("launch_withheld", worker=peer.id)
                raise Withheld
            if exchange is not None and exchange.left():
                raise Left
            try:
                content = content[conn.sock.send(content) :]
            except BlockingIOError:
                if not (yield (conn.fd, WRITE, until)):
                    raise WaitTimeoutError from None

    def held(self, conn, well):
        """How often connections that stood idle break at the next launch."""
        if conn.reused:
            conn.reused = False
            self.breaks += GAIN * ((not well) - self.breaks)

    def ended_well(self, conn):
        try:
            until = self.loop.now() + TAIL
            while conn.http.their_state is h11.SEND_BODY:
                yield from http.event(conn, until)
            # Bytes beyond the answer belong to nothing that was asked.
            return conn.http.trailing_data == (b"", False) and http.again(conn.http)
        except (OSError, WaitTimeoutError, h11.RemoteProtocolError):
            return False

    def ended_alone(self, conn, named, until):
        """Whether an answer is whole and the only one: else it is no proof that its job never ran."""
        until = min(until, self.loop.now() + TAIL)
        try:
            if conn.buffer.peek().strip():
                return False
            while conn.http.their_state is h11.SEND_BODY:
                got = yield from http.event(conn, until)
                if named and isinstance(got, h11.Data) and got.data.strip():
                    return False
            return conn.http.trailing_data[0] == b""
        except (OSError, WaitTimeoutError, h11.RemoteProtocolError):
            return False

    def outcome(self, conn, launch, until):
        """How the launch ended, its result and the load report that came with it.

        A head names no job: on a connection that has carried another one it may be a second answer to that,
        come late, while this launch runs. A line names its job.
        """
        report, begun = (), False
        while not launch.headed:
            try:
                head = yield from http.head(conn, min(until, self.loop.now() + self.patience))
            except WaitTimeoutError:
                # A worker tells at once that it has taken a job, also where that has to wait there.
                if self.loop.now() >= until:
                    raise
                self.inbox.put("silent", launch)
                continue
            self.held(conn, True)
            fields, launch.headed = dict(head.headers), True
            # Only between two chunks it is known from outside how far the parser is.
            conn.at_chunk_end = fields.get(b"transfer-encoding") == b"chunked"
            report = self.report(fields.get(b"x-pressure", b""))
            if head.status_code != 200:
                says = [value for name, value in head.headers if name == b"x-turned-away"]
                unseen = head.status_code in (503, 504) and says == [b"1"]
                return "turned away" if unseen else "error", None, report
        job_id = launch.name
        while True:
            line = yield from http.lines(conn, until)
            if line is None:
                return "lost", None, report
            if not line.strip():
                continue
            told = http.loads(line)
            state = told.get("state")
            if told.get("id") != job_id:
                raise ValueError(f"news of another job: {line[:80]!r}")
            if state == "returned" and begun:
                raise ValueError("returned unstarted, behind its start")
            begun = begun or state in ("started", "running")
            if state == "started":
                self.inbox.put("started", launch)
            elif state == "running":
                share = told.get("share")
                if isinstance(share, int | float):
                    self.inbox.put("progress", launch, share)
            elif state == "done":
                result = told.get("result")
                if not isinstance(result, str):
                    raise ValueError(f"no result: {line[:80]!r}")
                return "completed", result.encode(), self.loaded(told, report)
            elif state in ("failed", "returned", "lost"):
                how = {"failed": "error", "returned": "returned", "lost": "lost"}[state]
                return how, None, self.loaded(told, report)
            else:
                raise ValueError(f"unknown state: {line[:80]!r}")

    def report(self, text):
        pairs = (pair.partition(b"=") for pair in text.removeprefix(b"TEXT ").split(b","))
        try:
            return self.ordered({name.strip().decode(): float(value) for name, _, value in pairs if value})
        except ValueError:
            return ()

    def loaded(self, told, report):
        load = told.get("load")
        return self.ordered(load) if isinstance(load, dict) else report

    def ordered(self, load):
        named = {
            REPORTED.get(name, name): float(value)
            for name, value in load.items()
            if isinstance(value, int | float)
        }
        return tuple(named.get(name, NOT_TOLD) for name in self.fields) if named else ()
