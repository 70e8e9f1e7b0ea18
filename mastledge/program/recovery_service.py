"""A start by steps: what the folder holds, what others tell, and a door that opens by degrees.

Imported only where the configuration names `recovery`. The decisions are those of `recovery/`: which step it
is at, what is believed, who is let in.
"""

import threading
import time
from zlib import crc32

import msgspec
import orjson

from mastledge.balance import CUT_OFF
from mastledge.protocol.control import Answer
from mastledge.protocol.requests import COMPLETED, REJECTED
from mastledge.recovery import messages as m
from mastledge.recovery import restored_state as b
from mastledge.recovery import startup_stages as s
from mastledge.recovery.admission_ramp import DONE, ELSE, TURNED, AdmissionRamp
from mastledge.storage.data_directory import DataDirectory
from mastledge.storage.errors import DataDirectoryError
from mastledge.storage.write_ahead_log import WriteAheadLog
from mastledge.storage.writer import Writer

LOOK = 10_000  # between two looks at the steps
SIZES = 100_000  # between two looks at what the workers can take
KEEPS = 200_000  # between two times that what is out is kept
LEARNS = 10  # so many of these: what was learned is kept
ASKED = 5  # others that are asked how the fleet is
AGAIN = 50_000  # after which others are asked, who has not been yet
FIRST, MOST_FIRST = 2_000, 250_000  # by which the first call for the list is spread, a dispatcher and at most
FRAME = b"\xc1R"  # begins what is asked and answered; `program.fleet` tells it from other frames
BOOT = "/proc/sys/kernel/random/boot_id"


def unix():
    return time.time_ns() // 1000


def boot():
    """The id of this boot of the machine, "" where it can't be told."""
    try:
        with open(BOOT) as file:
            return file.read().strip()
    except OSError:
        return ""


