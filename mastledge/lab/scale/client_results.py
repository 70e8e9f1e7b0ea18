"""What the clients of a scale run need of a rig: it counts what comes of their jobs."""

from collections import Counter
from typing import Any

from mastledge.lab.scale.figures import spread
from mastledge.lab.scale.processes import DispatcherProcess


class ClientResults:
    """Counts the jobs that `lab.load.Clients` send to `nodes`, and keeps the times of those served.

    The clients set `late`, the longest in seconds that a job was sent after its time.
    """

    def __init__(self, nodes: dict[str, DispatcherProcess]) -> None:
        """`nodes` are the dispatchers by their names."""
        self.nodes = nodes
        self.late = 0.0
        self.events: Counter[str] = Counter()  # by their kind
        self.statuses: Counter[int] = Counter()  # of answers
        self.times_ms: list[float] = []

    def note(self, kind: str, at: int | None = None, **fields: Any) -> None:
        """One event of the clients."""
        self.events[kind] += 1
        if kind == "answer":
            status = fields["status"]
            self.statuses[status] += 1
            if status == 200:
                self.times_ms.append(fields["ms"])

    def figures(self) -> dict[str, Any]:
        """Jobs that were sent, lost and answered, with the times of those served."""
        return {
            "sent": self.events["sent"],
            "lost": self.events["lost"],
            "answers": {str(status): count for status, count in sorted(self.statuses.items())},
            "ms": spread(self.times_ms),
        }
