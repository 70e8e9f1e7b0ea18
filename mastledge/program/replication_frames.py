"""Frames of messages about keys on the links between dispatchers: what one says to another in one turn."""

from collections.abc import Callable

import msgspec

from mastledge.replication.messages import AnyMessage, ScanResponse
from mastledge.transport.loop import Task

MARK = b"\xc1"  # begins a frame of this kind: MessagePack, which the consensus speaks, never uses it
MAX_FRAME_BYTES = 1 << 20  # about; a message that is longer goes out alone
MESSAGE_BYTES = 256  # of a message beside its content, roughly


class Frame(msgspec.Struct, array_like=True):
    """Messages from one dispatcher to another; `id` is that of the sender's data directory."""

    id: str
    messages: list[AnyMessage]


encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Frame).decode


def _size_bytes(message: AnyMessage) -> int:
    parts = message.records if isinstance(message, ScanResponse) else (message,)
    return MESSAGE_BYTES + sum(len(part.content) for part in parts if hasattr(part, "content"))


class FrameSender:
    """Collects the messages of one turn of the event loop, and sends them as one frame to each dispatcher."""

    def __init__(self, fleet, wake: Callable[[Task], None]):
        """`fleet.links` sends, where there are links; `wake` is the event loop's."""
        self._fleet, self._wake = fleet, wake
        self._messages: dict[str, list[AnyMessage]] = {}  # by recipient
        self._flush_task: Task | None = None

    def add(self, recipient: str, message: AnyMessage) -> None:
        """Sends a message at the end of this turn."""
        if not self._messages:
            self._wake(self._flush_task)
        self._messages.setdefault(recipient, []).append(message)

    def flush_on(self, task: Task) -> None:
        """`task` is woken when there is something to flush."""
        self._flush_task = task

    def flush(self, directory_id: str) -> None:
        """Sends what was added; without links it is lost, as on a link that is down."""
        messages_to, self._messages = self._messages, {}
        if self._fleet.links is None:
            return
        for recipient, messages in messages_to.items():
            for batch in _batches(messages):
                self._fleet.links.send(recipient, MARK + encode(Frame(directory_id, batch)))


def _batches(messages: list[AnyMessage]) -> list[list[AnyMessage]]:
    """The messages in their order, each batch up to the first one that makes it too long."""
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
