"""Schedules of faults over the copies of keys alone: simulated time, one seed replays all of it.

Dispatchers with their disks, a network that loses, doubles, delays and is cut, clients that come again
anywhere under the same key, and the agreed placement, which reaches each dispatcher late. `Fleet.judge` is
what may never be: a run-once key launched twice, another answer to a repeat, a rejection that was not
harmless.
"""

from collections import defaultdict
from copy import deepcopy

import numpy

from mastledge.consensus.messages import Entry
from mastledge.consensus.state_machine import StateMachine, initial_state
from mastledge.idempotency.key_table import KeyTable
from mastledge.lab.simulated import Simulated
from mastledge.replication import inputs, messages, outputs
from mastledge.replication.inputs import JobOutcome
from mastledge.replication.node import Node, NodeOptions
from mastledge.replication.outputs import Verdict
from mastledge.replication.persisted_state import PersistedReplica, head_records

KEEP, WALLTIME = 20_000_000, 2_000_000
PATIENCE = KEEP + 3 * WALLTIME


class Broken(AssertionError):
    """What may never be; the text names it."""


class Host:
    """One dispatcher: what lasts, and the process on top of it while there is one."""

    def __init__(self, fleet, name):
        self.fleet, self.name, self.disk, self.up, self.until = fleet, name, [], False, 0
        self.node, self.runs, self.idle_at, self.full, self.failed = None, 0, 0, False, False
        self.applied, self.jobs, self.wake = 0, {}, None
        self.output_handlers = {
            outputs.Send: self.do_send,
            outputs.Persist: self.do_persist,
            outputs.CaughtUp: self.do_caught_up,
            outputs.JobVerdict: self.do_verdict,
        }

    def start(self):
        fleet = self.fleet
        kept = PersistedReplica(lambda: fleet.now)
        for record in self.disk:
            kept.apply(deepcopy(record))
        self.runs += 1
        self.up, self.failed, self.applied = True, False, 0
        directory_id = kept.directory_id or f"{self.name}-{self.runs}"
        book = KeyTable(fleet.keep, fleet.entries, fleet.bytes_, 0)
        book.restore(fleet.now, kept.entries, False)
        options = NodeOptions(
            name=self.name,
            directory_id=directory_id,
            incarnation=f"r{self.runs}",
            fence=kept.fence,
            seed=fleet.draw(1 << 30),
            promise_us=fleet.patience,
        )
        self.node = fleet.make(options, book, fleet.now)
        self.starts = kept.start_count + 1
        self.disk = head_records(directory_id, self.starts, kept.fence) + [
            r for r in self.disk if r[0] not in ("holder", "fence")
        ]
        self.jobs = {}
        fleet.agree(
            {
                "kind": "holds",
                "name": self.name,
                "id": directory_id,
                "starts": self.starts,
                "count": fleet.copies,
            }
        )
        fleet.at(0, self.step, self.node, inputs.Tick())

    def crash(self):
        self.up, self.node = False, None

    def step(self, node, input_):
        if node is not self.node or not self.up:
            return
        fleet = self.fleet
        if self.until > fleet.now:
            fleet.at(self.until - fleet.now + fleet.draw(2000), self.step, node, input_)
            return
        for output in node.step(fleet.now, input_):
            self.output_handlers[type(output)](output)
        at = node.wake_at()
        if at is not None and self.node is node:
            at = max(at, fleet.now + 1)
            if self.wake is None or self.wake[0] != node or at < self.wake[1] or self.wake[1] <= fleet.now:
                self.wake = (node, at)
                fleet.at(at - fleet.now, self.step, node, inputs.Tick())

    def do_send(self, send):
        self.fleet.send(self, send.recipient, send.message)

    def do_persist(self, persist):
        self.idle_at = max(self.idle_at, self.fleet.now) + 100 + self.fleet.draw(3_000)
        self.fleet.at(
            self.idle_at - self.fleet.now, self.saved, self.node, persist.token, deepcopy(persist.records)
        )

    def saved(self, node, token, records):
        if node is not self.node or not self.up:
            return
        if self.full or self.failed:
            if not self.failed:
                self.failed = True
                self.step(node, inputs.DiskFailed())
                self.fleet.at(500_000, self.mend, node)
            return
        self.disk += records
        self.step(node, inputs.Persisted(token))

    def mend(self, node):
        if node is not self.node or not self.up:
            return
        if self.full:
            self.fleet.at(500_000, self.mend, node)
            return
        self.failed = False
        self.disk = head_records(node.directory_id, self.starts, node.fence)
        self.disk += deepcopy(node.replica.table.snapshot())
        self.step(node, inputs.DiskRecovered())

    def do_caught_up(self, caught_up):
        self.fleet.agree(
            {"kind": "caught", "name": self.name, "id": self.node.directory_id, "epoch": caught_up.epoch}
        )

    def do_verdict(self, verdict):
        self.fleet.told(self, verdict)


