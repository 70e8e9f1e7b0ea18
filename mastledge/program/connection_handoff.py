"""The connection hand-off: a process that exits passes running jobs to its sibling, with both connections."""

from mastledge.program.handed_off_job import HandedOffJob
from mastledge.transport import descriptor_passing
from mastledge.transport.connection import Connection


class ConnectionHandoff:
    """Hands off running jobs to the process that continues."""

    def __init__(self, loop, log):
        """Create the sending side."""
        self.loop, self.log = loop, log

    def hand_off(self, router, path: str) -> int:
        """Hand off all movable jobs to the process that receives at `path`; return how many."""
        count = 0
        for job in list(router.jobs.values()):
            launch = movable_launch(job)
            if launch is None:
                continue
            try:
                self._send(job.exchange, launch, path)
            except OSError as error:
                self.log("connection_not_handed_off", job=job.exchange.name, why=str(error))
                break
            self._release(router, job, launch)
            count += 1
        return count

    def _send(self, exchange, launch, path):
        message = HandedOffJob(
            exchange.name, exchange.kind, exchange.until, launch.headed, launch.conn.buffer.peek()
        )
        sockets = (exchange.conn.sock, launch.conn.sock)
        descriptor_passing.send_sockets(path, message.encode(), sockets)

    def _release(self, router, job, launch):
        for conn in (job.exchange.conn, launch.conn):
            self.loop.unregister(conn.fd)
        router.job_handed_off(self.loop.now(), job, launch)
        self.loop.cancel(job.exchange.conn.owner)


def movable_launch(job):
    """Return the only running launch of a job if another process can continue it, otherwise None."""
    running = [launch for launch in job.launches if not launch.ended]
    client = job.exchange.conn  # None for a job with an idempotency key, whose answer is stored
    if not job.exchange.open or client is None or len(running) != 1:
        return None
    return running[0] if at_message_boundary(client, running[0]) else None


def at_message_boundary(client: Connection, launch) -> bool:
    """Return whether another process can continue reading: no chunk half read, no data from the client."""
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
