"""The router task: reports events to the scheduler, carries out its decisions and wakes at its timers."""

import traceback
from collections.abc import Callable

from mastledge.protocol.discovery import Discovery
from mastledge.protocol.events import (
    ClientLeft,
    EndpointsChanged,
    JobAbandoned,
    JobArrived,
    LaunchEnded,
    LaunchProgressed,
    LaunchStarted,
    LaunchUnconfirmed,
)
from mastledge.protocol.worker_connections import WorkerConnections
from mastledge.protocol.worker_endpoint import WorkerEndpoint
from mastledge.routing.endpoints import EndpointTable, with_following_changes
from mastledge.routing.events import (
    LearnedStateRestored,
    LeaseLapsed,
    SettingsChanged,
    ShutdownDue,
    ShutdownScheduled,
    TrafficShareChanged,
    WorkersExcluded,
)
from mastledge.routing.jobs import Job, JobEnd, JobTable, Launch
from mastledge.scheduling.decisions import (
    Decision,
    FollowEndpoints,
    KillJob,
    LaunchJob,
    RejectJob,
    RevokeLaunch,
)
from mastledge.scheduling.outcomes import COMPLETED, Outcome
from mastledge.scheduling.scheduler import Scheduler
from mastledge.transport.loop import Coroutine, Loop, Queue

# `Retry-After` of jobs rejected without a lease: another dispatcher probably holds one.
RETRY_WITHOUT_LEASE_US = 250_000
LOGGED_ENTRIES = 12  # per change of the endpoint list


