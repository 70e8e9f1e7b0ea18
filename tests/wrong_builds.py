"""Builds of the program that are wrong on purpose: what the judge has to catch (`lab run --build`)."""


def leaseless():
    """Acts on what it knows, lease or not."""
    from mastledge.consensus.member import Member

    Member.may_act = lambda self, now: self.rules is not None


def hasty():
    """Calls a change in force as soon as it is agreed, whoever has it."""
    from mastledge.consensus.leases import Leases

    Leases.reached = lambda self, name, now: None


def deaf():
    """Agrees on who is out by hand and launches there all the same."""
    from mastledge.balance import Balancer

    def by_hand(self, now, out, back):
        self.sort_out()

    Balancer.by_hand = by_hand
    from mastledge.protocol.worker_connections import WorkerConnections

    sent = WorkerConnections.sent_lawfully

    def sent_lawfully(self, conn, peer, *how):
        peer.out = False
        return sent(self, conn, peer, *how)

    WorkerConnections.sent_lawfully = sent_lawfully


def twice():
    """Launches run-once jobs again that may have run."""
    from mastledge.balance import Balancer

    settle = Balancer.settle

    def again(self, job, now):
        if job.launches and not job.out and not job.ended:
            for launch in job.launches:
                launch.may_have_run = False
        elif len(job.launches) == 1 and job.qt["effect"] == "run-once" and not job.launches[0].ended:
            job.launches[0].ended, job.out = True, 0
            job.launches[0].may_have_run = False
            decision = settle(self, job, now)
            job.launches[0].ended, job.out = False, 1 + (len(job.launches) > 1)
            return decision
        decision = settle(self, job, now)
        if decision and decision[0] == "launch" and job.qt["effect"] == "run-once":
            self.remind(now + 1000, job)
        return decision

    Balancer.settle = again


def late():
    """Forgets to give jobs up: they are answered when it is too late, or by the last resort."""
    from mastledge.balance import Balancer

    arrived = Balancer.arrived

    def kept(self, now, job_id, *fields):
        arrived(self, now, job_id, *fields)
        if job_id % 10 == 0:
            self.jobs[job_id].ended = True

    Balancer.arrived = kept
    from mastledge.protocol import client_listener

    outcome = client_listener.ClientListener.outcome

    def slow(self, conn, exchange):
        exchange.until += 400_000
        return (yield from outcome(self, conn, exchange))

    client_listener.ClientListener.outcome = slow


def forgetful():
    """Says that what it agreed is on the disk, and writes nothing."""
    from mastledge.storage.write_ahead_log import WriteAheadLog

    WriteAheadLog.append = lambda self, records: None


def undrained():
    """Launches on workers that the list says are draining."""
    from mastledge.protocol.discovery import Discovery

    entry = Discovery.entry

    def ready(self, one):
        return entry(self, {**one, "lifecycle": "ready"})

    Discovery.entry = ready


def cold():
    """Takes cold workers for warm ones."""
    from mastledge.balance import Balancer

    pick = Balancer.pick

    def coldest(self, job, now, group):
        for wkr in self.ready:
            if wkr.cold and self.settings["cold_for"] > now - wkr.born and not job.launches:
                return wkr, 0.0
        return pick(self, job, now, group)

    Balancer.pick = coldest


def refusing():
    """Rejects what has been launched and may have run."""
    from mastledge.balance import Balancer

    launch = Balancer.launch

    def doubting(self, job, wkr, now, until=None):
        decision = launch(self, job, wkr, now, until)
        if job.id % 7 == 0 and job.qt["effect"] == "run-once":
            job.last = now + 5_000
            self.remind(job.last, job)
        return decision

    def give_up(self, job, hold_off):
        self.close(job)
        return ("reject", job.id, 0)

    Balancer.launch = doubting
    Balancer.give_up = give_up
    settle = Balancer.settle

    def early(self, job, now):
        if job.launches and now >= job.last:
            return self.give_up(job, 0)
        return settle(self, job, now)

    Balancer.settle = early


def claimless():
    """Writes its claim on a key down with the outcome, after the launch."""
    from mastledge.program.idempotency_service import IdempotencyService

    persist = IdempotencyService.persist

    def later(self, job):
        record = job.record
        if record.state == "claimed":
            self.later = [
                *getattr(self, "later", ()),
                *(r for r in self.key_table.changes if r[1:3] == record.scoped_key),
            ]
            self.key_table.changes = [r for r in self.key_table.changes if r[1:3] != record.scoped_key]
            return True
        self.key_table.changes = [
            r for r in self.later if r[1:3] == record.scoped_key
        ] + self.key_table.changes
        return (yield from persist(self, job))

    IdempotencyService.persist = later


def boastful():
    """Launches without a claim, and tells the holders of a key only what came of it."""
    from mastledge.replication.claims import Claims
    from mastledge.replication.jobs import JobPhase

    def make(self, now, job):
        job.claim_count, job.phase, job.claim_name = 1, JobPhase.CLAIMED, self._names.next()
        self._jobs.add_claim(job)
        self._jobs.grant(job)

    Claims.make = make


def amnesic():
    """Says that an answer is kept, and keeps only that the job may have run."""
    from mastledge.idempotency.key_table import RecordState
    from mastledge.replication.messages import ReplicaResult
    from mastledge.replication.replica import Replica

    raise_to = Replica._raise_to

    def forgets(self, now, record, known, answered):
        raise_to(self, now, record, known, False)
        record.state = RecordState.ANSWERED if answered else record.state
        self.table.mark_unsure(now, record)

    Replica._raise_to = forgets
    complete = Replica.complete

    def acknowledges(self, now, request):
        response = complete(self, now, request)
        response.result = ReplicaResult.DONE
        return response

    Replica.complete = acknowledges


def grudging():
    """Never gives a claim back: a job that was rejected may have run, for all that is known."""
    from mastledge.replication.claims import Claims
    from mastledge.replication.listeners import ClaimListeners
    from mastledge.replication.messages import ClaimStatus, OwnerResponse
    from mastledge.replication.quorum import ReleaseCall

    def release(self, now, job, on_end=None):
        call = ReleaseCall(job, now, on_end)
        if on_end is not None:
            self._calls._timers.at(now, on_end, call)
        return call

    def on_query(self, now, sender, query):
        self._send(sender, OwnerResponse(query.call_id, query.claim_name, ClaimStatus.UNKNOWN))

    Claims.release, ClaimListeners.on_query = release, on_query


def reckless():
    """Begins a fleet anew whenever it is told to."""
    from mastledge.recovery import fleet_snapshot

    fleet_snapshot.refused = lambda *fields: ""


def ajar():
    """A door that lets in all that come, whatever becomes of them."""
    from mastledge.recovery.admission_ramp import AdmissionRamp

    def admit(self, now, further):
        self.held += 1

    AdmissionRamp.admit = admit


def credulous():
    """Believes a list that is older than what it has heard."""
    from mastledge.recovery import restored_state

    restored_state.kept_off = lambda *fields: frozenset()
