"""Jobs that outlast a process are handed on to the one beside it, with both of their connections.

Nothing is decided about them there: what does not end well is killed, as it would have been.
"""

import base64
import binascii

import h11
import orjson

from mastledge.protocol import http
from mastledge.protocol.requests import Exchange
from mastledge.protocol.worker_connections import WorkerConnections
from mastledge.transport import descriptor_passing
from mastledge.transport.connection import Connection
from mastledge.transport.errors import WaitTimeoutError
from mastledge.transport.loop import READ

EARLY = 20_000  # before the time by which the client is told; the old process had its own margin
A_TURN = 16


class Carried:
    """What the workers' edge needs of a launch."""

    __slots__ = ("name", "sent", "conn", "headed")

    def __init__(self, name):
        self.name, self.sent, self.conn, self.headed = name, True, None, False


class Nowhere:
    """In place of the queue of the decisions, which know nothing of these jobs."""

    def put(self, *item):
        pass


class ConnectionHandoff:
    def __init__(self, loop, budget, door, settings, log):
        self.loop, self.budget, self.listener, self.log = loop, budget, door, log
        self.workers, self.sock, self.exchanges = (
            WorkerConnections(loop, budget, Nowhere(), settings, log),
            None,
            set(),
        )

    # In the process that ends

    def hand_on(self, router, path):
        """Hands on what stands at a clear place; how many."""
        count = 0
        for job in list(router.jobs.values()):
            live = [launch for launch in job.launches if not launch.ended]
            client = job.exchange.conn  # none where a key is kept: what it came to is told to whoever asks
            if not job.exchange.open or client is None or len(live) != 1 or not clear(client, live[0]):
                continue
            exchange, launch = job.exchange, live[0]
            raw = orjson.dumps(
                {
                    "name": exchange.name,
                    "kind": exchange.kind,
                    "until": exchange.until,
                    "headed": launch.headed,
                    "rest": base64.b64encode(launch.conn.buffer.peek()).decode(),
                }
            )
            try:
                descriptor_passing.send_sockets(path, raw, (exchange.conn.sock, launch.conn.sock))
            except OSError as error:
                self.log("connection_not_handed_off", job=exchange.name, why=str(error))
                break
            for conn in (exchange.conn, launch.conn):
                self.loop.unregister(conn.fd)
            router.handed_on(self.loop.now(), job, launch)
            self.loop.cancel(exchange.conn.owner)
            count += 1
        return count

    # In the process that goes on

    def listen(self, path):
        try:
            self.sock = descriptor_passing.open_receiver(path)
        except OSError as error:
            # A folder whose path is too long for it, say: what outlasts the old process is killed with it.
            self.log("handoff_disabled", why=str(error))
            return
        while True:
            yield (self.sock.fileno(), READ, None)
            for _ in range(A_TURN):
                got = descriptor_passing.receive_sockets(self.sock, 2)
                if got is None:
                    break
                self.take_up(*got)

    def take_up(self, raw, socks):
        try:
            told = http.loads(raw)
            exchange, launch = Exchange(), Carried(told["name"])
            exchange.name, exchange.kind, exchange.until = told["name"], told["kind"], told["until"] - EARLY
            headed, rest = bool(told["headed"]), base64.b64decode(told["rest"])
        except (ValueError, KeyError, TypeError, binascii.Error) as error:
            self.log("connection_not_received", why=f"{type(error).__name__}: {error}")
            for one in socks:
                one.close()
            return
        ends = []
        try:
            for one, kind, role in zip(socks, ("clients", "workers"), (h11.SERVER, h11.CLIENT), strict=True):
                ends.append(self.attached(one, kind, role))
        except OSError as error:
            self.log("connection_not_received", why=str(error))
            for one in (*ends, *socks):
                one.close()
            return
        client, launch.conn = ends
        launch.headed = headed
        http.resume(client, launch.conn, headed)
        launch.conn.buffer.append(rest)
        self.exchanges.add(exchange)
        client.owner = self.loop.spawn(self.listener.resumed(client, exchange))
        task = self.loop.spawn(self.carried(launch, exchange))
        exchange.answer = lambda *answer: self.loop.wake(client.owner, answer)
        exchange.job = task
        self.log("connection_received", job=exchange.name)

    def attached(self, sock, kind, role):
        # Beyond the budget for a moment, but the process that hands it on closes its own at once.
        conn = http.attach(Connection(self.loop, sock, self.budget, kind), role)
        self.budget.used[kind] += 1
        return conn

    def carried(self, launch, exchange):
        conn = launch.conn
        try:
            how, result, _ = yield from self.workers.outcome(conn, launch, exchange.until)
        except (OSError, WaitTimeoutError, ValueError, http.TooLarge, h11.RemoteProtocolError) as error:
            how, result = str(error) or type(error).__name__, None
        finally:
            conn.close()
            self.exchanges.discard(exchange)
        self.log("handed_off_launch_ended", job=exchange.name, how=how)
        if how == "completed":
            exchange.completed(result)
        else:
            exchange.killed()

    def over(self):
        """This process has to end as well."""
        for exchange in list(self.exchanges):
            exchange.killed()
            self.loop.cancel(exchange.job)


def clear(client, launch):
    """Whether another process can go on reading here: nothing half read, nothing unread from the client."""
    worker = launch.conn
    return (
        launch.sent
        and worker is not None
        and worker.fd >= 0
        and client.fd >= 0
        and worker.at_chunk_end
        and worker.http.trailing_data == client.http.trailing_data == (b"", False)
        and client.is_quiet()
    )
