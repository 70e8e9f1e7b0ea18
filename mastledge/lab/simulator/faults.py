"""Fault injection in the simulator: the steps of a scenario, carried out when they are due."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from mastledge.lab.scenario import Step
from mastledge.lab.simulator.outages import OutageSeries

if TYPE_CHECKING:
    from mastledge.lab.simulator.dispatcher import Dispatcher
    from mastledge.lab.simulator.simulation import Simulation

ENDLESS = float("inf")
ENDED_BY_ITS_EFFECT = {"kill", "stop", "cut"}  # faults that last until what they did is over
READY_POLL_US = 20_000
CALL_BACK_COLD_US = 1  # the shortest: simulated schedulers are told of no call-backs


@dataclass(slots=True)
class FaultSpan:
    """One fault and how long it lasts, in microseconds of the simulation."""

    who: str
    fault: str
    began_at: int
    ended_at: float = ENDLESS

    def as_record(self) -> dict:
        """As it stands in a record."""
        return {"who": self.who, "fault": self.fault, "from": self.began_at, "to": self.ended_at}


class FaultInjector:
    """Carries out faults and calls; keeps the spans of all faults."""

    def __init__(self, simulation: Simulation) -> None:
        """Has done nothing."""
        self.simulation = simulation
        self.spans: list[FaultSpan] = []
        self.handlers: dict[str, Callable[[Step, FaultSpan], None]] = {
            "kill": self._kill,
            "all": self._kill_all,
            "stop": self._stop,
            "cut": self._cut_step,
            "outages": self._outages,
            "restart": self._restart_worker,
            "drain": self._set_worker_state,
            "ready": self._set_worker_state,
            "gone": self._set_worker_state,
            "worker": self._trouble_worker,
            "list_late": self._delay_watch,
            "list_silent": self._silence_watch,
            "list_down": self._stop_discovery,
            "list_empty": self._empty_list,
        }

    def begin_span(self, who: str, fault: str) -> FaultSpan:
        """A fault begins now, and has no end yet."""
        span = FaultSpan(who, fault, self.simulation.now)
        self.spans.append(span)
        return span

    def end_span(self, span: FaultSpan) -> None:
        """The fault is over now."""
        span.ended_at = self.simulation.now

    def carry_out(self, step: Step) -> None:
        """One step of the scenario."""
        if step.call:
            self._call(step)
            return
        span = self.begin_span(step.who, step.fault)
        if step.fault not in ENDED_BY_ITS_EFFECT:
            span.ended_at = self.simulation.now + int(step.seconds * 1e6)
        self.handlers[step.fault](step, span)

    def _after(self, seconds: float, call: Callable, *fields: object) -> None:
        self.simulation.at(int(seconds * 1e6), call, *fields)

    def _call(self, step: Step) -> None:
        simulation = self.simulation
        change = {"kind": "out", "worker": step.worker}
        if step.call == "include":
            cold_for = CALL_BACK_COLD_US
            change = {"kind": "back", "worker": step.worker, "at": simulation.now, "cold_for": cold_for}
        if simulation.has_consensus:
            call_id = f"call{len(simulation.events)}"
            simulation.propose(step.who, call_id, {**change, "by": step.who})

    # Dispatchers

    def _kill(self, step: Step, span: FaultSpan) -> None:
        dispatcher = self.simulation.dispatchers[step.who]
        dispatcher.crash()
        if step.seconds:
            self._after(step.seconds, self.start_again, dispatcher, span)

    def _kill_all(self, step: Step, span: FaultSpan) -> None:
        span.ended_at = 0  # each dispatcher has a span of its own
        for name, dispatcher in self.simulation.dispatchers.items():
            own = self.begin_span(name, "kill")
            dispatcher.crash()
            self._after(step.seconds, self.start_again, dispatcher, own)

    def start_again(
        self, dispatcher: Dispatcher, span: FaultSpan, then: Callable[[], None] | None = None
    ) -> None:
        """Starts a process; once it is ready the span ends, and `then` is called."""
        dispatcher.boot()
        self._poll_ready(dispatcher, dispatcher.incarnation, span, then)

    def _poll_ready(
        self, dispatcher: Dispatcher, incarnation: int, span: FaultSpan, then: Callable[[], None] | None
    ) -> None:
        if incarnation != dispatcher.incarnation:
            self.end_span(span)  # a later fault has come
        elif dispatcher.is_ready:
            self.end_span(span)
            if then is not None:
                then()
        else:
            self.simulation.at(READY_POLL_US, self._poll_ready, dispatcher, incarnation, span, then)

    def _stop(self, step: Step, span: FaultSpan) -> None:
        simulation = self.simulation
        stopped_until = simulation.now + int(step.seconds * 1e6)
        simulation.dispatchers[step.who].stopped_until = stopped_until
        if simulation.has_consensus:
            simulation.nodes[step.who].until = stopped_until
        self._after(step.seconds, self.end_span, span)

    def _cut_step(self, step: Step, span: FaultSpan) -> None:
        others = [step.to] if step.to else [name for name in self.simulation.dispatchers if name != step.who]
        self.cut_links(step.who, others, step.seconds)
        self._after(step.seconds, self.end_span, span)

    def cut_links(self, name: str, others: list[str], seconds: float) -> None:
        """Cuts one dispatcher off from others, both ways, for so long."""
        cut = self.simulation.cut
        pairs = {(name, other) for other in others} | {(other, name) for other in others}
        cut |= pairs
        self._after(seconds, cut.difference_update, pairs)

    def _outages(self, step: Step, span: FaultSpan) -> None:
        OutageSeries(self, int(step.amount), step.seconds).start(0)

    # Workers

    def _restart_worker(self, step: Step, span: FaultSpan) -> None:
        self.simulation.restart_worker(step.worker)

    def _set_worker_state(self, step: Step, span: FaultSpan) -> None:
        state = "draining" if step.fault == "drain" else step.fault
        self.simulation.discovery.set_state(step.worker, state)

    def _trouble_worker(self, step: Step, span: FaultSpan) -> None:
        self.simulation.workers[step.worker].troubles.add(self.simulation.now, step)

    # Discovery

    def _delay_watch(self, step: Step, span: FaultSpan) -> None:
        watch = self.simulation.dispatchers[step.who].watch
        watch.delay_s = step.amount
        self._after(step.seconds, setattr, watch, "delay_s", 0)

    def _silence_watch(self, step: Step, span: FaultSpan) -> None:
        watch = self.simulation.dispatchers[step.who].watch
        watch.is_silent = True
        self._after(step.seconds, setattr, watch, "is_silent", False)

    def _stop_discovery(self, step: Step, span: FaultSpan) -> None:
        discovery = self.simulation.discovery
        discovery.is_down = True
        self._after(step.seconds, setattr, discovery, "is_down", False)

    def _empty_list(self, step: Step, span: FaultSpan) -> None:
        """Discovery tells that there is nobody, and later of all that there are."""
        discovery = self.simulation.discovery
        discovery.publish_empty()
        self._after(step.seconds, discovery.publish_all)
