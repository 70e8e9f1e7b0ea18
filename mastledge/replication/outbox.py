"""Outputs of a node's steps, and messages that wait for the disk."""

from collections import deque

import msgspec

from mastledge.replication.messages import Message
from mastledge.replication.outputs import CaughtUp, JobVerdict, Output, Persist, Send


class _WaitingForDisk(msgspec.Struct, gc=False):
    """Message to send once the records with `token` are on the disk; None: those of the current step."""

    token: int | None
    recipient: str
    content: Message | CaughtUp


class Outbox:
    """Collects outputs in order, and tracks which records are on the disk.

    Messages of a node to itself are no outputs: `take_local` returns them.
    """

    def __init__(self, name: str, synced: bool, token: int, disk_failed: bool):
        """Start empty; `synced` is whether messages wait for the disk, `token` the last one on it."""
        self._name, self._synced = name, synced
        self._last_token = self._persisted_token = token
        self.disk_failed = disk_failed
        self._outputs: list[Output] = []
        self._waiting: deque[_WaitingForDisk] = deque()
        self._local: deque[Message | CaughtUp] = deque()

    @property
    def last_token(self) -> int:
        """Return the token of the records that were handed to the disk last."""
        return self._last_token

    def send(self, recipient: str, message: Message) -> None:
        """Send a message to any dispatcher, including this one."""
        if recipient == self._name:
            self._local.append(message)
        else:
            self._outputs.append(Send(recipient, message))

    def send_once_persisted(self, recipient: str, message: Message) -> None:
        """Send a message once the records of this step are on the disk."""
        if self._synced:
            self._waiting.append(_WaitingForDisk(None, recipient, message))
        else:
            self.send(recipient, message)

    def report(self, verdict: JobVerdict) -> None:
        """Report a verdict on a job to the host."""
        self._outputs.append(verdict)

    def report_caught_up(self, epoch: int) -> None:
        """Report that this replica has caught up, once the records of this step are on the disk."""
        self._waiting.append(_WaitingForDisk(None, self._name, CaughtUp(epoch)))

    def commit_caught_up(self, caught_up: CaughtUp) -> None:
        """Output `caught_up`, whose wait for the disk is over."""
        self._outputs.append(caught_up)

    def take_local(self) -> Message | CaughtUp | None:
        """Return the next message of this node to itself, or None if there is none."""
        return self._local.popleft() if self._local else None

    def end_round(self, records: list[tuple]) -> bool:
        """Hand records to the disk and send what no longer waits; return whether there are local messages."""
        if records and not self.disk_failed:
            self._last_token += 1
            self._outputs.append(Persist(self._last_token, records))
        if self._waiting:
            self._release()
        return bool(self._local)

    def take_outputs(self) -> list[Output]:
        """Return all outputs since the last call."""
        outputs, self._outputs = self._outputs, []
        return outputs

    def persisted(self, token: int) -> None:
        """Note that the records with this token, and all earlier ones, are on the disk."""
        self._persisted_token = max(self._persisted_token, token)

    def fail_disk(self) -> None:
        """Drop messages that wait for the disk, until all records have been rewritten."""
        self.disk_failed = True
        self._waiting.clear()

    def recover_disk(self) -> None:
        """Note that all records have been rewritten to the disk."""
        self.disk_failed, self._persisted_token = False, self._last_token

    def skip_to(self, token: int) -> None:
        """Advance to the token that the host has used for rewriting all records."""
        self._last_token = token

    def _release(self) -> None:
        if self.disk_failed:
            self._waiting.clear()
            return
        for waiting in reversed(self._waiting):
            if waiting.token is not None:
                break
            waiting.token = self._last_token
        # Tokens only grow, so messages whose records are on the disk come first.
        while self._waiting and self._waiting[0].token <= self._persisted_token:
            waiting = self._waiting.popleft()
            self.send(waiting.recipient, waiting.content)