class Fleet(Simulated):
    keep, patience, bytes_ = KEEP, PATIENCE, 1 << 24

    def __init__(self, names, seed, copies=3, lost=0.0, doubled=0.0, delay=3_000, entries=100_000, make=Node):
        super().__init__(seed)
        self.copies, self.entries = copies, entries
        self.lost, self.doubled, self.delay, self.cut, self.make = lost, doubled, delay, set(), make
        self.sent = self.bytes = 0
        members = {name: (f"127.0.0.1:{n + 1}", name) for n, name in enumerate(names)}
        self.rules, self.log = StateMachine(initial_state({}, 1, members), 0), []
        self.hosts = {name: Host(self, name) for name in names}
        self.launches, self.answers, self.first = defaultdict(list), defaultdict(set), {}
        self.tries, self.numbers, self.outcomes, self.counts = {}, 0, defaultdict(set), defaultdict(int)

    def chance(self, share):
        return self.random.random() < share

    def start(self):
        for host in self.hosts.values():
            self.at(self.draw(20_000), host.start)
        return self

    # What is agreed, which each hears of in its own time

    def agree(self, change):
        self.at(2_000 + self.draw(30_000), self.agreed, change)

    def agreed(self, change):
        index = len(self.log) + 1
        self.rules.apply(index, Entry(1, f"c{index}", change))
        self.log.append(deepcopy(self.rules.state.get("copies")))
        for host in self.hosts.values():
            self.at(self.draw(200_000), self.hear_of, host, index)

    def hear_of(self, host, index):
        if host.up and index > host.applied:
            if (host.name, "agreed") in self.cut:
                self.at(300_000, self.hear_of, host, index)
                return
            host.applied = index
            if self.log[index - 1] is not None:
                host.step(host.node, inputs.PlacementChanged(self.log[index - 1]))

    def remove(self, name):
        self.agree({"kind": "remove", "name": name, "by": "", "at": 0})

    # Links

    def send(self, host, to, message):
        raw = messages.encode(message)
        self.sent, self.bytes = self.sent + 1, self.bytes + len(raw)
        for _ in range(1 + self.chance(self.doubled)):
            if to in self.hosts and (host.name, to) not in self.cut and not self.chance(self.lost):
                self.at(100 + self.draw(self.delay), self.arrive, to, host.name, host.node.directory_id, raw)

    def arrive(self, to, sender, id_, raw):
        host = self.hosts[to]
        if host.up and (sender, to) not in self.cut:
            host.step(host.node, inputs.MessageReceived(sender, id_, messages.decode(raw)))

    # Clients: each key is one job, tried again anywhere

    def offer(self, key, tries=4, print_=b"p" * 16):
        up = [host for host in self.hosts.values() if host.up and host.until <= self.now]
        if not up:
            self.at(200_000, self.offer, key, tries)
            return
        host = up[self.draw(len(up))]
        self.numbers += 1
        n = self.numbers
        self.tries[n] = (key, tries, self.now, host.node)
        host.step(host.node, inputs.Offer(n, "t", key, print_, WALLTIME))
        self.at(WALLTIME, self.too_late, host, n)

    def too_late(self, host, n):
        if n in self.tries:
            key, tries, _, node = self.tries.pop(n)
            if n not in host.jobs:
                host.step(node, inputs.ClientLeft(n))
            self.counts["unanswered"] += 1
            if tries:
                self.at(self.draw(400_000), self.offer, key, tries - 1)

    def told(self, host, told):
        n, verdict, content = told.job_id, told.verdict, told.content
        if n not in self.tries:
            if verdict is Verdict.GRANTED:
                # Nobody waits any more, so nothing is launched for it.
                host.step(host.node, inputs.JobEnded(n, JobOutcome.RELEASED))
            return
        key, tries, began, node = self.tries[n]
        if verdict is Verdict.GRANTED:
            self.go(host, n, key)
            return
        del self.tries[n]
        self.counts[verdict] += 1
        if verdict in (Verdict.REPLICATED, Verdict.NOT_REPLICATED):
            how, content = host.jobs.pop(n, (JobOutcome.RELEASED, b""))
            if how is JobOutcome.ANSWERED and verdict is Verdict.REPLICATED:
                self.answered(key, content)
            elif how is JobOutcome.RELEASED and tries:
                self.at(self.draw(300_000), self.offer, key, tries - 1)
                return
        elif verdict is Verdict.ANSWERED:
            self.answered(key, content)
        elif verdict is Verdict.UNSURE and not self.launches[key]:
            self.counts["needless"] += 1
        if tries and (verdict is not Verdict.UNSURE or self.chance(0.5)):
            self.at(self.draw(3_000_000), self.offer, key, tries - 1)

    def answered(self, key, content):
        at = self.first.setdefault(key, (self.now, content))
        if content != at[1] and self.now < at[0] + KEEP:
            raise Broken(f"key {key} was answered with {content} and with {at[1]}")

    def go(self, host, n, key):
        """The job may be launched: what comes of it is drawn here."""
        if self.chance(0.15):
            how, wait = JobOutcome.RELEASED, self.draw(300_000)
        else:
            how = JobOutcome.UNSURE if self.chance(0.15) else JobOutcome.ANSWERED
            wait = self.draw(WALLTIME * 3 // 4)
            before = [at for at, _ in self.launches[key]]
            if before and self.now < max(before) + KEEP:
                raise Broken(f"key {key} was launched at {before[-1]} and at {self.now}, by {host.name}")
            self.launches[key].append((self.now, host.name))
        content = f"{key} {n}".encode()
        host.jobs[n] = how, content
        answer = content if how is JobOutcome.ANSWERED else b""
        self.at(wait, host.step, host.node, inputs.JobEnded(n, how, 200, answer))


FAULTS = ("crash", "crash", "stop", "cut", "cut_one_way", "wipe", "full", "late", "remove", "recount")


class Schedule:
    """Faults drawn from a seed, over a fleet under load; at the end all is whole again, and must come to
    rest.
    """

    def __init__(self, seed, dispatchers=5, copies=3, faults=12, make=Node, seconds=30, keys=150):
        random = numpy.random.Generator(numpy.random.PCG64([seed, 1]))
        self.random, self.faults = random, faults
        self.fleet = Fleet(
            [f"n{n}" for n in range(dispatchers)],
            seed,
            copies,
            lost=float(random.choice([0, 0.01, 0.1])),
            doubled=float(random.choice([0, 0.05])),
            delay=int(random.choice([1_000, 20_000, 200_000])),
            make=make,
        )
        self.seconds, self.keys = seconds * 1_000_000, keys
        self.wiped = []

    def play(self):
        fleet = self.fleet.start()
        for n in range(self.keys):
            at = int(self.random.integers(self.seconds))
            for _ in range(1 + int(self.random.integers(2))):
                # Now and then two at once.
                fleet.at(at, fleet.offer, b"k%d" % n)
        for _ in range(self.faults):
            kind = FAULTS[int(self.random.integers(len(FAULTS)))]
            fleet.at(int(self.random.integers(self.seconds)), getattr(self, kind), self.who(), self.span())
        fleet.run(self.seconds)
        fleet.cut.clear()
        fleet.run(self.seconds + 20_000_000)
        if any(job_at < fleet.now - 10 * WALLTIME for _, _, job_at, _ in fleet.tries.values()):
            raise Broken("a job waits for ever")
        return fleet

    def who(self):
        names = list(self.fleet.hosts)
        return self.fleet.hosts[names[int(self.random.integers(len(names)))]]

    def span(self):
        return int(self.random.integers(100_000, 6_000_000))

    def crash(self, host, span):
        if host.up:
            host.crash()
            self.fleet.at(span, self.back, host)

    def back(self, host):
        if not host.up:
            host.start()

    def wipe(self, host, span):
        """The disk is lost; not again before the copies of the one before are whole, or more than are spare
        would be.
        """
        copies = self.fleet.rules.state.get("copies")
        lost = sum(at > self.fleet.now - PATIENCE for at in self.wiped)
        if not host.up or copies is None or not copies["epoch"]:
            return
        if lost >= 1 and copies["next"] is not None or len(self.wiped) >= 2:
            return
        self.wiped.append(self.fleet.now)
        host.crash()
        host.disk = []
        self.fleet.at(span, self.back, host)

    def remove(self, host, span):
        if len(self.fleet.rules.members) > 3 and host.name in self.fleet.rules.members:
            self.fleet.remove(host.name)
            self.fleet.at(span, self.add, host)

    def recount(self, host, span):
        """Another count of copies, while more than three hold them."""
        if len(self.fleet.rules.members) > 3:
            self.fleet.agree({"kind": "copies", "count": 3 + 2 * (span % 2)})

    def add(self, host):
        if host.name not in self.fleet.rules.members:
            self.fleet.agree(
                {"kind": "add", "name": host.name, "address": f"127.0.0.1:{self.fleet.draw(60000)}"}
            )
            # A member that comes again opens its folder anew.
            host.crash()
            self.fleet.at(300_000, self.back, host)

    def stop(self, host, span):
        host.until = max(host.until, self.fleet.now + span)

    def cut(self, host, span):
        links = [pair for other in self.fleet.hosts for pair in ((host.name, other), (other, host.name))]
        self.hold(links, span)

    def cut_one_way(self, host, span):
        self.hold([(host.name, other) for other in self.fleet.hosts], span)

    def hold(self, links, span):
        links = [pair for pair in links if pair[0] != pair[1]]
        self.fleet.cut.update(links)
        self.fleet.at(span, self.fleet.cut.difference_update, links)

    def late(self, host, span):
        """What is agreed reaches this one later than the others."""
        self.hold([(host.name, "agreed")], span)

    def full(self, host, span):
        host.full = True
        self.fleet.at(span, setattr, host, "full", False)