class Router:
    """Reports the queued events one by one to the scheduler, and carries out its decisions.

    In a fleet with consensus, `rule.may_act(now)` tells whether this dispatcher may launch now, and
    `on_endpoint_list(kind, entries)` is called with each change of the endpoint list. Both are None without
    consensus.
    """

    def __init__(  # noqa: PLR0913 - called once at startup; each argument is a separate component
        self,
        loop: Loop,
        inbox: Queue,
        scheduler: Scheduler,
        workers: WorkerConnections,
        discovery: Discovery,
        log: Callable[..., None],
    ) -> None:
        """Create a router; `inbox` delivers the events of `protocol.events` and `routing.events`."""
        self.loop, self.inbox, self.scheduler = loop, inbox, scheduler
        self.workers, self.discovery, self.log = workers, discovery, log
        self.job_table = JobTable(log)
        self.endpoint_table = EndpointTable(workers)
        self.faults = 0  # errors that were caught by `call_guarded` or `run_launch`
        self.lease_guard = None
        self.on_endpoint_list = None
        self.handlers = self._event_handlers_by_class()
        self.decision_handlers = self._decision_handlers_by_class()

    def _event_handlers_by_class(self) -> dict[type, Callable[..., None]]:
        return {
            EndpointsChanged: self.on_endpoints_changed,
            JobArrived: self.on_job_arrived,
            JobAbandoned: self.on_job_abandoned,
            ClientLeft: self.on_client_left,
            LaunchStarted: self.on_launch_started,
            LaunchUnconfirmed: self.on_launch_unconfirmed,
            LaunchProgressed: self.on_launch_progressed,
            LaunchEnded: self.on_launch_ended,
            WorkersExcluded: self.on_workers_excluded,
            LeaseLapsed: self.on_lease_lapsed,
            LearnedStateRestored: self.on_learned_state_restored,
            TrafficShareChanged: self.on_traffic_share_changed,
            SettingsChanged: self.on_settings_changed,
            ShutdownScheduled: self.on_shutdown_scheduled,
            ShutdownDue: self.on_shutdown_due,
        }

    def _decision_handlers_by_class(self) -> dict[type, Callable[..., None]]:
        return {
            LaunchJob: self.launch_job,
            RejectJob: self.reject_job,
            KillJob: self.kill_job,
            RevokeLaunch: self.revoke_launch,
            FollowEndpoints: self.follow_endpoints,
        }

    # State that the program reads

    @property
    def jobs(self) -> dict[int, Job]:
        """All jobs that are open or have a launch in flight, by id."""
        return self.job_table.by_id

    @property
    def endpoints(self) -> dict[str, WorkerEndpoint]:
        """All workers of the endpoint list, by id."""
        return self.endpoint_table.by_id

    @property
    def excluded(self) -> frozenset[str]:
        """The workers that operators exclude from new launches, as applied here."""
        return self.endpoint_table.excluded

    # The task

    def run(self) -> Coroutine:
        """Handle events, carry out decisions and wait for the next event or timer, without end."""
        inbox, handlers = self.inbox, self.handlers
        while True:
            now = self.loop.now()
            while inbox.items:
                event = inbox.items.popleft()
                self.call_guarded(handlers[event.__class__], now, event)
            self.call_guarded(self.carry_out_decisions, now)
            wake_at = self.scheduler.wake_at()
            yield from inbox.wait(None if wake_at is None else max(wake_at, now + 1))

    def call_guarded(self, call: Callable[..., None], *arguments: object) -> None:
        """Call, and log an error instead of raising it: a fault in one job must not end the others.

        If the error leaves a job open, its client is answered at the end of the walltime.
        """
        try:
            call(*arguments)
        except Exception as error:
            self.faults += 1
            self.log(
                "internal_error",
                call=call.__name__,
                why=f"{type(error).__name__}: {error}",
                trace=traceback.format_exc(limit=-4),
            )

    # Inputs from the sockets

    def on_endpoints_changed(self, now: int, change: EndpointsChanged) -> None:
        """Handle an endpoint list that was read or has changed, with the changes right behind it."""
        kind, entries = change = with_following_changes(change, self.inbox.items)
        self.scheduler.update_endpoints(now, kind, self.endpoint_table.update(change))
        self.endpoint_table.remove_gone()
        if entries:
            first_entries = [(e[0], e[3], e[4] and (now - e[4]) / 1e6) for e in entries[:LOGGED_ENTRIES]]
            generation = self.discovery.generation
            self.log(
                "endpoint_list", kind=kind, generation=generation, count=len(entries), first=first_entries
            )
        if self.on_endpoint_list is not None:
            self.on_endpoint_list(kind, entries)

    def on_job_arrived(self, now: int, event: JobArrived) -> None:
        """Handle a job that was admitted."""
        job = self.job_table.add(event.exchange, now)
        self.scheduler.job_arrived(now, job.id, *event.terms)

    def on_job_abandoned(self, now: int, event: JobAbandoned) -> None:
        """Handle a job whose answer no client waits for and that must not continue."""
        job = self.job_table.find(event.exchange)
        if job is not None:
            self._abandon(now, job)

    def on_client_left(self, now: int, event: ClientLeft) -> None:
        """Handle a client that has disconnected; others may wait for the same answer."""
        self._stop_if_clients_left(now, self.job_table.find(event.exchange))

    def on_launch_started(self, now: int, event: LaunchStarted) -> None:
        """Handle a worker's report that it has started a launch."""
        launch = event.launch
        launch.started_at = now
        self.scheduler.launch_started(now, launch.job.id, launch.number)

    def on_launch_unconfirmed(self, now: int, event: LaunchUnconfirmed) -> None:
        """Handle a worker that has not confirmed a launch in time."""
        launch = event.launch
        self.scheduler.launch_unconfirmed(now, launch.job.id, launch.number)

    def on_launch_progressed(self, now: int, event: LaunchProgressed) -> None:
        """Handle a worker's report of the share of a launch that is done."""
        launch = event.launch
        self.scheduler.launch_progressed(now, launch.job.id, launch.number, event.share)

    def on_launch_ended(self, now: int, event: LaunchEnded) -> None:
        """Handle the end of a launch; only the first end of each launch counts."""
        launch, outcome, result, report = event
        if launch.ended:
            return
        launch.ended = True
        job = launch.job
        job.in_flight -= 1
        answers_job = outcome == COMPLETED and job.exchange.open
        if answers_job:
            job.exchange.completed(result)
        self.scheduler.launch_ended(
            now, job.id, launch.number, outcome, now - launch.created_at, not job.exchange.open, report
        )
        if answers_job:
            self._close_job(now, job, JobEnd.COMPLETED)
        elif outcome != COMPLETED:
            self.log(
                "launch_ended",
                job=launch.name,
                n=launch.number,
                worker=launch.endpoint.id,
                how=outcome,
                ms=(now - launch.created_at) / 1000,
            )
            if not job.in_flight:
                self._stop_if_clients_left(now, self.job_table.find(job.exchange))
        self.job_table.discard_if_over(job)

    # Inputs from the program

    def on_workers_excluded(self, now: int, event: WorkersExcluded) -> None:
        """Exclude workers: they get no new launches, and those not sent to them yet are revoked."""
        excluded = event.excluded
        if excluded != self.excluded:
            self.log("workers_excluded", out=sorted(excluded))
        self.scheduler.set_excluded(now, excluded, event.included_at)
        self.endpoint_table.exclude(excluded)
        for job in self.jobs.values():
            for launch in job.launches:
                if launch.endpoint.id in excluded and not launch.sent:
                    self._revoke(launch)
        event.on_applied()

    def on_lease_lapsed(self, now: int, event: LeaseLapsed) -> None:
        """Reject or kill the open jobs without a launch in flight: the restrictions in force are unknown."""
        for job in list(self.jobs.values()):
            if not job.in_flight and job.exchange.open:
                self._reject_or_kill(now, job)

    def on_learned_state_restored(self, now: int, event: LearnedStateRestored) -> None:
        """Restore the state learned by the previous process, or by the sibling process."""
        self.scheduler.restore_learned(now, event.learned)

    def on_traffic_share_changed(self, now: int, event: TrafficShareChanged) -> None:
        """Apply the new share: a sibling process takes a part of the jobs, or none any more."""
        self.scheduler.set_traffic_share(now, event.share)

    def on_settings_changed(self, now: int, event: SettingsChanged) -> None:
        """Apply other settings."""
        self.scheduler.reconfigure(now, event.settings)

    def on_shutdown_scheduled(self, now: int, event: ShutdownScheduled) -> None:
        """Tell the scheduler when the process will end."""
        self.scheduler.set_shutdown_time(now, event.end_at)

    def on_shutdown_due(self, now: int, event: ShutdownDue) -> None:
        """Answer each open job as killed: it may have run, and the process ends now."""
        for job in list(self.jobs.values()):
            if job.exchange.open:
                job.exchange.killed()
                self.scheduler.job_abandoned(now, job.id)
                self._close_job(now, job, JobEnd.KILLED)

    def job_handed_off(self, now: int, job: Job, launch: Launch) -> None:
        """Drop a job, its one launch and their connections, which another process has taken over."""
        launch.ended, job.exchange.open = True, False
        job.in_flight -= 1
        self.loop.cancel(launch.task)
        self.scheduler.job_abandoned(now, job.id)
        self._close_job(now, job, JobEnd.HANDED_OFF)

    # Decisions of the scheduler

    def carry_out_decisions(self, now: int) -> None:
        """Ask the scheduler for decisions and carry them out, until there is none."""
        decide = self.scheduler.decide
        while (decision := decide(now)) is not None:
            self.carry_out(now, decision)

    def carry_out(self, now: int, decision: Decision) -> None:
        """Carry out a decision; raise TypeError without a handler for it, as for SendLoadMessage."""
        handler = self.decision_handlers.get(decision.__class__)
        if handler is None:
            raise TypeError(f"the router cannot carry out this decision: {decision}")
        handler(now, decision)

    def launch_job(self, now: int, decision: LaunchJob) -> None:
        """Start a launch, unless `lease_guard` forbids it; its end is reported through the queue."""
        job = self.jobs[decision.job]
        launch = Launch(job, decision.worker, now)
        job.launches.append(launch)
        if self.lease_guard is not None and not self.lease_guard.may_act(now):
            self._withhold(now, launch)
            return
        job.in_flight += 1
        if decision.within:
            launch.send_by = min(job.exchange.until, now + decision.within)
        launch.task = self.loop.spawn(self.run_launch(launch, job.exchange.until))

    def run_launch(self, launch: Launch, until: int) -> Coroutine:
        """Run a launch on a worker connection, until its end or `until`, the end of the walltime."""
        try:
            yield from self.workers.launch(launch.endpoint, launch, launch.job.exchange, until)
        except Exception as error:
            # The scheduler needs an end of each launch, also after an unexpected error.
            self.faults += 1
            self.log("internal_error", call="launch", why=f"{type(error).__name__}: {error}")
            outcome = Outcome.ERROR if launch.sent else Outcome.UNSENT
            self.inbox.put(LaunchEnded(launch, outcome, None, ()))

    def reject_job(self, now: int, decision: RejectJob) -> None:
        """Reject a job: it has not run, so a retry is harmless."""
        job = self.jobs[decision.job]
        job.exchange.rejected(decision.retry_after)
        self._close_job(now, job, JobEnd.REJECTED)

    def kill_job(self, now: int, decision: KillJob) -> None:
        """Kill a job: the client is told that it may have run."""
        job = self.jobs[decision.job]
        job.exchange.killed()
        self._close_job(now, job, JobEnd.KILLED)

    def revoke_launch(self, now: int, decision: RevokeLaunch) -> None:
        """Revoke a launch, whether it was sent or not."""
        self._revoke(self.jobs[decision.job].launches[decision.number])

    def follow_endpoints(self, now: int, decision: FollowEndpoints) -> None:
        """Start the watch of the endpoint list unless it already runs."""
        self.discovery.follow()

    # The ends of jobs and launches

    def _withhold(self, now: int, launch: Launch) -> None:
        # The dispatcher may not act any more, and the worker may be excluded by now. Nothing is sent, and the
        # scheduler is told at once.
        job, launch.ended = launch.job, True
        self.scheduler.launch_ended(now, job.id, launch.number, Outcome.UNSENT, 0, False, ())
        if not job.in_flight:
            self._reject_or_kill(now, job)

    def _revoke(self, launch: Launch) -> None:
        if not launch.ended:
            self.loop.cancel(launch.task)
            # A worker does not start a launch before it has received the last byte.
            outcome = Outcome.REVOKED if launch.sent else Outcome.UNSENT
            self.inbox.put(LaunchEnded(launch, outcome, None, ()))

    def _stop_if_clients_left(self, now: int, job: Job | None) -> None:
        """Send nothing more for a job that no client waits for; do nothing if a client has joined since.

        A job with an idempotency key keeps its launches in flight, as a retry is promised their outcome.
        """
        if job is None or not job.exchange.open or not job.exchange.client_has_disconnected():
            return
        if job.exchange.conn is not None:
            job.exchange.open = False
            self._abandon(now, job)
            return
        self.cancel_unsent_launches(now, job)
        if job.exchange.open and not job.in_flight:
            self._reject_or_kill(now, job)

    def cancel_unsent_launches(self, now: int, job: Job) -> None:
        """End the launches that are not fully sent: their last byte must not follow the job's answer."""
        for launch in job.launches:
            if not launch.ended and not launch.sent:
                self.loop.cancel(launch.task)
                self.on_launch_ended(now, LaunchEnded(launch, Outcome.UNSENT, None, ()))

    def _reject_or_kill(self, now: int, job: Job) -> None:
        scheduled = self.scheduler.jobs[job.id]
        self.carry_out(now, self.scheduler.reject_or_kill(scheduled, RETRY_WITHOUT_LEASE_US))

    def _abandon(self, now: int, job: Job) -> None:
        self._close_job(now, job, JobEnd.ABANDONED)
        self.scheduler.job_abandoned(now, job.id)

    def _close_job(self, now: int, job: Job, end: JobEnd) -> None:
        self.job_table.record_end(job, end, now)
        self.cancel_unsent_launches(now, job)
        self.job_table.discard_if_over(job)
