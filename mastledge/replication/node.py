"""One dispatcher's part in the replication of keys, without I/O: `step` takes an input and returns outputs.

A node owns the claims of its jobs (`coordinator`), is a replica of some keys (`replica`), and reads the
records of keys that it becomes a replica of (`catch_up`).
"""

from dataclasses import dataclass

from mastledge.idempotency.key_table import KeyTable
from mastledge.replication.catch_up import CatchUp, ScanServer
from mastledge.replication.coordinator import Coordinator
from mastledge.replication.inputs import (
    ClientLeft,
    DiskFailed,
    DiskRecovered,
    Input,
    JobEnded,
    MessageReceived,
    Offer,
    Persisted,
    PlacementChanged,
    Tick,
)
from mastledge.replication.messages import (
    AnyMessage,
    ClaimKey,
    CompleteKey,
    OwnerQuery,
    OwnerResponse,
    ReadKey,
    ReleaseClaim,
    ReplicaResponse,
    ReplicaResult,
    ScanRequest,
    ScanResponse,
    parse_claim_name,
)
from mastledge.replication.outbox import Outbox
from mastledge.replication.outputs import CaughtUp, Output
from mastledge.replication.placement import Placement
from mastledge.replication.replica import Replica


@dataclass(frozen=True, slots=True)
class NodeOptions:
    """Start options of a node.

    `directory_id` is the id of the data directory, `incarnation` that of this process. Requests of epochs
    below `fence`, which is read from the disk, are refused. Each claim and each retention ends within
    `promise_us` (microseconds). `synced` is whether messages wait for the disk; `token` is the last token
    that was handed to the disk.
    """

    name: str
    directory_id: str
    incarnation: str
    fence: int
    seed: int
    promise_us: int
    synced: bool = True
    token: int = 0
    disk_failed: bool = False


