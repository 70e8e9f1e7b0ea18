"""The scheduling interface of one dispatcher that hosts call; docs/interface.md describes the calls.

Inputs only update state. The host then calls `decide` until it returns None, and again no later than
`wake_at`. Times are whole microseconds.
"""

from collections import deque
from collections.abc import Collection, Hashable, Iterable, Sequence

from mastledge.scheduling.admission import AdmissionControl
from mastledge.scheduling.affinity import KeyAffinity
from mastledge.scheduling.decisions import (
    Decision,
    FollowEndpoints,
    KillJob,
    LaunchJob,
    RejectJob,
    RevokeLaunch,
    SendLoadMessage,
)
from mastledge.scheduling.eligibility import Eligibility
from mastledge.scheduling.estimation import FleetEstimates
from mastledge.scheduling.fleet_view import EndpointPoll, FleetView, ListKind
from mastledge.scheduling.gossip import LoadGossip
from mastledge.scheduling.hedging import LaunchMonitor, Verdict
from mastledge.scheduling.intake import ANSWER_STEPS, JobIntake
from mastledge.scheduling.launching import Launcher
from mastledge.scheduling.learned_state import learned_state, restore_learned
from mastledge.scheduling.learning import OutcomeLearner
from mastledge.scheduling.load_reports import LoadReports
from mastledge.scheduling.other_load import OtherLoad
from mastledge.scheduling.outcomes import GIVEN_UP, REJECTED, Outcome, may_have_run, repeat_is_harmless
from mastledge.scheduling.outliers import OutlierDetector
from mastledge.scheduling.prediction import (
    fade_slowness,
    move_in_curve,
    remove_from_curve,
    remove_if_connection_is_dead,
    slowness,
)
from mastledge.scheduling.random_source import RandomSource
from mastledge.scheduling.retry import relaunch_limits
from mastledge.scheduling.selection import WorkerSelector
from mastledge.scheduling.slow_start import SlowStart, min_warmth
from mastledge.scheduling.state import Job, Launch, QueueType, Worker
from mastledge.scheduling.subset import CandidateSubset
from mastledge.scheduling.timers import Timers
from mastledge.scheduling.traffic import Traffic

RECOMPUTE_INTERVAL_US = 1_000_000
HELD_STEPS = 5  # clock steps after which a job without an eligible worker is tried again


