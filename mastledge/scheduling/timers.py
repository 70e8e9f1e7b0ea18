"""When a job or a launch has to be looked at again. Times are whole microseconds."""

from heapq import heappop, heappush
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mastledge.scheduling.state import Job, Launch


class Timers:
    """Times with the job or launch that each is for; those of what has ended are passed over."""

    __slots__ = ("_heap", "count")

    def __init__(self):
        """No timer is set."""
        self._heap, self.count = [], 0

    def set(self, when: int, subject: "Job | Launch") -> None:
        """Has `pop_due` give this job or launch once that time has come."""
        self.count += 1
        # The number keeps timers of one moment in the order in which they were set.
        heappush(self._heap, (when, self.count, subject))

    def clear(self) -> None:
        """Forgets all of them."""
        self._heap.clear()

    def next_due(self) -> int | None:
        """The first time at which something is due; None: nothing is."""
        heap = self._heap
        while heap and heap[0][2].ended:
            heappop(heap)
        return heap[0][0] if heap else None

    def pop_due(self, now: int) -> "Job | Launch | None":
        """The next job or launch whose time has come; None: there is no further one."""
        heap = self._heap
        while heap and heap[0][0] <= now:
            subject = heappop(heap)[2]
            if not subject.ended:
                return subject
        return None
