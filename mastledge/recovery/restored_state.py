"""What a dispatcher believes of what its folder holds after a start.

Each thing that is kept says for which worker, life and address it was true, and when by two clocks: the
machine's monotonic one with the id of its boot, which cannot be set, and Unix time. What can't be placed in
time is not believed, and no belief is looser than the list: it only adds who is kept off and what weighs on a
worker.
"""

import msgspec

FORMAT = 1
DRIFT = 5_000_000  # that a clock may stand behind what it once told: small steps are made as time is set
LEARNED = 30_000_000  # for which what was learned of a worker is worth more than nothing
MOST = 4096  # workers


class Worker(msgspec.Struct, array_like=True):
    """As the list told of it; `born`: Unix microseconds of its start, 0 for long ago."""

    state: str
    born: int
    address: list
    zone: str = ""
    kind: str = ""
    cell: int = 0
    units: float = 1.0


class Out(msgspec.Struct, array_like=True):
    """What was launched there and had not ended: load in slots, and when all of it must have (Unix)."""

    born: int
    address: list
    load: float
    until: int


class RecoveryRecord(msgspec.Struct, kw_only=True):
    """What the folder amounts to. `at`, `mono`: when it was last written, by both clocks."""

    format: int = FORMAT
    at: int = 0
    mono: int = 0
    boot: str = ""
    registry: str = ""
    generation: int = 0
    listed_at: int = 0
    workers: dict[str, Worker] = {}
    out: dict[str, Out] = {}
    learned_at: int = 0
    learned: dict[str, list] = {}


class RestoredState:
    """What is left of it: `age` of it all (microseconds), and by part why it is not believed."""

    def __init__(self, age, unbelieved):
        self.age, self.unbelieved = age, unbelieved
        self.workers, self.restricted, self.out, self.learned = {}, {}, {}, {}
        self.generation = 0


def age_of(kept, now, mono, boot):
    """How long ago it was written; ValueError with the reason where that can't be known."""
    if kept.boot == boot and boot:
        if mono < kept.mono:
            raise ValueError("its clock ran backwards within one boot")
        return mono - kept.mono
    if now < kept.at - DRIFT:
        raise ValueError(f"it was written {(kept.at - now) // 1_000_000} s ahead of this clock")
    return max(0, now - kept.at)


def believed(kept, now, mono, boot, registry, valid):
    """`valid`: for how long a list is worth something (microseconds)."""
    if kept is None or not kept.at:
        return RestoredState(0, {"all": "nothing is kept"})
    if kept.format != FORMAT:
        return RestoredState(0, {"all": f"of format {kept.format}, this version reads {FORMAT}"})
    try:
        age = age_of(kept, now, mono, boot)
    except ValueError as error:
        return RestoredState(0, {"all": str(error)})
    belief = RestoredState(age, {})
    if kept.registry != registry:
        belief.unbelieved["list"] = "it is another registry's"
    elif age + kept.at - kept.listed_at > valid:
        belief.unbelieved["list"] = f"it is {age // 1000} ms old, over {valid // 1000} ms"
    else:
        belief.generation = kept.generation
        belief.workers = dict(kept.workers)
        belief.restricted = {id: one.born for id, one in kept.workers.items() if one.state != "ready"}
    for id, out in kept.out.items():
        left = out.until - kept.at - age  # spans are counted from when it was written, by whatever clock
        if left > 0 and out.load > 0:
            belief.out[id] = Out(out.born, out.address, out.load, now + left)
    if age + kept.at - kept.learned_at > LEARNED:
        belief.unbelieved["learned"] = "too old"
    else:
        belief.learned = {id: told for id, told in kept.learned.items() if id in kept.workers}
    return belief


def kept_off(belief, generation, known):
    """Who stays off although the list of now does not say so: that list is older than the kept one.

    `known`: {id: born} of the list of now. A worker that has been started anew since is as new.
    """
    if generation is None or generation >= belief.generation:
        return frozenset()
    return frozenset(
        id for id, born in belief.restricted.items() if known.get(id, 0) <= born + 1000 or id not in known
    )


def weighing(belief, now, workers):
    """{id: load} of what a former life launched and never heard the end of, on workers that are the same.

    `workers`: {id: (born, address)} of the list of now. One that was started anew, or stands elsewhere, has
    died with what it had.
    """
    out = {}
    for id, told in belief.out.items():
        born, address = workers.get(id, (None, None))
        if born is not None and abs(born - told.born) <= 1000 and list(address) == list(told.address):
            if told.until > now:
                out[id] = told.load
    return out


def taught(belief, now, workers):
    """What the decisions are told at the start: `Scheduler.learned_state()`, and the former load behind.

    {id: [slots, peak, slow, asides, load]}; times of asides were told as spans from when they were written.
    """
    weighs = weighing(belief, now, workers)
    out = {}
    for id in workers:
        one, kept = belief.learned.get(id), belief.workers.get(id)
        same = kept is not None and abs(workers[id][0] - kept.born) <= 1000
        if one is not None and same:
            out[id] = [*one[:4], weighs.get(id, 0.0)]
        elif id in weighs:
            out[id] = [None, None, None, [], weighs[id]]
    return out


class PersistedRecovery:
    """What the journal amounts to, for `store`: each record is all that is known of one thing now."""

    def __init__(self):
        self.kept = RecoveryRecord()

    def reset(self):
        self.kept = RecoveryRecord()

    def apply(self, record):
        """ValueError for what makes no sense, or is a later version's."""
        what, at, mono, boot, *fields = record
        kept = self.kept
        if what == "list":
            registry, generation, workers = fields
            kept.registry, kept.generation = str(registry), int(generation)
            kept.workers = msgspec.convert(workers, dict[str, Worker])
            kept.listed_at = at
        elif what == "out":
            kept.out = msgspec.convert(fields[0], dict[str, Out])
        elif what == "learned":
            kept.learned, kept.learned_at = msgspec.convert(fields[0], dict[str, list]), at
        else:
            raise ValueError(f"a record of a later version: {what}")
        kept.at, kept.mono, kept.boot = int(at), int(mono), str(boot)

    def compacted_records(self):
        """The fewest that lead to the same."""
        kept, when = self.kept, (self.kept.at, self.kept.mono, self.kept.boot)
        if not kept.at:
            return []
        builtin = msgspec.to_builtins
        before = kept.mono - (kept.at - kept.learned_at)
        listed = kept.mono - (kept.at - kept.listed_at)
        return [
            ("learned", kept.learned_at, before, kept.boot, kept.learned),
            (
                "list",
                kept.listed_at,
                listed,
                kept.boot,
                kept.registry,
                kept.generation,
                builtin(kept.workers),
            ),
            ("out", *when, builtin(kept.out)),
        ]
