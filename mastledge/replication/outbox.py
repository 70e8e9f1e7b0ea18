"""Outputs of a node's steps, and what has to wait for the disk before it is sent."""

from collections import deque

import msgspec

from mastledge.replication.messages import Message
from mastledge.replication.outputs import CaughtUp, JobVerdict, Output, Persist, Send


class _WaitingForDisk(msgspec.Struct, gc=False):
    """Goes out once the records with this token are on the disk; None for those of the step under way."""

    token: int | None
    recipient: str
    content: Message | CaughtUp


class Outbox:
    """Collects outputs in their order, and knows which records are on the disk.

    Messages of a node to itself do not go out: they are handed back by `take_local`.
    """

    def __init__(self, name: str, synced: bool, token: int, disk_failed: bool):
        """`synced`: whether anything waits for the disk; `token`: the last one that is on it."""
        self._name, self._synced = name, synced
        self._last_token = self._persisted_token = token
        self.disk_failed = disk_failed
        self._outputs: list[Output] = []
        self._waiting: deque[_WaitingForDisk] = deque()
        self._local: deque[Message | CaughtUp] = deque()

    @property
    def last_token(self) -> int:
        """The token of the records that were handed to the disk last."""
        return self._last_token

    def send(self, recipient: str, message: Message) -> None:
        """Sends a message to a dispatcher, this one included."""
        if recipient == self._name:
            self._local.append(message)
        else:
            self._outputs.append(Send(recipient, message))

    def send_once_persisted(self, recipient: str, message: Message) -> None:
        """Sends a message that relies on the records of this step."""
        if self._synced:
            self._waiting.append(_WaitingForDisk(None, recipient, message))
        else:
            self.send(recipient, message)

    def report(self, verdict: JobVerdict) -> None:
        """Tells the host what becomes of a job."""
        self._outputs.append(verdict)

    def caught_up(self, epoch: int) -> None:
        """Has the fleet commit that all records are here, once those of this step are on the disk."""
        self._waiting.append(_WaitingForDisk(None, self._name, CaughtUp(epoch)))

    def commit_caught_up(self, caught_up: CaughtUp) -> None:
        """The turn of what `caught_up` has handed in."""
        self._outputs.append(caught_up)

    def take_local(self) -> Message | CaughtUp | None:
        """The next message of this node to itself; None where there is none."""
        return self._local.popleft() if self._local else None

    def end_round(self, records: list[tuple]) -> bool:
        """Hands records to the disk and sends what is safe by now; whether local messages came of it."""
        if records and not self.disk_failed:
            self._last_token += 1
            self._outputs.append(Persist(self._last_token, records))
        if self._waiting:
            self._release()
        return bool(self._local)

    def take_outputs(self) -> list[Output]:
        """All outputs since the last call."""
        outputs, self._outputs = self._outputs, []
        return outputs

    def persisted(self, token: int) -> None:
        """The records with this token are on the disk."""
        self._persisted_token = max(self._persisted_token, token)

    def fail_disk(self) -> None:
        """Nothing that relies on the disk is sent until all records have been written anew."""
        self.disk_failed = True
        self._waiting.clear()

    def recover_disk(self) -> None:
        """All records have been written anew."""
        self.disk_failed, self._persisted_token = False, self._last_token

    def skip_to(self, token: int) -> None:
        """The host has given a token of its own to the records that it writes anew."""
        self._last_token = token

    def _release(self) -> None:
        if self.disk_failed:
            self._waiting.clear()
            return
        for waiting in reversed(self._waiting):
            if waiting.token is not None:
                break
            waiting.token = self._last_token
        # Tokens only grow, so what is safe stands in front.
        while self._waiting and self._waiting[0].token <= self._persisted_token:
            waiting = self._waiting.popleft()
            self.send(waiting.recipient, waiting.content)
