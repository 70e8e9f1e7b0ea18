"""Hollow dispatchers: the program's own agreement and links, without clients, decisions or a disk.

`python -m mastledge.lab.scale.hollow FILE` hosts those that the file names, all on one loop, and ends
when its standard input does. A line `leave NAME` has the one of them that leads hand the lead to that member.
"""

import json
import os
import sys
from copy import deepcopy
from zlib import crc32

from mastledge.consensus import inputs, messages, outputs
from mastledge.consensus.configuration import MemberConfiguration
from mastledge.consensus.persisted_state import PersistedState
from mastledge.consensus.roles import Role
from mastledge.consensus.worker_restrictions import OwnRestrictions
from mastledge.lab.scale.delay import DelayedLinks
from mastledge.lab.sized_fleets import FixedVotersMember
from mastledge.peers.link_context import LinkIdentity
from mastledge.protocol.discovery import Discovery
from mastledge.transport.budget import Budget
from mastledge.transport.connection import address_of
from mastledge.transport.loop import READ, Loop, Queue

LEAVE = b"leave"
REGISTRY = "scale"
SOCKETS, MEMORY = 64, 1 << 24  # of the watch that all of a process share


class HollowDispatcher:
    """One member on the loop of its process. Its disk is memory: what it saves is there at once."""

    def __init__(self, loop, name, told):
        self.loop, self.name = loop, name
        kept = PersistedState()
        for record in deepcopy(told["records"][name]):
            kept.apply(record)
        seed = crc32(f"{told['seed']} {name}".encode())
        now = loop.now()
        configuration = MemberConfiguration(
            name=name,
            members={**told["listed"], name: told["addresses"][name]},
            may_bootstrap=False,
            settings={},
            lease_us=told["lease"],
            new_incarnation=f"{name}.{os.getpid()}",
            new_fleet="none",
            seed=seed,
        )
        self.member = FixedVotersMember(configuration, kept.value(), now)
        self.links = DelayedLinks(
            loop,
            self,
            len(told["addresses"]),
            seed,
            self.log,
            regions=told["regions"],
            round_trip=told["round_trip"],
        )
        self.own_restrictions = OwnRestrictions()
        self.links.start(address_of(told["addresses"][name]))
        self.timer = loop.spawn(self.timed(), first=True)

    def log(self, event, **fields):
        """Nobody reads the log of a hollow dispatcher."""

    def link_identity(self):
        return LinkIdentity(self.member.fleet, self.name, self.member.incarnation)

    def member_address(self, name):
        text = self.member.address_of(name)
        return None if text is None else address_of(text)

    def frame_received(self, name, life, content):
        self.input(inputs.MessageReceived(name, life, messages.decode(content)))

    def timed(self):
        self.input(inputs.Tick())
        while True:
            yield (-1, 0, max(self.member.wake_at(), self.loop.now() + 500))
            if self.loop.now() >= self.member.wake_at():
                self.input(inputs.Tick())

    def input(self, input):
        wake_before, due = self.member.wake_at(), [input]
        while due:
            for output in self.member.step(self.loop.now(), due.pop(0)):
                if isinstance(output, outputs.Send):
                    self.links.send(output.to, messages.encode(output.message))
                elif isinstance(output, outputs.Persist | outputs.Rewrite):
                    due.append(inputs.Persisted(output.token))
        if not isinstance(input, inputs.Tick) and self.member.wake_at() < wake_before:
            self.loop.wake(self.timer)

    def listed(self, kind, entries, generation):
        """As `Fleet.listed`: the list is passed on as a whole dispatcher does it."""
        self.input(inputs.EndpointListUpdate(REGISTRY, kind, entries, generation))
        if self.own_restrictions.update(kind, entries, generation):
            self.input(inputs.ShareRestrictions(self.own_restrictions.to_message(REGISTRY)))

    def leave(self, successor):
        """Hands the lead on, as a leader that ends does, but to a member that is named."""
        if self.member.role == Role.LEADER:
            self.links.send(successor, messages.encode(messages.TimeoutNow(self.member.term)))


def commands(loop, hosted):
    """Follows standard input to its end, which is the end of this process."""
    fd, held = sys.stdin.fileno(), b""
    os.set_blocking(fd, False)
    while True:
        yield (fd, READ, None)
        got = os.read(fd, 4096)
        if not got:
            loop.running = False
            return
        *lines, held = (held + got).split(b"\n")
        for line in lines:
            word, _, name = line.partition(b" ")
            for one in hosted if word == LEAVE else ():
                one.leave(name.decode())


def followed(loop, address, hosted):
    """One watch on the list, read once and told to each that is hosted, as if it had one of its own."""
    inbox = Queue(loop)
    words = {"zones": [], "kinds": [], "unix_now": 0, "asked": False}
    discovery = Discovery(loop, Budget(SOCKETS, MEMORY), inbox, address_of(address), words, hosted[0].log)

    def tell():
        inbox.reader = task
        while True:
            while inbox.items:
                _, kind, entries = inbox.items.popleft()
                brief = [(entry[0], entry[3]) for entry in entries]
                for one in hosted:
                    one.listed(kind, brief, discovery.generation)
            yield from inbox.wait(None)

    task = loop.spawn(tell())
    discovery.follow()


def main(path):
    with open(path) as file:
        told = json.load(file)
    errors = []
    loop = Loop(errors.append)
    hosted = [HollowDispatcher(loop, name, told) for name in told["hosted"]]
    loop.spawn(commands(loop, hosted))
    followed(loop, told["discovery"], hosted)
    print(json.dumps({"hosted": len(hosted)}), flush=True)
    while loop.running and not errors:
        loop.run_once()
    if errors:
        print(f"{type(errors[0]).__name__}: {errors[0]}", file=sys.stderr)
    return 1 if errors else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
