"""A job as the process that exits hands it off: offered, then released (`handed_off_job.py`)."""

import os
import socket
from collections.abc import Sequence

from mastledge.program.handed_off_job import ACCEPTED, HandedOffJob, HandedOffJobError, JobOffer, JobRelease
from mastledge.transport import descriptor_channel
from mastledge.transport.errors import ChannelClosedError, ChannelResetError, IncompleteMessageError
from mastledge.transport.loop import Loop


class OpenOffer:
    """An offer that was sent to the sibling process; `accepted_at` is None until it has accepted."""

    __slots__ = ("job", "launch", "channel", "file", "accepted_at")

    def __init__(self, job, launch, channel: descriptor_channel.DescriptorChannel, file: int):
        """Create an offer that is not accepted; `file` is the descriptor of the file for unparsed bytes."""
        self.job, self.launch, self.channel, self.file = job, launch, channel, file
        self.accepted_at: int | None = None

    def check_reply(self, now: int) -> bool:
        """Return whether the offer is accepted; raise TransportError or HandedOffJobError if refused."""
        if self.accepted_at is None and (received := self.channel.receive(0)) is not None:
            if received[0] != ACCEPTED:
                raise HandedOffJobError(f"unknown reply: {received[0][:40]!r}")
            self.accepted_at = now
        return self.accepted_at is not None

    def is_over(self) -> bool:
        """Return whether the job or the launch has ended in this process."""
        return self.launch.ended or not self.job.exchange.open

    def release(self) -> "ReleasedJob":
        """Release the job to the sibling process, with the unparsed bytes of the answer.

        Raise OSError if that fails; the job then stays in this process. The returned job owns the channel.
        """
        exchange, headed, rest = self.job.exchange, self.launch.headed, self.launch.conn.buffer.peek()
        descriptor_channel.write_memory_file(self.file, rest)
        sockets = [conn.sock.dup() for conn in (exchange.conn, self.launch.conn)]
        try:
            self.channel.send(JobRelease(headed).encode())
        except OSError:
            for sock in sockets:
                sock.close()
            raise
        os.close(self.file)
        job = HandedOffJob(exchange.name, exchange.kind, exchange.until, headed, rest)
        return ReleasedJob(job, sockets, self.channel)

    def close(self) -> None:
        """Close the channel and the file, which withdraws an offer that was not released."""
        self.channel.close()
        os.close(self.file)


class ReleasedJob:
    """A job that was released; the sibling process may not have read the release yet."""

    __slots__ = ("job", "sockets", "_channel")

    def __init__(
        self,
        job: HandedOffJob,
        sockets: Sequence[socket.socket],
        channel: descriptor_channel.DescriptorChannel,
    ):
        """Take ownership of duplicates of the job's sockets and of its channel."""
        self.job, self.sockets, self._channel = job, sockets, channel

    def is_confirmed(self) -> bool:
        """Return whether the sibling has the job; raise ChannelResetError if it will never have it."""
        try:
            self._channel.receive(0)
        except ChannelResetError:
            raise
        except ChannelClosedError:
            return True
        except IncompleteMessageError:
            pass  # the sibling is alive, as it has sent a message
        return False

    def close(self, keep_sockets: bool = False) -> None:
        """Close the channel and, unless they are kept, the sockets."""
        self._channel.close()
        if not keep_sockets:
            for sock in self.sockets:
                sock.close()


def send_offer(loop: Loop, job, launch, path: str) -> OpenOffer:
    """Offer a job to the process that listens at `path`.

    Raise OSError, as `open_channel`, if none listens or no descriptor is left.
    """
    exchange = job.exchange
    channel = descriptor_channel.open_channel(loop, path)
    try:
        file = descriptor_channel.create_memory_file()
    except OSError:
        channel.close()
        raise
    offer = OpenOffer(job, launch, channel, file)
    try:
        message = JobOffer(exchange.name, exchange.kind, exchange.until).encode()
        channel.send(message, (exchange.conn.fd, launch.conn.fd, file))
    except OSError:
        offer.close()
        raise
    return offer
