"""The connection hand-off: a process that exits passes running jobs to its sibling, with both connections.

A job stays in this process, which answers it, until it is released; the sibling has to accept it before
that (`handed_off_job.py`).
"""

import socket
from collections.abc import Callable, Sequence

from mastledge.program.handed_off_job import MAX_DATAGRAM_BYTES, HandedOffJob, HandedOffJobError
from mastledge.program.job_offers import OpenOffer, ReleasedJob, send_offer
from mastledge.transport import descriptor_passing
from mastledge.transport.connection import Connection
from mastledge.transport.errors import ChannelResetError, TransportError

# Offers open at a time: each needs two more descriptors here, a channel and a file. The least number fits
# into those that the budget reserves.
MIN_OPEN_OFFERS, MAX_OPEN_OFFERS = 4, 16
DESCRIPTORS_PER_OPEN_OFFER = 2
RETRY_US = 100_000  # before a job is offered again
MAX_UNMOVABLE_US = 50_000  # after it was accepted; an offer that waits for long would keep others waiting
NOT_ACCEPTED = "the other process has not accepted in time"
UNMOVABLE = "a chunk of the answer is partly read, or the client has sent data"
ENDED_BEFORE_REPLY = "the job ended before the other process replied"


class ConnectionHandoff:
    """Hands off the running jobs of a process that exits to its sibling, which continues them."""

    def __init__(
        self, loop, budget, continue_job: Callable[[HandedOffJob, Sequence[socket.socket]], None], log
    ):
        """Create the sending side.

        `budget` limits the offers that are open at a time; `continue_job` finishes a job in this process that
        the sibling has not taken after its release.
        """
        self.loop, self.budget, self.log = loop, budget, log
        self._continue_job = continue_job
        self._offers: dict[int, OpenOffer] = {}  # by job id
        self._unconfirmed: list[ReleasedJob] = []
        self._retry_at: dict[int, int] = {}  # by the id of a job that could not be handed off

    def hand_off(self, router, offers_path: str, datagrams_path: str) -> int:
        """Release the jobs that the sibling process has accepted, and offer others; return how many released.

        It listens at `offers_path`, or, in versions without offers, receives at `datagrams_path`. The caller
        repeats the call: a reply takes some time, and only a few offers are open at a time.
        """
        count = self._release_accepted(router)
        for job in self._jobs_to_offer(router):
            launch = movable_launch(job)
            if launch is None:
                continue
            try:
                self._offers[job.id] = send_offer(self.loop, job, launch, offers_path)
            except BlockingIOError:
                break
            except (FileNotFoundError, ConnectionRefusedError):
                return count + self.hand_off_by_datagram(router, datagrams_path)
            except OSError as error:
                self._keep(job, str(error))
                break
            if not self._may_offer():
                break
        return count

    def has_open_offers(self) -> bool:
        """Return whether the sibling process has offers that were neither released nor withdrawn."""
        return bool(self._offers)

    def has_unconfirmed(self) -> bool:
        """Return whether the sibling process may have died before it read the release of a job."""
        return bool(self._unconfirmed)

    def confirm_released(self) -> None:
        """Drop the released jobs that the sibling process has, and take back those it will not have."""
        unconfirmed, self._unconfirmed = self._unconfirmed, []
        for released in unconfirmed:
            try:
                if released.is_confirmed():
                    released.close()
                else:
                    self._unconfirmed.append(released)
            except ChannelResetError as error:
                self.log("connection_not_handed_off", job=released.job.name, why=str(error))
                released.close(keep_sockets=True)
                self._continue_job(released.job, released.sockets)

    def withdraw(self) -> None:
        """Withdraw all open offers: their jobs end here. Released jobs are left to the sibling."""
        self.confirm_released()
        for released in self._unconfirmed:
            released.close()
        self._unconfirmed = []
        for offer in list(self._offers.values()):
            self._close(offer, NOT_ACCEPTED if offer.accepted_at is None else UNMOVABLE)

    def _jobs_to_offer(self, router):
        if not self._may_offer():
            return []
        return self._jobs_to_try(router)

    def _jobs_to_try(self, router):
        """Return the jobs that are not offered and have not failed to be handed off just now."""
        now = self.loop.now()
        return [
            job
            for job in router.jobs.values()
            if job.id not in self._offers and self._retry_at.get(job.id, now) <= now
        ]

    def _may_offer(self):
        affordable = self.budget.unused_connections() // DESCRIPTORS_PER_OPEN_OFFER
        max_open = max(MIN_OPEN_OFFERS, min(MAX_OPEN_OFFERS, affordable))
        return len(self._offers) + len(self._unconfirmed) < max_open

    def _release_accepted(self, router):
        """Release the jobs that were accepted and can be moved now; return how many."""
        return sum(self._release_if_accepted(router, offer) for offer in list(self._offers.values()))

    def _release_if_accepted(self, router, offer):
        """Release the job of an offer if it was accepted and can be moved now; return whether it was."""
        now = self.loop.now()
        try:
            accepted = offer.check_reply(now)
            if offer.is_over():
                self._close(offer, None if accepted else ENDED_BEFORE_REPLY)
            elif accepted and movable_launch(offer.job) is offer.launch:
                self._unconfirmed.append(offer.release())
                del self._offers[offer.job.id]
                self._release(router, offer.job, offer.launch)
                return True
            elif accepted and now >= offer.accepted_at + MAX_UNMOVABLE_US:
                self._close(offer, UNMOVABLE)
        except (OSError, TransportError, HandedOffJobError) as error:
            self._close(offer, str(error))
        return False

    def _close(self, offer, reason=None):
        del self._offers[offer.job.id]
        offer.close()
        if reason is not None:
            self._keep(offer.job, reason)

    def _keep(self, job, reason):
        """Keep a job for now; log the reason the first time."""
        if job.id not in self._retry_at:
            self.log("connection_not_handed_off", job=job.exchange.name, why=reason)
        self._retry_at[job.id] = self.loop.now() + RETRY_US

    def _release(self, router, job, launch):
        for conn in (job.exchange.conn, launch.conn):
            self.loop.unregister(conn.fd)
        router.job_handed_off(self.loop.now(), job, launch)
        self.loop.cancel(job.exchange.conn.owner)

    # To versions without offers

    def hand_off_by_datagram(self, router, path: str) -> int:
        """Hand off all movable jobs to the process that receives at `path`; return how many.

        Such a process does not reply, so each job is released at once. One whose datagram would be cut stays.
        """
        count = 0
        for job in self._jobs_to_try(router):
            launch = movable_launch(job)
            if launch is None:
                continue
            message = self._datagram(job.exchange, launch)
            if len(message) > MAX_DATAGRAM_BYTES:
                self._keep(job, f"its datagram has {len(message)} bytes, over {MAX_DATAGRAM_BYTES}")
                continue
            try:
                sockets = (job.exchange.conn.sock, launch.conn.sock)
                descriptor_passing.send_sockets(path, message, sockets)
            except BlockingIOError:
                break
            except OSError as error:
                self._keep(job, str(error))
                break
            self._release(router, job, launch)
            count += 1
        return count

    def _datagram(self, exchange, launch):
        rest = launch.conn.buffer.peek()
        return HandedOffJob(exchange.name, exchange.kind, exchange.until, launch.headed, rest).encode()


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