class Node:
    """Processes inputs one by one. Call `step` with a `Tick` no later than `wake_at()`."""

    def __init__(self, options: NodeOptions, table: KeyTable, now: int):
        """Take over `table`, which is restored from the disk; only this node changes it from now on."""
        self.name, self.directory_id, self.fence = options.name, options.directory_id, options.fence
        self.placement = Placement()
        self.directory_ids = {self.name: self.directory_id}  # by dispatcher, as last received
        self._fence_records: list[tuple] = []
        self.outbox = Outbox(self.name, options.synced, options.token, options.disk_failed)
        self.send, self.report = self.outbox.send, self.outbox.report
        self.replica = Replica(table, now)
        self.coordinator = Coordinator(self, self.name, options.incarnation, table.retention_us, options.seed)
        self.catch_up = CatchUp(options, self.replica, self.outbox)
        self.scan_server = ScanServer(self.replica, self.outbox, self.raise_fence)
        self._input_handlers = {
            Tick: self.on_tick,
            Offer: self.coordinator.offer,
            JobEnded: self.coordinator.job_ended,
            ClientLeft: self.coordinator.client_left,
            MessageReceived: self.on_message_received,
            Persisted: self.on_persisted,
            DiskFailed: self.on_disk_failed,
            DiskRecovered: self.on_disk_recovered,
            PlacementChanged: self.on_placement_changed,
        }
        self._message_handlers = {
            ClaimKey: self.on_claim_key,
            CompleteKey: self.on_complete_key,
            ReleaseClaim: self.on_release_claim,
            ReadKey: self.on_read_key,
            ReplicaResponse: self.on_replica_response,
            OwnerQuery: self.on_owner_query,
            OwnerResponse: self.on_owner_response,
            ScanRequest: self.on_scan_request,
            ScanResponse: self.on_scan_response,
            CaughtUp: self.on_caught_up,
        }

    def step(self, now: int, input_: Input) -> list[Output]:
        """Process an input and return the outputs.

        Raise ClaimNameError, without a change, if a message has a malformed claim name.
        """
        self._input_handlers[type(input_)](now, input_)
        self.replica.expire(now)
        self.coordinator.timers.run_due(now)
        self.catch_up.run(now)
        has_local = True
        while has_local:
            while (message := self.outbox.take_local()) is not None:
                self._handle(now, self.name, self.directory_id, message)
            has_local = self.outbox.end_round(self._take_records())
        return self.outbox.take_outputs()

    def wake_at(self) -> int | None:
        """Return when the next `Tick` is due, in microseconds, or None if none is needed."""
        wake_at = self.replica.next_expiry_at()
        for other in (self.coordinator.timers.next_at(), self.catch_up.wake_at()):
            if other is not None and (wake_at is None or other < wake_at):
                wake_at = other
        return wake_at

    def raise_fence(self, epoch: int) -> None:
        """Refuse requests of epochs before `epoch` from now on."""
        if epoch > self.fence:
            self.fence = epoch
            self._fence_records.append(("fence", epoch))

    def _take_records(self) -> list[tuple]:
        records, self._fence_records = self._fence_records, []
        return records + self.replica.table.take_changes()

    # Inputs

    def on_tick(self, now: int, tick: Tick) -> None:
        """Do nothing: each step runs what is due."""

    def on_persisted(self, now: int, persisted: Persisted) -> None:
        """Release the messages that waited for these records."""
        self.outbox.persisted(persisted.token)

    def on_disk_failed(self, now: int, failed: DiskFailed) -> None:
        """Refuse requests that need the disk."""
        self.outbox.fail_disk()

    def on_disk_recovered(self, now: int, recovered: DiskRecovered) -> None:
        """Accept requests again, and repeat the unsent end of a catch-up."""
        self.outbox.recover_disk()
        self.replica.table.take_changes()
        self.catch_up.on_disk_recovered()

    def on_placement_changed(self, now: int, changed: PlacementChanged) -> None:
        """Use the new placement; ignore one of an earlier epoch."""
        placement = Placement(changed.state)
        if placement.epoch < self.placement.epoch:
            return
        self.placement = placement
        self.scan_server.on_placement(placement)
        self.catch_up.on_placement(now, placement)
        self.coordinator.on_placement(now, placement)

    def on_message_received(self, now: int, received: MessageReceived) -> None:
        """Handle a message; raise ClaimNameError first if it has a malformed claim name."""
        _check_claim_names(received.message)
        self.directory_ids[received.sender] = received.directory_id
        self._handle(now, received.sender, received.directory_id, received.message)

    # Messages

    def _handle(self, now: int, sender: str, directory_id: str, message: AnyMessage | CaughtUp) -> None:
        self._message_handlers[type(message)](now, sender, directory_id, message)

    def _refusal(self, epoch: int) -> ReplicaResult | None:
        """Return why requests of this epoch are refused now, or None if they are accepted."""
        if epoch < self.fence:
            return ReplicaResult.STALE_EPOCH
        return ReplicaResult.DISK_FAILED if self.outbox.disk_failed else None

    def on_claim_key(self, now: int, sender: str, directory_id: str, request: ClaimKey) -> None:
        """Answer a claim; a grant is sent once it is on the disk."""
        if (refusal := self._refusal(request.epoch)) is not None:
            self.outbox.send(sender, ReplicaResponse(request.call_id, refusal))
            return
        response = self.replica.claim(now, request)
        if response.result is ReplicaResult.GRANTED:
            self.outbox.send_once_persisted(sender, response)
        else:
            self.outbox.send(sender, response)

    def on_complete_key(self, now: int, sender: str, directory_id: str, request: CompleteKey) -> None:
        """Store an outcome; the acknowledgement is sent once the outcome is on the disk."""
        if (refusal := self._refusal(request.epoch)) is not None:
            self.outbox.send(sender, ReplicaResponse(request.call_id, refusal))
            return
        response = self.replica.complete(now, request)
        if response.result is ReplicaResult.DONE:
            self.outbox.send_once_persisted(sender, response)
        else:
            self.outbox.send(sender, response)

    def on_release_claim(self, now: int, sender: str, directory_id: str, request: ReleaseClaim) -> None:
        """Release a claim; without a working disk send nothing, so the owner retries."""
        if not self.outbox.disk_failed:
            self.outbox.send_once_persisted(sender, self.replica.release(request))

    def on_read_key(self, now: int, sender: str, directory_id: str, request: ReadKey) -> None:
        """Answer a read at once, without waiting for the disk."""
        self.outbox.send(sender, self.replica.read(now, request))

    def on_replica_response(
        self, now: int, sender: str, directory_id: str, response: ReplicaResponse
    ) -> None:
        """Pass a replica's response to the coordinator."""
        self.coordinator.on_replica_response(now, sender, directory_id, response)

    def on_owner_query(self, now: int, sender: str, directory_id: str, query: OwnerQuery) -> None:
        """Pass another dispatcher's query about a claim to the coordinator."""
        self.coordinator.on_owner_query(now, sender, query)

    def on_owner_response(self, now: int, sender: str, directory_id: str, response: OwnerResponse) -> None:
        """Pass the response of another owner to the coordinator."""
        self.coordinator.on_owner_response(now, response)

    def on_scan_request(self, now: int, sender: str, directory_id: str, request: ScanRequest) -> None:
        """Send records to a new replica once the fence is on the disk."""
        if not self.outbox.disk_failed:
            self.scan_server.on_request(now, sender, directory_id, request)

    def on_scan_response(self, now: int, sender: str, directory_id: str, response: ScanResponse) -> None:
        """Pass the records that this replica has requested to its catch-up."""
        if not self.outbox.disk_failed:
            self.catch_up.on_response(now, sender, directory_id, response)

    def on_caught_up(self, now: int, sender: str, directory_id: str, caught_up: CaughtUp) -> None:
        """Report that this replica has caught up; its records are on the disk now."""
        self.outbox.commit_caught_up(caught_up)


def _check_claim_names(message: AnyMessage) -> None:
    """Raise ClaimNameError if a claim name is malformed; a record may have an empty one."""
    if isinstance(message, ScanResponse):
        for record in message.records:
            if record.claim_name:
                parse_claim_name(record.claim_name)
    elif isinstance(message, ClaimKey | CompleteKey | OwnerQuery):
        parse_claim_name(message.claim_name)
