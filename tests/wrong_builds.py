"""Builds of the program that are wrong on purpose: what the judge has to catch (`lab run --build`)."""


def leaseless():
    """Acts on what it knows, lease or not."""
    from mastledge.consensus.member import Member

    Member.may_act = lambda self, now: self.state_machine is not None


def hasty():
    """Calls a change in force as soon as it is agreed, whoever has it."""
    from mastledge.consensus.leases import GrantedLeases

    GrantedLeases.covered_index = lambda self, name, now: None


def deaf():
    """Agrees on who is out by hand and launches there all the same."""
    from mastledge.scheduling.scheduler import Scheduler

    def by_hand(self, now, out, back):
        self.fleet_changed()

    Scheduler.set_excluded = by_hand
    from mastledge.protocol.worker_connections import WorkerConnections

    sent = WorkerConnections.write_while_lawful

    def write_while_lawful(self, conn, peer, *how):
        peer.excluded = False
        return sent(self, conn, peer, *how)

    WorkerConnections.write_while_lawful = write_while_lawful


def twice():
    """Launches run-once jobs again that may have run."""
    from mastledge.scheduling.decisions import LaunchJob
    from mastledge.scheduling.scheduler import Scheduler

    settle = Scheduler.decide_job

    def again(self, job, now):
        if job.launches and not job.in_flight and not job.ended:
            for launch in job.launches:
                launch.may_have_run = False
        elif len(job.launches) == 1 and job.queue_type.effect == "run-once" and not job.launches[0].ended:
            job.launches[0].ended, job.in_flight = True, 0
            job.launches[0].may_have_run = False
            decision = settle(self, job, now)
            job.launches[0].ended, job.in_flight = False, 1 + (len(job.launches) > 1)
            return decision
        decision = settle(self, job, now)
        if isinstance(decision, LaunchJob) and job.queue_type.effect == "run-once":
            self.timers.set(now + 1000, job)
        return decision

    Scheduler.decide_job = again


def late():
    """Forgets to give jobs up: they are answered when it is too late, or by the last resort."""
    from mastledge.scheduling.scheduler import Scheduler

    arrived = Scheduler.job_arrived

    def kept(self, now, job_id, *fields):
        arrived(self, now, job_id, *fields)
        if job_id % 10 == 0:
            self.jobs[job_id].ended = True

    Scheduler.job_arrived = kept
    from mastledge.protocol import client_jobs

    outcome = client_jobs.ClientJobs.answer

    def slow(self, conn, exchange):
        exchange.until += 400_000
        return (yield from outcome(self, conn, exchange))

    client_jobs.ClientJobs.answer = slow


def forgetful():
    """Says that what it agreed is on the disk, and writes nothing."""
    from mastledge.storage.write_ahead_log import WriteAheadLog

    WriteAheadLog.append = lambda self, records: None


def undrained():
    """Launches on workers that the list says are draining."""
    from mastledge.protocol.discovery import Discovery

    parse_entry = Discovery.parse_entry

    def ready(self, entry):
        return parse_entry(self, {**entry, "lifecycle": "ready"})

    Discovery.parse_entry = ready


def cold():
    """Takes cold workers for warm ones."""
    from mastledge.scheduling.selection import WorkerSelector

    pick = WorkerSelector.pick

    def coldest(self, job, now, group_of):
        for worker in self._fleet.ready:
            if worker.warming_up and self._settings["cold_for"] > now - worker.born and not job.launches:
                return worker, 0.0
        return pick(self, job, now, group_of)

    WorkerSelector.pick = coldest


def refusing():
    """Rejects what has been launched and may have run."""
    from mastledge.scheduling.decisions import RejectJob
    from mastledge.scheduling.scheduler import Scheduler

    launch = Scheduler.launch

    def doubting(self, job, wkr, now, until=None):
        decision = launch(self, job, wkr, now, until)
        if job.id % 7 == 0 and job.queue_type.effect == "run-once":
            job.deadline = now + 5_000
            self.timers.set(job.deadline, job)
        return decision

    def give_up(self, job, hold_off):
        self.close_job(job)
        return RejectJob(job.id, 0)

    Scheduler.launch = doubting
    Scheduler.reject_or_kill = give_up
    settle = Scheduler.decide_job

    def early(self, job, now):
        if job.launches and now >= job.deadline:
            return self.reject_or_kill(job, 0)
        return settle(self, job, now)

    Scheduler.decide_job = early


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

    fleet_snapshot.check_fleet_start = lambda start: None


def ajar():
    """A door that lets in all that come, whatever becomes of them."""
    from mastledge.recovery.admission_ramp import AdmissionRamp

    def admit(self, now, is_retry):
        self.in_flight += 1

    AdmissionRamp.admit = admit


def credulous():
    """Believes a list that is older than what it has heard."""
    from mastledge.recovery.newest_list import NewestList

    NewestList.excluded = lambda self, *fields: frozenset()
