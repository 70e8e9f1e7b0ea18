"""One dispatcher's part in the copies of keys: a pure step, as `consensus.member` is one.

`step(now, what, ...)` takes one input and gives a list of what follows from it; `wake_at()` when it must be
called again with "time" at the latest.

Inputs: ("time",); ("offer", n, tenant, key, fingerprint, left) for a job with a key; ("ended", n, how,
status, content) of one that was told to go; ("left", n): nobody waits for it; ("heard", sender, id, message);
("saved", token), ("broken",) and ("mended",) from the disk; ("placed", state): what the fleet has agreed.
Outputs: ("send", to, message); ("save", token, records); ("tell", n, what, status, content), what of `owner`;
("caught", epoch): to be agreed.
"""

from mastledge.replication import messages as m
from mastledge.replication.catch_up import CatchUp
from mastledge.replication.coordinator import Coordinator
from mastledge.replication.placement import Placement
from mastledge.replication.replica import Replica


class Node:
    """`id`: of its folder, which a new one has anew; `run`: of this process. `fence`: as on the disk.

    `patience`: after which all that was promised before is over (microseconds).
    """

    def __init__(self, name, id_, run, book, fence, seed, patience, now, synced=True):
        self.name, self.id, self.fence, self.synced = name, id_, fence, synced
        self.holder, self.owner = Replica(book, now), Coordinator(self, name, run, book.retention_us, seed)
        self.restore = CatchUp(self, patience)
        self.placement, self.ids = Placement(), {name: id_}
        self.out, self.records, self.held, self.token, self.safe = [], [], [], 0, 0
        self.broken, self.now, self.inner = False, now, []

    def step(self, now, what, *fields):
        self.now = now
        getattr(self, "on_" + what)(now, *fields)
        if self.holder.ends and self.holder.ends[0][0] <= now:
            self.holder.expire(now)
        if self.owner.due and self.owner.due[0][0] <= now:
            self.owner.run_due(now)
        if self.restore.epoch >= 0:
            self.restore.run(now)
        while True:
            while self.inner:
                self.hear(now, self.name, self.id, self.inner.pop(0))
            records = self.records + self.holder.book.take_changes()
            self.records = []
            if records and not self.broken:
                self.token += 1
                self.out.append(("save", self.token, records))
            if self.held:
                self.release()
            if not self.inner:
                break
        out, self.out = self.out, []
        return out

    def wake_at(self):
        ends, due = self.holder.ends, self.owner.due
        at = ends[0][0] if ends else None
        if due and (at is None or due[0][0] < at):
            at = due[0][0]
        if self.restore.epoch >= 0:
            then = self.restore.wake_at()
            at = then if at is None or then is not None and then < at else at
        return at

    # What goes out

    def say(self, to, message, safe=False):
        """`safe`: it says that something lasts, and goes out once that is on the disk."""
        if safe and self.synced:
            self.held.append((None, to, message))
        elif to == self.name:
            self.inner.append(message)
        else:
            self.out.append(("send", to, message))

    def release(self):
        """What was held back for the disk: for the records of this step, or of one before."""
        held, self.held = self.held, []
        for token, to, message in held:
            token = self.token if token is None else token
            if self.broken:
                continue
            if token > self.safe:
                self.held.append((token, to, message))
            elif to == self.name:
                self.inner.append(message)
            else:
                self.out.append(("send", to, message))

    def tell(self, n, what, status=0, content=b""):
        self.out.append(("tell", n, what, status, content))

    def raise_fence(self, epoch):
        if epoch > self.fence:
            self.fence = epoch
            self.records.append(("fence", epoch))

    def caught_up(self, epoch):
        """All that it was to have is on its disk once this step's records are."""
        self.held.append((None, self.name, ("caught", epoch)))

    # What comes in

    def on_time(self, now):
        pass

    def on_saved(self, now, token):
        self.safe = max(self.safe, token)

    def on_broken(self, now):
        """Nothing that depends on the disk is said until all of it has been written anew."""
        self.broken, self.held = True, []

    def on_mended(self, now):
        self.broken, self.safe = False, self.token
        self.holder.book.take_changes()
        # What it was asked meanwhile is asked again, and so is what it had not said yet.
        self.restore.said = self.restore.said and self.name in self.placement.caught

    def on_offer(self, now, n, *fields):
        self.owner.offer(now, n, *fields)

    def on_ended(self, now, n, *fields):
        self.owner.ended(now, n, *fields)

    def on_left(self, now, n):
        self.owner.gone_client(now, n)

    def on_placed(self, now, state):
        placement = Placement(state)
        if placement.epoch < self.placement.epoch:
            return
        self.placement = placement
        self.restore.configured(now, placement)
        self.owner.configured(now, placement)

    def on_heard(self, now, sender, id_, message):
        """ValueError where it makes no sense, and then nothing of it counts."""
        for told in message.records if isinstance(message, m.ScanResponse) else (message,):
            if (
                isinstance(told, m.ClaimKey | m.CompleteKey | m.OwnerQuery)
                or isinstance(told, m.Record)
                and told.claim
            ):
                m.parts(told.claim)
        self.ids[sender] = id_
        self.hear(now, sender, id_, message)

    def hear(self, now, sender, id_, message):
        if isinstance(message, tuple):
            self.out.append(message)
            return
        getattr(self, "hear_" + type(message).__name__.lower())(now, sender, id_, message)

    def hear_claimkey(self, now, sender, id_, told):
        if told.epoch < self.fence:
            self.say(sender, m.ReplicaResponse(told.op, m.STALE))
        elif self.broken:
            self.say(sender, m.ReplicaResponse(told.op, m.DISK))
        else:
            had = self.holder.claim(now, told)
            self.say(sender, had, safe=had.what == m.GRANTED)

    def hear_completekey(self, now, sender, id_, told):
        if told.epoch < self.fence:
            self.say(sender, m.ReplicaResponse(told.op, m.STALE))
        elif self.broken:
            self.say(sender, m.ReplicaResponse(told.op, m.DISK))
        else:
            had = self.holder.end(now, told)
            self.say(sender, had, safe=had.what == m.DONE)

    def hear_releaseclaim(self, now, sender, id_, told):
        if not self.broken:
            self.say(sender, self.holder.drop(now, told), safe=True)

    def hear_readkey(self, now, sender, id_, told):
        self.say(sender, self.holder.look(now, told))

    def hear_replicaresponse(self, now, sender, id_, told):
        self.owner.on_ReplicaResponse(now, sender, id_, told)

    def hear_ownerquery(self, now, sender, id_, told):
        self.owner.on_OwnerQuery(now, sender, told)

    def hear_ownerresponse(self, now, sender, id_, told):
        self.owner.on_OwnerResponse(now, sender, told)

    def hear_scanrequest(self, now, sender, id_, told):
        if not self.broken:
            self.restore.on_ScanRequest(now, sender, id_, told)

    def hear_scanresponse(self, now, sender, id_, told):
        if not self.broken:
            self.restore.on_ScanResponse(now, sender, id_, told)
