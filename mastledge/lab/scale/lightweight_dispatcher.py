"""Lightweight dispatchers: the program's own consensus and links, without clients, scheduling or a disk.

`python -m mastledge.lab.scale.lightweight_dispatcher FILE` hosts those that the file names,
all on one loop, and ends when its standard input does. A line `leave NAME` has the leader, if it is hosted
here, transfer the leadership to that member.
"""

import json
import os
import sys
from collections.abc import Iterator
from zlib import crc32

import msgspec

from mastledge.consensus import inputs, messages, outputs
from mastledge.consensus.configuration import MemberConfiguration
from mastledge.consensus.persisted_state import PersistedState
from mastledge.consensus.roles import Role
from mastledge.consensus.worker_restrictions import OwnRestrictions
from mastledge.lab.scale.delay import DelayedLinks
from mastledge.lab.scale.host_plans import DispatcherHostPlan
from mastledge.lab.sized import Sized
from mastledge.peers.link_context import LinkIdentity
from mastledge.protocol.discovery import Discovery
from mastledge.transport.budget import Budget
from mastledge.transport.connection import address_of
from mastledge.transport.loop import READ, Loop, Queue

LEAVE = b"leave"
REGISTRY = "scale"
MAX_WATCH_SOCKETS, MAX_WATCH_BYTES = 64, 1 << 24  # of the watch that all of a process share
MIN_WAIT_US = 500  # between two ticks of a member
READ_BYTES = 4096


class LightweightDispatcher:
    """One member on the loop of its process. Its disk is memory: what it persists is there at once."""

    def __init__(self, loop: Loop, name: str, plan: DispatcherHostPlan) -> None:
        """Starts its links and its timer on the loop."""
        self.loop, self.name = loop, name
        state = PersistedState()
        for record in plan.records[name]:
            state.apply(record)
        seed = crc32(f"{plan.seed} {name}".encode())
        configuration = MemberConfiguration(
            name=name,
            members={**plan.voters, name: plan.addresses[name]},
            may_bootstrap=False,
            settings={},
            lease_us=plan.lease_us,
            new_incarnation=f"{name}.{os.getpid()}",
            new_fleet="none",
            seed=seed,
        )
        self.member = Sized(configuration, state.value(), loop.now())
        self.links = DelayedLinks(
            loop,
            self,
            len(plan.addresses),
            seed,
            self.log,
            regions=plan.regions,
            round_trip_us=plan.round_trip_us,
        )
        self.own_restrictions = OwnRestrictions()
        self.links.start(address_of(plan.addresses[name]))
        self.timer = loop.spawn(self.tick(), first=True)

    def log(self, event: str, **fields) -> None:
        """Nobody reads the log of a lightweight dispatcher."""

    def link_identity(self) -> LinkIdentity:
        """Who this is, for the handshakes of its links."""
        return LinkIdentity(self.member.fleet, self.name, self.member.incarnation)

    def member_address(self, name: str) -> tuple[str, int] | None:
        """Where a member listens, None where that is not known."""
        text = self.member.address_of(name)
        return None if text is None else address_of(text)

    def frame_received(self, name: str, life: str, content: bytes) -> None:
        """A link hands over one message of another member."""
        self.handle(inputs.MessageReceived(name, life, messages.decode(content)))

    def tick(self) -> Iterator[tuple[int, int, int]]:
        """The coroutine that wakes the member when it asks for it."""
        self.handle(inputs.Tick())
        while True:
            yield (-1, 0, max(self.member.wake_at(), self.loop.now() + MIN_WAIT_US))
            if self.loop.now() >= self.member.wake_at():
                self.handle(inputs.Tick())

    def handle(self, received: inputs.Input) -> None:
        """Hands one input to the member, and carries out its outputs."""
        wake_before_us, due = self.member.wake_at(), [received]
        while due:
            for output in self.member.step(self.loop.now(), due.pop(0)):
                if isinstance(output, outputs.Send):
                    self.links.send(output.to, messages.encode(output.message))
                elif isinstance(output, outputs.Persist | outputs.Rewrite):
                    due.append(inputs.Persisted(output.token))
        if not isinstance(received, inputs.Tick) and self.member.wake_at() < wake_before_us:
            self.loop.wake(self.timer)

    def endpoints_listed(self, kind: str, entries: list[tuple], generation: int) -> None:
        """Passes an endpoint list on to the member, as a whole dispatcher does."""
        self.handle(inputs.EndpointListUpdate(REGISTRY, kind, entries, generation))
        if self.own_restrictions.update(kind, entries, generation):
            self.handle(inputs.ShareRestrictions(self.own_restrictions.to_message(REGISTRY)))

    def transfer_leadership(self, successor: str) -> None:
        """If it leads, it has the named member stand for election, as a leader does that ends."""
        if self.member.role == Role.LEADER:
            self.links.send(successor, messages.encode(messages.TimeoutNow(self.member.term)))


def follow_commands(loop: Loop, hosted: list[LightweightDispatcher]) -> Iterator[tuple]:
    """The coroutine that follows standard input to its end, which is the end of this process."""
    descriptor, rest = sys.stdin.fileno(), b""
    os.set_blocking(descriptor, False)
    while True:
        yield (descriptor, READ, None)
        received = os.read(descriptor, READ_BYTES)
        if not received:
            loop.running = False
            return
        *lines, rest = (rest + received).split(b"\n")
        for line in lines:
            command, _, name = line.partition(b" ")
            for dispatcher in hosted if command == LEAVE else ():
                dispatcher.transfer_leadership(name.decode())


def follow_discovery(loop: Loop, address: str, hosted: list[LightweightDispatcher]) -> None:
    """One watch on the list, read once and handed to each that is hosted, as if it had one of its own."""
    inbox = Queue(loop)
    words = {"zones": [], "kinds": [], "unix_now": 0, "asked": False}
    budget = Budget(MAX_WATCH_SOCKETS, MAX_WATCH_BYTES)
    discovery = Discovery(loop, budget, inbox, address_of(address), words, hosted[0].log)

    def hand_out():
        inbox.reader = task
        while True:
            while inbox.items:
                kind, entries = inbox.items.popleft()
                brief = [(entry[0], entry[3]) for entry in entries]
                for dispatcher in hosted:
                    dispatcher.endpoints_listed(kind, brief, discovery.generation)
            yield from inbox.wait(None)

    task = loop.spawn(hand_out())
    discovery.follow()


def main(path: str) -> int:
    """Hosts the dispatchers of the plan in that file; the process's status, 1 after an error."""
    with open(path, "rb") as file:
        plan = msgspec.json.decode(file.read(), type=DispatcherHostPlan)
    errors = []
    loop = Loop(errors.append)
    hosted = [LightweightDispatcher(loop, name, plan) for name in plan.hosted]
    loop.spawn(follow_commands(loop, hosted))
    follow_discovery(loop, plan.discovery, hosted)
    print(json.dumps({"hosted": len(hosted)}), flush=True)
    while loop.running and not errors:
        loop.run_once()
    if errors:
        print(f"{type(errors[0]).__name__}: {errors[0]}", file=sys.stderr)
    return 1 if errors else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
