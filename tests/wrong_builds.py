"""Mutants of the program that the invariant checker has to catch (`lab run --build`)."""


def leaseless():
    """Let a dispatcher act on its state without a lease."""
    from mastledge.consensus.member import Member

    Member.may_act = lambda self, now: self.state_machine is not None


def hasty():
    """Report a change as in force once it is committed, before all dispatchers have it."""
    from mastledge.consensus.leases import GrantedLeases

    GrantedLeases.covered_index = lambda self, name, now: None


def deaf():
    """Commit the list of excluded workers, but keep launching on them."""
    from mastledge.scheduling.scheduler import Scheduler

    def skip_exclusion(self, now, out, back):
        self.fleet_changed()

    Scheduler.set_excluded = skip_exclusion
    from mastledge.protocol.worker_connections import WorkerConnections

    original_write = WorkerConnections.write_while_lawful

    def write_while_lawful(self, conn, peer, *arguments):
        peer.excluded = False
        return original_write(self, conn, peer, *arguments)

    WorkerConnections.write_while_lawful = write_while_lawful


def twice():
    """Launch run-once jobs again that may have run."""
    from mastledge.scheduling.decisions import LaunchJob
    from mastledge.scheduling.scheduler import Scheduler

    decide_job = Scheduler.decide_job

    def relaunch(self, job, now):
        if job.launches and not job.in_flight and not job.ended:
            for launch in job.launches:
                launch.may_have_run = False
        elif len(job.launches) == 1 and job.queue_type.effect == "run-once" and not job.launches[0].ended:
            job.launches[0].ended, job.in_flight = True, 0
            job.launches[0].may_have_run = False
            decision = decide_job(self, job, now)
            job.launches[0].ended, job.in_flight = False, 1 + (len(job.launches) > 1)
            return decision
        decision = decide_job(self, job, now)
        if isinstance(decision, LaunchJob) and job.queue_type.effect == "run-once":
            self.timers.set(now + 1000, job)
        return decision

    Scheduler.decide_job = relaunch


def late():
    """Never decide every tenth job and give each exchange 400 ms more, so that answers come too late."""
    from mastledge.scheduling.scheduler import Scheduler

    original_job_arrived = Scheduler.job_arrived

    def job_arrived_unended(self, now, job_id, *fields):
        original_job_arrived(self, now, job_id, *fields)
        if job_id % 10 == 0:
            self.jobs[job_id].ended = True

    Scheduler.job_arrived = job_arrived_unended
    from mastledge.protocol import client_jobs

    original_answer = client_jobs.ClientJobs.answer

    def answer_late(self, conn, exchange):
        exchange.until += 400_000
        return (yield from original_answer(self, conn, exchange))

    client_jobs.ClientJobs.answer = answer_late


def forgetful():
    """Report records as written to the write-ahead log without writing them."""
    from mastledge.storage.write_ahead_log import WriteAheadLog

    WriteAheadLog.append = lambda self, records: None


def undrained():
    """Launch on workers that are draining in the endpoint list."""
    from mastledge.protocol.discovery import Discovery

    parse_entry = Discovery.parse_entry

    def parse_as_ready(self, entry):
        return parse_entry(self, {**entry, "lifecycle": "ready"})

    Discovery.parse_entry = parse_as_ready


def cold():
    """Select cold workers as if they were warm."""
    from mastledge.scheduling.selection import WorkerSelector

    pick = WorkerSelector.pick

    def pick_cold(self, job, now, group_of):
        for worker in self._fleet.ready:
            if worker.warming_up and self._settings["cold_for"] > now - worker.born and not job.launches:
                return worker, 0.0
        return pick(self, job, now, group_of)

    WorkerSelector.pick = pick_cold


def refusing():
    """Reject jobs that were launched and may have run."""
    from mastledge.scheduling.decisions import RejectJob
    from mastledge.scheduling.scheduler import Scheduler

    launch = Scheduler.launch

    def launch_with_short_deadline(self, job, worker, now, until=None):
        decision = launch(self, job, worker, now, until)
        if job.id % 7 == 0 and job.queue_type.effect == "run-once":
            job.deadline = now + 5_000
            self.timers.set(job.deadline, job)
        return decision

    def reject_launched(self, job, hold_off):
        self.close_job(job)
        return RejectJob(job.id, 0)

    Scheduler.launch = launch_with_short_deadline
    Scheduler.reject_or_kill = reject_launched
    decide_job = Scheduler.decide_job

    def reject_at_deadline(self, job, now):
        if job.launches and now >= job.deadline:
            return self.reject_or_kill(job, 0)
        return decide_job(self, job, now)

    Scheduler.decide_job = reject_at_deadline


def claimless():
    """Store the claim of a key only with the outcome, after the launch."""
    from mastledge.program.idempotency_service import IdempotencyService

    persist = IdempotencyService.persist

    def persist_with_outcome(self, job):
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

    IdempotencyService.persist = persist_with_outcome


def boastful():
    """Launch without a claim, and send only the outcome to the replicas of a key."""
    from mastledge.replication.claims import Claims
    from mastledge.replication.jobs import JobPhase

    def make(self, now, job):
        job.claim_count, job.phase, job.claim_name = 1, JobPhase.CLAIMED, self._names.next()
        self._jobs.add_claim(job)
        self._jobs.grant(job)

    Claims.make = make


def amnesic():
    """Acknowledge an answer, but store only that the job may have run."""
    from mastledge.idempotency.key_table import RecordState
    from mastledge.replication.messages import ReplicaResult
    from mastledge.replication.replica import Replica

    raise_to = Replica._raise_to

    def raise_without_answer(self, now, record, known, answered):
        raise_to(self, now, record, known, False)
        record.state = RecordState.ANSWERED if answered else record.state
        self.table.mark_unsure(now, record)

    Replica._raise_to = raise_without_answer
    complete = Replica.complete

    def acknowledge_always(self, now, request):
        response = complete(self, now, request)
        response.result = ReplicaResult.DONE
        return response

    Replica.complete = acknowledge_always


def grudging():
    """Never release a claim, so that a rejected job counts as one that may have run."""
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
    """Start a fleet anew without checking that the former fleet is lost and the state fits."""
    from mastledge.recovery import fleet_snapshot

    fleet_snapshot.check_fleet_start = lambda start: None


def ajar():
    """Admit every request, whatever the admission ramp allows."""
    from mastledge.recovery.admission_ramp import AdmissionRamp

    def admit(self, now, is_retry):
        self.in_flight += 1

    AdmissionRamp.admit = admit


def credulous():
    """Accept an endpoint list that is older than the newest known one."""
    from mastledge.recovery.newest_list import NewestList

    NewestList.excluded = lambda self, *fields: frozenset()


def forgets_a_job_at_shutdown():
    """Forget one waiting job at SIGTERM: its client gets no answer."""
    from mastledge.program.graceful_shutdown import GracefulShutdown

    start_leaving = GracefulShutdown._start_leaving

    def start_leaving_and_forget(self):
        start_leaving(self)
        for job in list(self._dispatcher.router.jobs.values())[:1]:
            self._dispatcher.loop.cancel(job.exchange.conn.owner)

    GracefulShutdown._start_leaving = start_leaving_and_forget