class Scheduler:
    """The decisions of one dispatcher. Its parts are public for tests and for the policies in the lab."""

    def __init__(
        self, settings: dict, seed: int, now: int, selector_type: type[WorkerSelector] = WorkerSelector
    ):
        """Copy the settings; all randomness comes from the seed."""
        # One dict that all parts share; `reconfigure` replaces its contents.
        self.settings = settings = dict(settings)
        self.queue_types: list[QueueType] = []
        self.jobs: dict = {}
        self.random, self.timers, self.fleet = RandomSource(seed), Timers(), FleetView()
        self.traffic = Traffic(settings)
        self._adopt_terms()
        self.estimates = FleetEstimates(self.queue_types, settings["step"])
        self.admission = AdmissionControl(settings, self.random, self.traffic, self.estimates, now)
        self.admission.set_queue_types(self.queue_types)
        self.reports = LoadReports(settings, self.fleet, self.estimates, self.admission)
        self.gossip = LoadGossip(settings, self.fleet)
        self.other_load = OtherLoad(settings, self.estimates, self.reports, self.gossip)
        self.affinity = KeyAffinity(self.fleet, self.estimates)
        self.intake = JobIntake(settings, self.estimates, self.affinity, self.gossip, self.traffic)
        self.outliers = OutlierDetector(self.fleet)
        self.subset = CandidateSubset(settings, self.random, self.fleet, self.outliers)
        self.slow_start = SlowStart(settings, self.random, self.fleet, self.subset, self.traffic)
        self.eligibility = Eligibility(self.fleet, self.outliers, self.slow_start)
        self.selector = selector_type(
            settings, self.random, self.fleet, self.subset, self.affinity, self.eligibility, self.other_load
        )
        self.monitor = LaunchMonitor(
            settings, self.timers, self.selector, self.outliers, self.admission, self.estimates, self.traffic
        )
        self.launcher = Launcher(
            settings, self.timers, self.affinity, self.other_load, self.slow_start, self.monitor
        )
        self.learner = OutcomeLearner(
            settings, self.estimates, self.traffic, self.affinity, self.outliers, self.other_load
        )
        self._pending, self._revocations = deque(), deque()  # jobs to decide on, launches to revoke
        self._recompute_at, self._shutdown_at = now, None
        self.poll = EndpointPoll(settings, self.random)
        self.poll.begin(now)
        self.recompute()

    # Attributes and queries for hosts.

    @property
    def workers(self) -> dict:
        """Return all known workers, by id."""
        return self.fleet.workers

    @property
    def ready(self) -> list:
        """Return the workers that may get jobs."""
        return self.fleet.ready

    def usable_slots(self, now: int) -> float:
        """Return the slots of all ready workers; one in slow start counts by its minimum capacity."""
        return sum(worker.slots * min_warmth(worker, now, self.settings) for worker in self.ready)

    def learned_state(self) -> dict[str, list]:
        """Return the state that a successor process starts from, as plain values by worker id as text."""
        return learned_state(self.ready)

    def count_skipped_workers(self, now: int) -> int:
        """Return how many listed workers get no jobs now."""
        return self.fleet.count_skipped(now)

    # Inputs about the dispatcher and its workers.

    def update_endpoints(self, now: int, kind: ListKind, entries: Iterable[tuple]) -> None:
        """Apply an update of the endpoint list; docs/interface.md describes its entries."""
        if kind == ListKind.FAILED:
            self.poll.failed(now)
            return
        if kind != ListKind.CACHED:
            self.poll.answered()
        self.fleet.update(now, kind != ListKind.CHANGES, entries)
        self.fleet_changed()

    def set_excluded(self, now: int, excluded: Collection[str], readmitted_at: dict[str, int]) -> None:
        """Set the workers excluded by an operator, and when exclusions were undone, by worker id as text."""
        self.fleet.set_excluded(now, excluded, readmitted_at)
        self.fleet_changed()

    def load_message_received(  # noqa: PLR0913 - the fields of a load message
        self,
        now: int,
        sender: int,
        sent_at: int,
        loads: Iterable[tuple[int, float]],
        key_work: Iterable[tuple[int, float]],
    ) -> None:
        """Apply a load message: another dispatcher's load on each worker, and its recent work per key."""
        if self.gossip.receive(now, sender, sent_at, loads):
            self.affinity.add_key_work(key_work)

    def reconfigure(self, now: int, settings: dict) -> None:
        """Apply new settings; open jobs keep the terms they arrived with, and learned state is kept."""
        follow = self.settings["follow"]
        self.settings.clear()
        self.settings.update(settings)
        self._adopt_terms()
        self.admission.set_queue_types(self.queue_types)
        if settings["follow"] != follow:
            self.poll.begin(now)
        self.recompute()

    def set_traffic_share(self, now: int, share: float) -> None:
        """Set this process's share of the dispatcher's traffic, while the dispatcher is two processes."""
        self.traffic.share = share

    def restore_learned(self, now: int, learned: dict[str, list]) -> None:
        """Restore what another process of this dispatcher learned; called once, at startup."""
        restore_learned(self.ready, learned, now)
        self.outliers.restored(self.ready)
        self.recompute()

    def set_shutdown_time(self, now: int, last: int) -> None:
        """Set when the host shuts down; open jobs are answered while answers can still be sent."""
        self._shutdown_at = last - ANSWER_STEPS * self.settings["step"]
        for job in self.jobs.values():
            job.deadline = min(job.deadline, self._shutdown_at)
            self.timers.set(job.deadline, job)

    # Inputs about jobs and launches; those for unknown jobs and launches are ignored.

    def job_arrived(  # noqa: PLR0913 - called for each job: a parameter object would cost CPU
        self,
        now: int,
        job_id: Hashable,
        queue_type: int,
        hint: int,
        key: int,
        width: float,
        memory: float,
        tenant: int,
        patience: int,
    ) -> None:
        """Take an arriving job; hint 0 and key 0 mean none, `patience` is the time left of this attempt."""
        job = Job(job_id, self.queue_types[queue_type], now)
        job.key, job.hint, job.load, job.tenant = key, hint, max(width, memory), tenant
        self.intake.take(job, patience, now, self._shutdown_at)
        self.monitor.job_arrived()
        self.jobs[job_id] = job
        self._pending.append(job)
        self.timers.set(job.deadline, job)

    def job_abandoned(self, now: int, job_id: Hashable) -> None:
        """Close the job, as its client disconnected."""
        job = self.jobs.get(job_id)
        if job is not None and not job.ended:
            self.close_job(job)

    def launch_started(self, now: int, job_id: Hashable, number: int) -> None:
        """Process a worker's note that the launch started."""
        launch = self._find_launch(job_id, number)
        if launch is None or launch.started_at or launch.ended:
            return
        job, worker = launch.job, launch.worker
        launch.started_at = launch.heard_at = worker.heard_at = now
        if launch.curve_entry is None:
            return
        if job.in_flight > 1 and self.settings["may_revoke"]:
            self._revocations.extend(
                other for other in job.launches if not other.started_at and not other.ended
            )
        wait = self.other_load.observe_start(launch, now)
        self.admission.observe_wait(max(0, wait), now)
        end = now + int((launch.mean + job.variation) * slowness(worker, now, self.settings))
        move_in_curve(launch, end)
        self.timers.set(end, launch)

    def launch_progressed(self, now: int, job_id: Hashable, number: int, share: float) -> None:
        """Process a worker's progress note; `share` is the part that is done."""
        launch = self._find_launch(job_id, number)
        if launch is not None and not launch.ended:
            launch.heard_at = launch.worker.heard_at = now

    def launch_unconfirmed(self, now: int, job_id: Hashable, number: int) -> None:
        """Process that the worker did not confirm the launch in the time in which others do."""
        launch = self._find_launch(job_id, number)
        if launch is not None:
            remove_if_connection_is_dead(launch)

    def launch_ended(  # noqa: PLR0913 - called for each launch: a parameter object would cost CPU
        self,
        now: int,
        job_id: Hashable,
        number: int,
        outcome: Outcome,
        lag: int,
        final: bool,
        report: Sequence[float],
    ) -> None:
        """Process the end of a launch, `lag` after it was sent.

        `final`: the job has its final answer. `report`: the worker's load report, or empty.
        """
        launch = self._find_launch(job_id, number)
        if launch is None or launch.ended:
            return
        job = launch.job
        launch.ended, launch.may_have_run = True, may_have_run(outcome)
        job.in_flight -= 1
        if launch.curve_entry is not None:
            remove_from_curve(launch)
            # Launches that never started count as waits too: they waited longest, and most under overload.
            if outcome in REJECTED:
                self.admission.observe_wait(self.admission.mean_slack, now)
            elif outcome in GIVEN_UP and not launch.started_at:
                self.admission.observe_wait(now - launch.sent_at, now)
        self.learner.learn(launch, outcome, lag, now)
        self.reports.learn(launch, report, now)
        if final or job.ended:
            self.close_job(job)
        else:
            self._pending.append(job)

    def wake_at(self) -> int | None:
        """Return the latest time for the next call of `decide`; None: nothing is due."""
        timer_at, poll_at, message_at = self.timers.next_due(), self.poll.poll_at, self.gossip.message_at
        if poll_at is None and message_at is None:
            return timer_at
        return min(at for at in (timer_at, poll_at, message_at) if at is not None)

    def decide(self, now: int) -> Decision | None:
        """Return the next decision; None: there is none now."""
        if self._recompute_at <= now:
            self.decay(now)
        # Checks for None save calls, as most decisions are neither polls nor load messages.
        poll, gossip = self.poll, self.gossip
        if poll.poll_at is not None and poll.is_due(now):
            return FollowEndpoints()
        if gossip.message_at is not None and gossip.is_due(now, bool(self.jobs)):
            return SendLoadMessage(now, *gossip.message())
        while (subject := self.timers.pop_due(now)) is not None:
            if subject.__class__ is Launch:
                self.check_launch(subject, now)
            else:
                self._pending.append(subject)
        while self._revocations:
            launch = self._revocations.popleft()
            if not launch.ended and not launch.revoked:
                launch.revoked = True
                return RevokeLaunch(launch.job.id, launch.number)
        while self._pending:
            job = self._pending.popleft()
            if not job.ended and (decision := self.decide_job(job, now)) is not None:
                return decision
        return None

    def decide_job(self, job: Job, now: int) -> Decision | None:
        """Return the decision on a job now; None: there is none."""
        if now >= job.deadline:
            return self.reject_or_kill(job, 0)
        wants_hedge, job.wants_hedge = job.wants_hedge, False
        if job.in_flight and not wants_hedge:
            return None
        limits = relaunch_limits(job, self.settings["launches"], now)
        if limits is None:
            return None if job.in_flight else self.reject_or_kill(job, 0)
        best, wait = self.selector.pick(job, now, limits.group_worker)
        if best is None:
            return self._hold(job, now, limits)
        self.admission.update_pressure(now)
        if not job.launches and self.admission.should_shed(job, wait, best, now):
            return self.reject_or_kill(job, wait)
        if job.in_flight:
            self.monitor.budget -= 1
        return self.launch(job, best, now, limits.until)

    def reject_or_kill(self, job: Job, wait: float) -> RejectJob | KillJob:
        """Reject the job if a retry is harmless, else kill it."""
        is_harmless = repeat_is_harmless(job)
        self.close_job(job)
        if is_harmless:
            return RejectJob(job.id, self.admission.retry_after(wait))
        return KillJob(job.id)

    def launch(self, job: Job, worker: Worker, now: int, until: int | None = None) -> LaunchJob:
        """Launch the job on the worker; it has to be sent before `until` (None: no limit)."""
        return self.launcher.launch(job, worker, now, until)

    def check_launch(self, launch: Launch, now: int) -> None:
        """Check a launch whose timer is due, and act on the verdict."""
        job, verdict = launch.job, self.monitor.check(launch, now)
        if verdict is Verdict.GIVE_UP:
            job.deadline = now
            self._pending.append(job)
        elif verdict is Verdict.HEDGE:
            job.wants_hedge = True
            self._pending.append(job)
        elif verdict is Verdict.MOVE:
            self.monitor.budget -= 1
            self._revocations.append(launch)

    def _hold(self, job, now, limits):
        """Hold a job without an eligible worker until its target, and at least for the connect timeout.

        A repeat that has to stay in a group is held for as long as the group may still take it.
        """
        if job.in_flight:
            return None
        connect_timeout = self.settings["connect_timeout"]
        if limits.group_worker is None and now >= max(job.target_at, job.arrived_at + connect_timeout):
            return self.reject_or_kill(job, connect_timeout)
        self.timers.set(now + HELD_STEPS * self.settings["step"], job)
        return None

    def _find_launch(self, job_id, number):
        job = self.jobs.get(job_id)
        return job.launches[number] if job is not None and number < len(job.launches) else None

    def close_job(self, job: Job) -> None:
        """Close a job that has its final answer; revoke its launches in flight if the settings allow it."""
        job.ended = True
        if not job.in_flight:
            self.jobs.pop(job.id, None)
        elif self.settings["may_revoke"]:
            self._revocations.extend(launch for launch in job.launches if not launch.ended)

    def _adopt_terms(self):
        """Adopt the configured queue types and tenants; those with the same name keep their learned state."""
        previous = {queue_type.name: queue_type for queue_type in self.queue_types}
        all_terms = self.settings["queue_types"]
        self.queue_types = [QueueType(terms, previous.get(terms["name"])) for terms in all_terms]
        self.traffic.set_tenants(self.settings["tenants"])

    def fleet_changed(self) -> None:
        """Recompute what depends on the set of ready workers, after it changed."""
        self.affinity.fleet_changed()
        self.recompute()

    def decay(self, now: int) -> None:
        """Decay learned values and recompute fleet-wide values, once a second."""
        self._recompute_at = now + RECOMPUTE_INTERVAL_US
        self.traffic.decay()
        self.recompute()
        self.gossip.expire(now)
        self.affinity.decay()
        fade_slowness(self.ready, self.estimates.running_time.mean)
        self.slow_start.update_warming_up(now)

    def recompute(self) -> None:
        """Recompute fleet-wide values; doing this for each job would cost more than the decisions."""
        slots_are_reported = self.reports.recompute()
        self.outliers.count()
        self.slow_start.recompute(self.queue_types, slots_are_reported)
        self.traffic.recompute()
        self.subset.recompute(self.traffic.arrival_rate)
        self.gossip.recompute(self.traffic.arrival_rate)
