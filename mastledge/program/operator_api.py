"""What operators ask for at the second address, and the figures they read there."""

import time

from mastledge.protocol.control import No

PATIENCE = 700_000  # for the process beside this one: a caller waits for 1 s, and the rules hold from then on
LOOK = 5_000


class OperatorApi:
    def __init__(self, program):
        self.program = program

    def calls(self):
        fleet = self.program.fleet
        more = fleet.calls() if fleet is not None else {}
        if self.program.idempotency is not None:
            repeats = self.program.idempotency
            more["/api/copies"] = {b"GET": repeats.copies}
            if hasattr(repeats, "recount"):
                more["/api/copies"][b"POST"] = repeats.recount
        if self.program.recovery is not None:
            more["/api/recovery"] = {b"GET": self.program.recovery.figures}
        return {
            **more,
            "/api/ready": (b"GET", self.ready),
            "/api/telemetry": (b"GET", self.telemetry),
            "/api/exclude/": (b"POST", self.exclude),
            "/api/include/": (b"POST", self.include),
            "/api/evacuate": (b"POST", self.evacuate),
            "/api/rejoin": (b"POST", self.rejoin),
        }

    def ready(self):
        if not self.program.listener.up():
            why = self.program.fleet.why() if self.program.fleet is not None else ""
            if self.program.recovery is not None and not why:
                why = self.program.recovery.waiting_for()
            raise No(503, f"not ready: {self.program.phase}" + (f"; {why}" if why else ""))
        return "ready"

    def telemetry(self):
        """A line a figure. Counts run from the start of this process."""
        door, router, workers = self.program.listener, self.program.router, self.program.workers
        figures = {f"{what}.{kind}": n for what, kinds in door.ended.items() for kind, n in kinds.items()}
        figures |= {
            "upstream_tries": workers.tries,
            "in_progress": door.in_hand,
            "known_workers": len(router.peers),
            "skipped_workers": router.scheduler.count_skipped_workers(self.program.loop.now()),
        }
        return "".join(f"svc.{name}={n}\n" for name, n in figures.items())

    def known(self, worker):
        if worker not in self.program.router.peers and worker not in self.program.excluded_workers():
            raise No(404, f"nobody has this id: {worker}")

    def exclude(self, worker):
        self.known(worker)
        yield from self.changed(lambda told: told.update(out=sorted({*told["out"], worker})))
        if self.program.fleet is not None:
            # It holds here at once, whatever becomes of the word; once all agree the mark here is not needed.
            answer = yield from self.program.fleet.exclude(worker)
            yield from self.changed(lambda told: told.update(out=sorted({*told["out"]} - {worker})))
            return answer
        return f"{worker} is left out"

    def include(self, worker):
        self.known(worker)
        program, now = self.program, time.time_ns() // 1000
        oldest = now - program.configuration["settings"]["cold_for"]

        def edit(told):
            if worker in told["out"]:
                told["out"].remove(worker)
                told["back"] = {id_: at for id_, at in told["back"].items() if at > oldest} | {worker: now}

        yield from self.changed(edit)
        if program.fleet is not None:
            return (yield from program.fleet.include(worker))
        return f"{worker} may serve"

    def changed(self, edit):
        """Changes what both processes share, and waits until the decisions of both hold it."""
        program = self.program
        serial = program.publish(edit)
        if serial is None:
            raise No(500, "the process beside this one cannot be told")
        last = program.loop.now() + PATIENCE
        while (program.decided_serial or 0) < serial or not program.upgrade_state.other_saw(serial):
            if program.loop.now() >= last:
                program.log("change_not_seen", serial=serial, holds=program.decided_serial)
                return
            yield (-1, 0, program.loop.now() + LOOK)

    def evacuate(self):
        yield from self.changed(lambda told: told.update(draining=True))
        return "draining"

    def rejoin(self):
        program = self.program
        if program.stop_requested and not program.listener.succeeded:
            raise No(409, f"ending: {program.phase}")
        yield from self.changed(lambda told: told.update(draining=False))
        return "serving again"
