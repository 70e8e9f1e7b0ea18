"""Timers for jobs and launches. Times are whole microseconds."""

from heapq import heappop, heappush
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mastledge.scheduling.state import Job, Launch


class Timers:
    """A heap of timers, each for a job or a launch; timers of ended ones are skipped."""

    __slots__ = ("_heap", "count")

    def __init__(self):
        """Start with no timer set."""
        self._heap, self.count = [], 0

    def set(self, when: int, subject: "Job | Launch") -> None:
        """Set a timer: `pop_due` returns the job or launch from that time on."""
        self.count += 1
        # The count keeps timers of the same time in the order in which they were set.
        heappush(self._heap, (when, self.count, subject))

    def clear(self) -> None:
        """Remove all timers."""
        self._heap.clear()

    def next_due(self) -> int | None:
        """Return the time of the earliest timer; None: no timer is set."""
        heap = self._heap
        while heap and heap[0][2].ended:
            heappop(heap)
        return heap[0][0] if heap else None

    def pop_due(self, now: int) -> "Job | Launch | None":
        """Return the next job or launch that is due; None: nothing is due."""
        heap = self._heap
        while heap and heap[0][0] <= now:
            subject = heappop(heap)[2]
            if not subject.ended:
                return subject
        return None