class RecoveryService:
    def __init__(self, program, told, log):
        self.program, self.told, self.log, self.loop = program, told["recovery"], log, program.loop
        self.name, self.seed, self.draws = told["name"], told["seed"], 0
        now = self.loop.now()
        settings = told["settings"]
        most = settings["most_hold_off"] if settings["may_hold_off"] else 0
        self.steps = s.StartupStages(now, bool(told["peers"]))
        self.opening = AdmissionRamp(self.seed, now, self.told["open"], most)
        self.folder, self.boot, self.keeper = (
            DataDirectory(self.told["folder"]),
            boot(),
            b.PersistedRecovery(),
        )
        self.belief = b.RestoredState(0, {"all": "not read yet"})
        self.journal = self.writer = self.trouble = None
        self.reader, self.read = None, False
        self.answers, self.asked, self.numbers = {}, {}, 0
        self.tasks, self.token, self.last, self.began = [], 0, {}, now
        self.failing, self.logged, self.tries = False, None, 0
        self.known, self.older_since = {}, None  # {id: born}; since when the list is older than one before

    def chance(self):
        self.draws += 1
        return crc32(b"start %d %s %d" % (self.seed, self.name.encode(), self.draws)) / 4294967296.0

    def registry(self):
        told = self.program.told["discovery"]
        peers = self.program.told["peers"]
        return peers and peers["registry"] or f"{told[0]}:{told[1]}"

    # The folder

    def begin(self):
        """Reads the folder in a thread of its own: a slow disk must not keep anybody from saying so."""
        vital, spawn = self.program.vital, self.loop.spawn
        try:
            self.folder.acquire()
        except DataDirectoryError as error:
            if not self.program.beside:
                raise
            # The process before this one goes on keeping; what it knows comes by the handover.
            self.read, self.trouble = True, str(error)
        else:
            self.start_reading()
        self.tasks = [spawn(vital(self.looked()), first=True), spawn(vital(self.kept()), first=True)]

    def start_reading(self):
        self.journal = WriteAheadLog(self.folder, "recovery", {"name": self.name}, self.keeper, self.log)
        self.reader = threading.Thread(target=self.opened, name="reader", daemon=True)
        self.reader.start()

    def opened(self):
        try:
            self.journal.open()
        except OSError as error:
            # What is spoilt here is worth nothing, and nothing was promised by it.
            self.trouble = str(error)
            self.keeper.reset()
            try:
                self.journal.rewrite([])
            except OSError as failure:
                self.trouble = f"{self.trouble}; {failure.strerror}"

    def prepared(self):
        """Waits for the folder, within the step's bound, and applies the list that it holds; then a part of
        a moment, by chance, lest all that start at once ask discovery in step.
        """
        while not self.read and self.steps.step == s.READING:
            yield (-1, 0, self.loop.now() + LOOK)
        if self.belief.workers:
            self.program.discovery.apply(self.list_of(self.belief), "cached")
            # Changes are counted from a list that its registry has told to this life.
            self.program.discovery.generation = None
        dispatchers = self.program.told["settings"]["dispatchers"]
        wait = int(self.chance() * min(MOST_FIRST, FIRST * dispatchers))
        yield (-1, 0, self.loop.now() + wait)

    def list_of(self, belief):
        return {
            "generation": belief.generation,
            "reset": True,
            "instances": [
                {
                    "instanceId": id,
                    "hostPort": "{}:{}".format(*one.address),
                    "zone": one.zone,
                    "machineType": one.kind,
                    "cell": one.cell,
                    "weight": one.units,
                    "lifecycle": one.state,
                    "startedAtMs": one.born / 1000,
                }
                for id, one in belief.workers.items()
                if one.state != "gone"
            ],
        }

    def take_read(self):
        """What the thread has read, once."""
        self.reader.join()
        self.reader, self.read = None, True
        heard = self.belief
        self.belief = b.believed(
            self.keeper.kept if not self.trouble else None,
            unix(),
            self.loop.now(),
            self.boot,
            self.registry(),
            self.told["list"],
        )
        if self.trouble:
            self.belief.unbelieved["all"] = self.trouble
        if heard.generation > self.belief.generation:
            # A slow disk: this life has heard newer lists meanwhile.
            self.belief.generation, self.belief.restricted = heard.generation, heard.restricted
        self.writer = Writer(self.journal)
        self.log(
            "state_restored",
            age_ms=self.belief.age // 1000,
            workers=len(self.belief.workers),
            out=len(self.belief.out),
            learned=len(self.belief.learned),
            unbelieved=self.belief.unbelieved,
        )

    def end(self):
        """Gives the folder free."""
        for task in self.tasks:
            self.loop.cancel(task)
        self.tasks = []
        if self.writer is not None:
            self.keep(True)
            self.writer.close()
            self.writer = None
        self.folder.release()

    # The steps

    def looked(self):
        """Sees how far the start is, until it is over; and how much the workers can take, all the time."""
        size_at = 0
        while True:
            now = self.loop.now()
            if self.reader is not None and not self.reader.is_alive():
                self.take_read()
            if now >= size_at:
                size_at = now + SIZES
                self.size(now)
            if self.steps.step != s.OPEN:
                self.look(now)
            self.opening.look(now)
            if self.belief.restricted:
                self.keep_off()
            starting = self.steps.step != s.OPEN
            yield (-1, 0, now + LOOK if starting else size_at)

    def look(self, now):
        program, steps = self.program, self.steps
        discovery, fleet = program.discovery, program.fleet
        steps.told(s.READING, self.read, "its folder")
        if fleet is not None:
            steps.told(s.AGREEING, fleet.lease_guard.may_act(now), fleet.no_lease_reason())
        heard = discovery.answered or discovery.task is None and discovery.generation is not None
        steps.told(s.LISTING, heard, discovery.trouble or "discovery")
        if steps.step == s.TAKING:
            self.ask(now)
        wanted = len(self.asked)
        steps.told(s.TAKING, fleet is None or wanted and len(self.answers) == wanted, "the others' load")
        steps.told(s.OPENING, not self.opening.closed, "")
        step = steps.look(now)
        if step != self.logged:
            self.logged = step
            self.log(
                "startup_stage",
                step=step,
                lesser=list(steps.lesser.values()),
                ms=(now - self.began) // 1000,
                share=round(self.opening.share(), 2),
            )
            if step == s.OPENING:
                self.opening.begins(now)
            self.loop.wake(program.life)

    def may_serve(self):
        """Whether the door may open, if only by a part; a lesser service is one as well."""
        return self.steps.may_serve()

    def waiting(self):
        return self.steps.waiting()

    def size(self, now):
        balancer = self.program.router.balancer
        # Also those that are set aside here: that is this one's own view, and ends by jobs that are let in.
        slots = sum(wkr.slots * balancer.warmth(wkr, now) for wkr in balancer.ready)
        self.opening.sized(now, slots, self.program.told["settings"]["dispatchers"])

    def listed(self, kind, entries):
        """What discovery has told, as the decisions are told of it.

        The newest list says who is restricted; one that is older than that, from a discovery that has lost
        what it knew, frees nobody.
        """
        discovery, belief = self.program.discovery, self.belief
        generation = discovery.generation
        if generation is None or kind not in ("whole", "changes"):
            return
        if generation >= belief.generation:
            belief.generation, restricted = generation, belief.restricted
            if kind == "whole":
                named = {entry[0] for entry in entries}
                restricted.update({id: born for id, born in self.known.items() if id not in named})
            for id, _, _, state, *_ in entries:
                if state == "ready":
                    restricted.pop(id, None)
                else:
                    restricted[id] = self.known.get(id, 0)
            while len(restricted) > b.MOST:
                del restricted[next(iter(restricted))]
        self.known = self.lives()
        self.keep_off()

    def lives(self):
        """{id: start in Unix microseconds} of the workers of the list of now."""
        since = self.program.discovery.since
        return {id: peer.born + since if peer.born else 0 for id, peer in self.program.router.peers.items()}

    def keep_off(self):
        """While the list is older than one that was heard before, it frees nobody; but not for ever, as a
        registry may have begun to count anew.
        """
        discovery, now = self.program.discovery, self.loop.now()
        off = frozenset()
        if discovery.answered:
            off = b.kept_off(self.belief, discovery.generation, self.known)
            self.older_since = (self.older_since or now) if off else None
            if off and now >= self.older_since + self.told["list"]:
                self.belief.restricted, self.belief.generation = {}, discovery.generation
                off = frozenset()
        if off != self.program.kept_off:
            generation, newest = discovery.generation, self.belief.generation
            self.log("workers_excluded_by_newer_list", out=sorted(off), generation=generation, newest=newest)
            self.program.kept_off = off
            self.program.recompose()

    def taught(self):
        """What the decisions start from: what was learned, and what may still run of a former life."""
        now, lives = unix(), self.lives()
        workers = {id: (lives[id], peer.address) for id, peer in self.program.router.peers.items()}
        told = b.taught(self.belief, now, workers)
        clock = self.loop.now()
        out = {}
        for id, (slots, peak, slow, asides, load) in told.items():
            # When a trial is due was told as a span, as clocks end with the machine.
            some = [
                [why if why != "cut_off" else CUT_OFF, {**aside, "back_at": clock + aside["back_at"]}]
                for why, aside in asides
            ]
            out[id] = [slots, peak, slow, some, load]
        self.log("load_restored", workers=len(out), load=round(sum(one[4] for one in out.values()), 1))
        return out

    # What others tell

    def ask(self, now):
        fleet = self.program.fleet
        if fleet is None or fleet.member is None or fleet.links is None or self.tries > now:
            return
        self.tries = now + AGAIN
        others = sorted(set(fleet.member.state.members()) - {self.name})
        if not self.asked:
            count = min(ASKED, len(others))
            while len(self.asked) < count:
                name = others[int(self.chance() * len(others))]
                self.numbers += 1
                self.asked.setdefault(name, self.numbers)
        for name, n in self.asked.items():
            if name not in self.answers:
                fleet.links.send(name, FRAME + m.encode(m.Ask(n)))

    def heard(self, name, content):
        """A frame from another dispatcher; ValueError where it can't be read."""
        try:
            told = m.decode(content)
        except msgspec.MsgspecError as error:
            raise ValueError(str(error)) from None
        now = self.loop.now()
        if isinstance(told, m.Ask):
            load = m.Load(told.n, self.opening.held, not self.opening.closed, now - self.began)
            self.program.fleet.links.send(name, FRAME + m.encode(load))
        elif self.asked.get(name) == told.n:
            self.answers[name] = told
            self.opening.heard(now, [(one.held, one.open) for one in self.answers.values()])

    # The door

    def passed(self, conn, exchange, told, further):
        """A job at the door: its answer, or None where its client has gone."""
        began = self.loop.now()
        hold_off = self.opening.admit(began, further)
        if hold_off is not None:
            exchange.open = False
            self.program.listener.count(exchange.kind, REJECTED)
            return REJECTED, [(b"retry-after", b"%.3f" % (hold_off / 1e6))] if hold_off else [], b""
        reply = None
        try:
            reply = yield from self.program.listener.taken(conn, exchange, told)
            return reply
        finally:
            how = ELSE if reply is None else {COMPLETED: DONE, REJECTED: TURNED}.get(reply[0], ELSE)
            now = self.loop.now()
            self.opening.ended(now, how, now - began)

    # What is kept

    def kept(self):
        n = 0
        while True:
            yield (-1, 0, self.loop.now() + KEEPS)
            if self.writer is None:
                self.take_folder()
                continue
            for result in self.writer.completed():
                error = result.error
                if (error is not None) != self.failing:
                    self.failing = error is not None
                    what = "recovery_disk_failed" if error else "recovery_disk_mended"
                    self.log(what, why=str(error or ""))
            n += 1
            self.keep(n % LEARNS == 0)

    def take_folder(self):
        """The process before this one may have left it."""
        if self.reader is None and self.folder.lock is None and not self.program.listener.succeeded:
            try:
                self.folder.acquire()
            except DataDirectoryError:
                return
            self.trouble = None
            self.start_reading()

    def keep(self, whole):
        """Has the disk hold what is new of it all."""
        when = (unix(), self.loop.now(), self.boot)
        records = []
        listed = self.list_now()
        if listed is not None and listed != self.last.get("list"):
            self.last["list"] = listed
            records.append(["list", *when, *listed])
        out = self.out(when[0])
        if out != self.last.get("out"):
            self.last["out"] = out
            records.append(["out", *when, out])
        if whole:
            records.append(["learned", *when, self.learned()])
        if not records:
            return
        self.token += 1
        if self.failing:
            # What came before is not on the disk, so all of it is written anew.
            self.last = {}
            self.writer.rewrite(self.token, records)
        else:
            self.writer.append(self.token, records)

    def list_now(self):
        """Registry, generation and workers, as this life has heard of them."""
        discovery, balancer, belief = self.program.discovery, self.program.router.balancer, self.belief
        if not discovery.answered or discovery.generation is None or discovery.generation < belief.generation:
            return None  # what is kept is newer
        zones = {n: name for name, n in discovery.zones.items()}
        kinds = {n: name for name, n in discovery.kinds.items()}
        workers = {id: ["gone", born, ["", 0]] for id, born in belief.restricted.items()}
        for wkr in list(balancer.workers.values())[: b.MOST]:
            peer = wkr.id
            if peer.address is not None:
                born = peer.born + discovery.since if peer.born else 0
                workers[peer.id] = [
                    wkr.state,
                    born,
                    [*peer.address],
                    zones.get(wkr.zone, ""),
                    kinds.get(wkr.kind, ""),
                    int(wkr.cell),
                    float(wkr.units),
                ]
        return [self.registry(), discovery.generation, workers]

    def out(self, now):
        """What is out at each worker, and until when that may be so."""
        discovery, clock = self.program.discovery, self.loop.now()
        out = {}
        for wkr in self.program.router.balancer.workers.values():
            if wkr.load > 0 and wkr.id.address is not None:
                peer = wkr.id
                last = max((launch.job.last for launch in wkr.out.values()), default=clock)
                born = peer.born + discovery.since if peer.born else 0
                # Whole tenths of a second, lest the same load be written again and again.
                until = (now + max(0, last - clock)) // 100_000 * 100_000 + 100_000
                out[peer.id] = [born, [*peer.address], float(wkr.load), until]
        return out

    def learned(self):
        clock, told = self.loop.now(), {}
        for id, (slots, peak, slow, asides) in self.program.router.balancer.learned().items():
            some = [
                ["cut_off" if why == CUT_OFF else why, {**aside, "back_at": aside["back_at"] - clock}]
                for why, aside in asides
            ]
            told[id] = [slots, peak, slow, some]
        return told

    # What operators see

    def figures(self, request):
        now = self.loop.now()
        told = {
            **self.steps.figures(now),
            "door": self.opening.figures(),
            "believed": {
                "age_ms": self.belief.age // 1000,
                "workers": len(self.belief.workers),
                "out": len(self.belief.out),
                "learned": len(self.belief.learned),
                "not": self.belief.unbelieved,
            },
            "kept_off": sorted(self.program.kept_off),
            "asked": sorted(self.asked),
            "answered": sorted(self.answers),
            "disk": "failing" if self.failing else self.trouble or "good",
            "longest_write_us": self.writer.longest_write_us if self.writer else 0,
        }
        return Answer(200, orjson.dumps(told, option=orjson.OPT_INDENT_2).decode(), [], "application/json")
