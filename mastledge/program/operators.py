"""What operators ask for at the second address, and the figures they read there."""

from mastledge.protocol.control import No


class Operators:
    def __init__(self, program):
        self.program = program

    def calls(self):
        return {"/api/ready": (b"GET", self.ready), "/api/telemetry": (b"GET", self.telemetry),
                "/api/evacuate": (b"POST", self.evacuate), "/api/rejoin": (b"POST", self.rejoin)}

    def ready(self):
        if not self.program.door.up():
            raise No(503, f"not ready: {self.program.phase}")
        return "ready"

    def telemetry(self):
        """A line a figure. Counts run from the start of this process."""
        door, router, workers = self.program.door, self.program.router, self.program.workers
        figures = {f"{what}.{kind}": n for what, kinds in door.ended.items() for kind, n in kinds.items()}
        figures |= {"upstream_tries": workers.tries, "in_progress": door.in_hand,
                    "known_workers": len(router.peers),
                    "skipped_workers": router.balancer.skipped(self.program.loop.now())}
        return "".join(f"svc.{name}={n}\n" for name, n in figures.items())

    def evacuate(self):
        self.program.evacuate()
        return "draining"

    def rejoin(self):
        if not self.program.rejoin():
            raise No(409, f"ending: {self.program.phase}")
        return "serving again"
