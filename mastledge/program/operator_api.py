"""The operators' API: readiness, telemetry, excluded workers and drains."""

import time

from mastledge.protocol.errors import CallRefusedError

# Wait for the sibling to apply a change; below the 1 s that a caller waits. The change holds in any case.
SIBLING_TIMEOUT_US = 700_000
SIBLING_POLL_US = 5_000


class OperatorApi:
    """The operators' calls.

    Each returns the text of its answer, some as a coroutine, or raises CallRefusedError.
    """

    def __init__(self, program):
        """Answer the calls for the dispatcher `program`."""
        self._program = program

    def calls(self) -> dict:
        """Return each path with its method and call, or with a dict of calls by method."""
        return {
            **self._calls_of_components(),
            "/api/ready": (b"GET", self.ready),
            "/api/telemetry": (b"GET", self.telemetry),
            "/api/exclude/": (b"POST", self.exclude),
            "/api/include/": (b"POST", self.include),
            "/api/evacuate": (b"POST", self.evacuate),
            "/api/rejoin": (b"POST", self.rejoin),
        }

    def _calls_of_components(self):
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
        """Return "ready" if the dispatcher accepts jobs; otherwise refuse with the phase and the reason."""
        if self._program.listener.is_ready():
            return "ready"
        reason = self._not_ready_reason()
        raise CallRefusedError(503, f"not ready: {self._program.phase}" + (f"; {reason}" if reason else ""))

    def _not_ready_reason(self):
        fleet, recovery = self._program.fleet, self._program.recovery
        reason = fleet.no_lease_reason() if fleet is not None else ""
        if not reason and recovery is not None:
            reason = recovery.waiting_for()
        return reason

    def telemetry(self) -> str:
        """Return one line per metric. Counters start at zero with the process."""
        listener, router, workers = self._program.listener, self._program.router, self._program.workers
        metrics = {
            f"{outcome}.{queue_type}": count
            for outcome, counts in listener.jobs.outcome_counts.items()
            for queue_type, count in counts.items()
        }
        metrics |= {
            "upstream_tries": workers.sent_launches,
            "in_progress": listener.jobs.open_jobs,
            "known_workers": len(router.endpoints),
            "skipped_workers": router.scheduler.count_skipped_workers(self._program.loop.now()),
        }
        return "".join(f"svc.{name}={value}\n" for name, value in metrics.items())

    def exclude(self, worker: str):
        """Coroutine: exclude a worker, which gets no new jobs once the call is answered."""
        self._require_known(worker)
        yield from self._change(lambda shared: shared.update(out=sorted({*shared["out"], worker})))
        if self._program.fleet is None:
            return f"{worker} is left out"
        # Excluded locally at once, whether or not the proposal commits; after the commit the local mark is
        # redundant.
        answer = yield from self._program.fleet.api.exclude(worker)
        yield from self._change(lambda shared: shared.update(out=sorted({*shared["out"]} - {worker})))
        return answer

    def include(self, worker: str):
        """Coroutine: include a worker again, which then counts as warming up."""
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
        """Coroutine: drain the dispatcher until `rejoin`."""
        yield from self._change(lambda shared: shared.update(draining=True))
        return "draining"

    def rejoin(self):
        """Coroutine: end a drain; refused if the process is shutting down without a successor."""
        program = self._program
        if program.stop_requested and not program.listener.has_successor:
            raise CallRefusedError(409, f"ending: {program.phase}")
        yield from self._change(lambda shared: shared.update(draining=False))
        return "serving again"

    def _require_known(self, worker):
        if worker not in self._program.router.endpoints and worker not in self._program.excluded_workers():
            raise CallRefusedError(404, f"nobody has this id: {worker}")

    def _change(self, edit):
        """Coroutine: edit the shared state and wait until the schedulers of both processes apply it."""
        program, sibling = self._program, self._program.sibling
        serial = sibling.publish(edit)
        if serial is None:
            raise CallRefusedError(500, "the process beside this one cannot be told")
        wait_until = program.loop.now() + SIBLING_TIMEOUT_US
        while (sibling.applied_serial or 0) < serial or not program.upgrade_state.sibling_has_applied(serial):
            if program.loop.now() >= wait_until:
                program.log("change_not_seen", serial=serial, holds=sibling.applied_serial)
                return
            yield (-1, 0, program.loop.now() + SIBLING_POLL_US)
