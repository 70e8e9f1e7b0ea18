"""Frames that carry the replication messages of one turn of the event loop over the links."""

from collections.abc import Callable

import msgspec

from mastledge.replication.messages import AnyMessage, ScanResponse
from mastledge.transport.loop import Task

MARK = b"\xc1"  # starts a replication frame; no MessagePack message of the consensus begins with this byte
MAX_FRAME_BYTES = 1 << 20  # approximate; the message that exceeds it ends the frame
MESSAGE_OVERHEAD_BYTES = 256  # approximate size of a message without its content


class Frame(msgspec.Struct, array_like=True):
    """Messages from one dispatcher to another; `id` is the id of the sender's data directory."""

    id: str
    messages: list[AnyMessage]


encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Frame).decode


def _size_bytes(message: AnyMessage) -> int:
    parts = message.records if isinstance(message, ScanResponse) else (message,)
    return MESSAGE_OVERHEAD_BYTES + sum(len(part.content) for part in parts if hasattr(part, "content"))


class FrameSender:
    """Collects the messages of one turn of the event loop, and sends them in frames to each dispatcher."""

    def __init__(self, fleet, wake: Callable[[Task], None]):
        """Take the fleet, whose links send the frames, and `wake` of the event loop."""
        self._fleet, self._wake = fleet, wake
        self._messages: dict[str, list[AnyMessage]] = {}  # by recipient
        self._flush_task: Task | None = None

    def add(self, recipient: str, message: AnyMessage) -> None:
        """Add a message that is sent at the end of this turn."""
        if not self._messages:
            self._wake(self._flush_task)
        self._messages.setdefault(recipient, []).append(message)

    def flush_on(self, task: Task) -> None:
        """Set the task that is woken when there are messages to flush."""
        self._flush_task = task

    def flush(self, directory_id: str) -> None:
        """Send the added messages; they are lost if there are no links, as on a link that is down."""
        messages_to, self._messages = self._messages, {}
        if self._fleet.links is None:
            return
        for recipient, messages in messages_to.items():
            for batch in _batches(messages):
                self._fleet.links.send(recipient, MARK + encode(Frame(directory_id, batch)))


def _batches(messages: list[AnyMessage]) -> list[list[AnyMessage]]:
    """Split the messages in order; a batch ends with the message that exceeds the frame size."""
    batches, batch, size_bytes = [], [], 0
    for message in messages:
        batch.append(message)
        size_bytes += _size_bytes(message)
        if size_bytes > MAX_FRAME_BYTES:
            batches.append(batch)
            batch, size_bytes = [], 0
    if batch:
        batches.append(batch)
    return batches
