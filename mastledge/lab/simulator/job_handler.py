"""The jobs of a simulated dispatcher: admission, the scheduler's decisions, launches, and replies."""

from __future__ import annotations

from collections.abc import Collection
from typing import TYPE_CHECKING

from mastledge.lab.simulator.jobs import Attempt, Launch, Reply
from mastledge.recovery.admission_ramp import AdmittedJobOutcome
from mastledge.scheduling.decisions import (
    Decision,
    FollowEndpoints,
    KillJob,
    LaunchJob,
    RejectJob,
    RevokeLaunch,
)
from mastledge.scheduling.outcomes import Outcome

if TYPE_CHECKING:
    from mastledge.lab.simulator.dispatcher import Dispatcher

NO_LEASE_HOLD_OFF_US = 250_000  # where the dispatcher does not know what is in force
OUTCOME_BY_STATUS = {200: AdmittedJobOutcome.COMPLETED, 503: AdmittedJobOutcome.REJECTED}


class JobHandler:
    """What the present incarnation of a dispatcher has under way."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        """Has no jobs."""
        self.dispatcher = dispatcher
        self.attempts: dict[int, Attempt] = {}  # by the scheduler's id
        self.last_id = 0
        self.wake_at: int | None = None  # the call of `wake` that counts

    def start(self) -> None:
        """A new process."""
        self.attempts, self.last_id, self.wake_at = {}, 0, None

    def clear(self) -> list[Attempt]:
        """Forgets all jobs; their attempts."""
        attempts, self.attempts = self.attempts, {}
        return list(attempts.values())

    # Admission

    def receive(self, attempt: Attempt, incarnation: int) -> None:
        """The request of an attempt arrives, meant for this incarnation of the dispatcher."""
        dispatcher = self.dispatcher
        simulation = dispatcher.simulation
        if incarnation != dispatcher.incarnation or dispatcher.scheduler is None:
            simulation.clients.connection_lost(attempt, "ConnectionError")
            return
        if dispatcher.defer_while_stopped(self.receive, attempt, incarnation):
            return
        attempt.arrived_at = simulation.now
        attempt.deadline = simulation.now + int(attempt.queue_type.walltime_ms * 1000)
        hold_off_us = self._admission_hold_off(attempt)
        if hold_off_us is not None:
            self.answer(attempt, Reply(503, hold_off_us), is_admitted=False)
        elif simulation.keys is None or not attempt.key:
            self.submit(attempt)
        else:
            dispatcher.claims.offer(attempt)

    def _admission_hold_off(self, attempt: Attempt) -> int | None:
        """None for an attempt that is admitted."""
        dispatcher = self.dispatcher
        simulation = dispatcher.simulation
        if not dispatcher.may_act():
            return min(NO_LEASE_HOLD_OFF_US, simulation.settings["most_hold_off"])
        if dispatcher.recovery.ramp is None:
            return None
        return dispatcher.recovery.ramp.admit(simulation.now, bool(attempt.number))

    def submit(self, attempt: Attempt) -> None:
        """Gives an admitted job to the scheduler."""
        simulation = self.dispatcher.simulation
        now = simulation.now
        self.last_id += 1
        attempt.job_id = self.last_id
        self.attempts[attempt.job_id] = attempt
        types = [one.name for one in simulation.scenario.clients.queue_types]
        type_index = types.index(attempt.queue_type.name)
        walltime = attempt.deadline - now
        self.dispatcher.scheduler.job_arrived(now, attempt.job_id, type_index, 0, 0, 1.0, 0.0, 0, walltime)
        self.run_scheduler()

    # Replies

    def answer(self, attempt: Attempt, reply: Reply, is_admitted: bool = True) -> None:
        """Ends an attempt; a keyed job that was launched is replicated before its client hears of it."""
        if not attempt.is_open:
            return
        attempt.is_open = False
        claims = self.dispatcher.claims
        if attempt.job_id is not None and claims.holds(attempt):
            claims.replicate_outcome(attempt, reply)
            return
        self.send_reply(attempt, reply, is_admitted)

    def send_reply(self, attempt: Attempt, reply: Reply, is_admitted: bool = True) -> None:
        """The reply goes to the client; what was admitted counts for the ramp."""
        simulation = self.dispatcher.simulation
        if is_admitted:
            self._record_outcome(attempt, OUTCOME_BY_STATUS.get(reply.status, AdmittedJobOutcome.FAILED))
        simulation.at(simulation.link_delay(), simulation.clients.receive_reply, attempt, reply)

    def _record_outcome(self, attempt: Attempt, outcome: AdmittedJobOutcome) -> None:
        ramp, now = self.dispatcher.recovery.ramp, self.dispatcher.simulation.now
        if ramp is not None:
            ramp.record_outcome(now, outcome, now - attempt.arrived_at)

    def client_left(self, attempt: Attempt) -> None:
        """The client has gone. A keyed job that the scheduler has is seen through."""
        dispatcher = self.dispatcher
        if attempt.claim_id and dispatcher.claims.holds(attempt):
            if attempt.job_id is None:
                dispatcher.claims.withdraw(attempt)
                attempt.is_open = False
                self._record_outcome(attempt, AdmittedJobOutcome.FAILED)
            return
        is_known = attempt.job_id is not None and self.attempts.get(attempt.job_id) is attempt
        if attempt.is_open and is_known:
            attempt.is_open = False
            self._record_outcome(attempt, AdmittedJobOutcome.FAILED)
            dispatcher.scheduler.job_abandoned(dispatcher.simulation.now, attempt.job_id)
            self.run_scheduler()

    # News of launches

    def launch_started(self, launch: Launch) -> None:
        """The worker says that it has begun."""
        if not self._concerns(launch):
            return
        dispatcher = self.dispatcher
        if dispatcher.defer_while_stopped(self.launch_started, launch):
            return
        now = dispatcher.simulation.now
        dispatcher.scheduler.launch_started(now, launch.attempt.job_id, launch.number)
        self.run_scheduler()

    def launch_ended(self, launch: Launch, outcome: Outcome) -> None:
        """The launch is over, by its worker, its connection or its time."""
        if not self._concerns(launch):
            return
        dispatcher, attempt = self.dispatcher, launch.attempt
        if dispatcher.defer_while_stopped(self.launch_ended, launch, outcome):
            return
        now = dispatcher.simulation.now
        launch.is_ended = True
        if outcome is Outcome.COMPLETED:
            self.answer(attempt, Reply(200, 0, f"{launch.worker.name} {attempt.name}"))
        is_final = not attempt.is_open
        dispatcher.scheduler.launch_ended(
            now, attempt.job_id, launch.number, outcome, now - launch.launched_at, is_final, ()
        )
        if is_final:
            self._forget_if_done(attempt)
        self.run_scheduler()

    def _concerns(self, launch: Launch) -> bool:
        """Whether news of a launch still matter: it is of this incarnation, and not over."""
        dispatcher = self.dispatcher
        is_own = launch.dispatcher_incarnation == dispatcher.incarnation and dispatcher.scheduler is not None
        return is_own and not launch.is_ended

    def _forget_if_done(self, attempt: Attempt) -> None:
        if all(launch.is_ended for launch in attempt.launches):
            self.attempts.pop(attempt.job_id, None)

    def recall_unsent(self, workers: Collection[str]) -> None:
        """Takes back what is not sent yet to these workers."""
        for attempt in self.attempts.values():
            for launch in attempt.launches:
                if launch.worker.name in workers and not launch.is_sent and not launch.is_ended:
                    self.launch_ended(launch, Outcome.UNSENT)

    # Decisions

    def run_scheduler(self) -> None:
        """Carries out all that is decided now, and wakes the scheduler when it wants to be."""
        simulation, scheduler = self.dispatcher.simulation, self.dispatcher.scheduler
        now = simulation.now
        while (decision := scheduler.decide(now)) is not None:
            self._carry_out(now, decision)
        wake_at = scheduler.wake_at()
        if wake_at is None:
            return
        wake_at = max(wake_at, now + 1)
        if self.wake_at is None or wake_at < self.wake_at or self.wake_at <= now:
            self.wake_at = wake_at
            simulation.at(wake_at - now, self.wake, self.dispatcher.incarnation, wake_at)

    def wake(self, incarnation: int, wake_at: int) -> None:
        """The time of the scheduler's wake-up, unless another one counts by now."""
        dispatcher = self.dispatcher
        if incarnation != dispatcher.incarnation or not dispatcher.is_up or self.wake_at != wake_at:
            return
        if dispatcher.defer_while_stopped(self.wake, incarnation, wake_at):
            return
        self.wake_at = None
        self.run_scheduler()

    def _carry_out(self, now: int, decision: Decision) -> None:
        match decision:
            case LaunchJob(job_id, worker, within):
                self._launch(now, job_id, worker, within)
            case RejectJob(job_id, retry_after):
                self._end(job_id, Reply(503, retry_after))
            case KillJob(job_id):
                self._end(job_id, Reply(500))
            case RevokeLaunch(job_id, number):
                self._revoke(job_id, number)
            case FollowEndpoints():
                pass  # every change of the list reaches the dispatchers of the simulation
            case _:
                raise TypeError(f"no such decision: {decision}")

    def _launch(self, now: int, job_id: int, worker_name: str, within: int) -> None:
        dispatcher, attempt = self.dispatcher, self.attempts[job_id]
        simulation = dispatcher.simulation
        worker = simulation.workers[worker_name]
        launch = Launch(
            attempt=attempt,
            number=len(attempt.launches),
            worker=worker,
            worker_started_at=worker.started_at,
            dispatcher_incarnation=dispatcher.incarnation,
            launched_at=now,
            send_by=min(attempt.deadline, now + within) if within else attempt.deadline,
        )
        attempt.launches.append(launch)
        simulation.at(simulation.link_delay(), self.send, launch)
        simulation.at(max(1, attempt.deadline - now), self.launch_ended, launch, Outcome.TIMEOUT)

    def send(self, launch: Launch) -> None:
        """The last byte of a launch goes out, where that is still allowed."""
        dispatcher = self.dispatcher
        if launch.dispatcher_incarnation != dispatcher.incarnation or not dispatcher.is_up or launch.is_ended:
            return
        if dispatcher.defer_while_stopped(self.send, launch):
            return
        simulation = dispatcher.simulation
        is_excluded = launch.worker.name in dispatcher.excluded
        if not dispatcher.may_act() or is_excluded or simulation.now >= launch.send_by:
            self.launch_ended(launch, Outcome.UNSENT)
            return
        if launch.worker.state == "gone":
            simulation.at(simulation.link_delay(), self.launch_ended, launch, Outcome.UNREACHABLE)
            return
        launch.is_sent = True
        simulation.at(simulation.link_delay(), simulation.deliver, launch)

    def _end(self, job_id: int, reply: Reply) -> None:
        attempt = self.attempts[job_id]
        self.answer(attempt, reply)
        self._forget_if_done(attempt)

    def _revoke(self, job_id: int, number: int) -> None:
        if job_id not in self.attempts:
            return
        launch = self.attempts[job_id].launches[number]
        if not launch.is_ended:
            outcome = Outcome.REVOKED if launch.is_sent else Outcome.UNSENT
            self.dispatcher.simulation.at(0, self.launch_ended, launch, outcome)
