"""What operators ask for at the second address, and the figures they read there."""

import time

from mastledge.protocol.errors import CallRefusedError

# For the sibling process: a caller waits for 1 s, and what was changed holds from then on all the same.
SIBLING_TIMEOUT_US = 700_000
SIBLING_POLL_US = 5_000


class OperatorApi:
    """The calls of operators. Each returns its answer's text, some as a coroutine; or CallRefusedError."""

    def __init__(self, program):
        """`program`: the dispatcher that is asked."""
        self._program = program

    def calls(self) -> dict:
        """Each path with its method and its call, or with its calls by method."""
        return {
            **self._calls_of_parts(),
            "/api/ready": (b"GET", self.ready),
            "/api/telemetry": (b"GET", self.telemetry),
            "/api/exclude/": (b"POST", self.exclude),
            "/api/include/": (b"POST", self.include),
            "/api/evacuate": (b"POST", self.evacuate),
            "/api/rejoin": (b"POST", self.rejoin),
        }

    def _calls_of_parts(self):
        fleet, idempotency, recovery = self._program.fleet, self._program.idempotency, self._program.recovery
        calls = fleet.api.calls() if fleet is not None else {}
        if idempotency is not None:
            calls["/api/copies"] = {b"GET": idempotency.copies}
            if hasattr(idempotency, "recount"):
                calls["/api/copies"][b"POST"] = idempotency.recount
        if recovery is not None:
            calls["/api/recovery"] = {b"GET": recovery.figures}
        return calls

    def ready(self) -> str:
        """Whether the dispatcher takes jobs; a refusal names the phase and what is waited for."""
        if self._program.listener.is_ready():
            return "ready"
        why = self._why_not_ready()
        raise CallRefusedError(503, f"not ready: {self._program.phase}" + (f"; {why}" if why else ""))

    def _why_not_ready(self):
        fleet, recovery = self._program.fleet, self._program.recovery
        why = fleet.no_lease_reason() if fleet is not None else ""
        if not why and recovery is not None:
            why = recovery.waiting_for()
        return why

    def telemetry(self) -> str:
        """A line a figure. Counts run from the start of this process."""
        listener, router, workers = self._program.listener, self._program.router, self._program.workers
        figures = {
            f"{outcome}.{queue_type}": count
            for outcome, counts in listener.jobs.ended.items()
            for queue_type, count in counts.items()
        }
        figures |= {
            "upstream_tries": workers.sent_launches,
            "in_progress": listener.jobs.in_hand,
            "known_workers": len(router.endpoints),
            "skipped_workers": router.scheduler.count_skipped_workers(self._program.loop.now()),
        }
        return "".join(f"svc.{name}={figure}\n" for name, figure in figures.items())

    def exclude(self, worker: str):
        """Coroutine: from its answer on the worker gets no new jobs."""
        self._require_known(worker)
        yield from self._change(lambda shared: shared.update(out=sorted({*shared["out"], worker})))
        if self._program.fleet is None:
            return f"{worker} is left out"
        # It holds here at once, whatever becomes of the proposal; once that is committed the mark here is not
        # needed.
        answer = yield from self._program.fleet.api.exclude(worker)
        yield from self._change(lambda shared: shared.update(out=sorted({*shared["out"]} - {worker})))
        return answer

    def include(self, worker: str):
        """Coroutine: the worker may get jobs again; it counts as warming up."""
        self._require_known(worker)
        now = time.time_ns() // 1000
        warm_before = now - self._program.configuration["settings"]["cold_for"]

        def edit(shared):
            if worker in shared["out"]:
                shared["out"].remove(worker)
                warming = {id_: at for id_, at in shared["back"].items() if at > warm_before}
                shared["back"] = warming | {worker: now}

        yield from self._change(edit)
        if self._program.fleet is not None:
            return (yield from self._program.fleet.api.include(worker))
        return f"{worker} may serve"

    def evacuate(self):
        """Coroutine: the dispatcher drains until it is told to rejoin."""
        yield from self._change(lambda shared: shared.update(draining=True))
        return "draining"

    def rejoin(self):
        """Coroutine: ends a drain; refused where the process is ending and no other has taken over."""
        program = self._program
        if program.stop_requested and not program.listener.succeeded:
            raise CallRefusedError(409, f"ending: {program.phase}")
        yield from self._change(lambda shared: shared.update(draining=False))
        return "serving again"

    def _require_known(self, worker):
        if worker not in self._program.router.endpoints and worker not in self._program.excluded_workers():
            raise CallRefusedError(404, f"nobody has this id: {worker}")

    def _change(self, edit):
        """Changes what both processes share, and waits until the decisions of both hold it."""
        program, sibling = self._program, self._program.sibling
        serial = sibling.publish(edit)
        if serial is None:
            raise CallRefusedError(500, "the process beside this one cannot be told")
        wait_until = program.loop.now() + SIBLING_TIMEOUT_US
        while (sibling.decided_serial or 0) < serial or not program.upgrade_state.sibling_took_up(serial):
            if program.loop.now() >= wait_until:
                program.log("change_not_seen", serial=serial, holds=sibling.decided_serial)
                return
            yield (-1, 0, program.loop.now() + SIBLING_POLL_US)
