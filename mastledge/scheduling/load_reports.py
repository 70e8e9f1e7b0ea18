"""Load reports: free slots and queue length that come with a worker's answer."""

from collections import Counter
from collections.abc import Sequence

from mastledge.scheduling.admission import AdmissionControl
from mastledge.scheduling.estimation import GAIN, FleetEstimates
from mastledge.scheduling.fleet_view import FleetView
from mastledge.scheduling.state import Launch

MOST_FREE_SLOTS, MOST_BACKLOG = 1e4, 1e6  # what is above is absurd, and must not reach a load curve
NOISY_REPORTS = 50  # a figure that comes in fewer than one of so many reports is noise


class LoadReports:
    """Learns from reports. `free_slot_counts`: how often each number of free slots came, by machine kind."""

    def __init__(
        self, settings: dict, fleet: FleetView, estimates: FleetEstimates, admission: AdmissionControl
    ):
        """No report has come."""
        self._settings, self._fleet = settings, fleet
        self._estimates, self._admission = estimates, admission
        self.free_slot_counts: dict[int, Counter] = {}

    def learn(self, launch: Launch, report: Sequence[float], now: int) -> None:
        """What a worker reports with its answer, less what was one's own when the report was made."""
        if not report or self._settings["report_how"] != "piggyback":
            return
        worker, named = launch.worker, dict(zip(self._settings["report_fields"], report, strict=False))
        free, backlog = named.get("free_slots", -1.0), named.get("backlog", 0.0)
        absurd = not (0 <= free < MOST_FREE_SLOTS and 0 <= backlog < MOST_BACKLOG)
        # The same figures again are the same report, only older.
        if report == worker.last_report or absurd:
            return
        worker.last_report = report
        self.free_slot_counts.setdefault(worker.kind, Counter())[round(free)] += 1
        mean = self._estimates.running_time.mean
        self._admission.observe_wait(int(backlog * mean / worker.slots), now)
        made_at = now - mean
        own = sum(other.load for other in (launch, *worker.in_flight.values()) if other.sent_at < made_at)
        worker.other_load, worker.other_load_at = max(0.0, worker.slots - free + backlog - own), now
        worker.usual_other_load += GAIN * (worker.other_load - worker.usual_other_load)

    def survey(self) -> bool:
        """Once a second: sets the slots of workers to those of their kind; False where none are told."""
        slots_of_kind = {kind: _usual_most(counts) for kind, counts in self.free_slot_counts.items()}
        for worker in self._fleet.ready if slots_of_kind else ():
            slots = max(1.0, slots_of_kind.get(worker.kind, worker.slots))
            worker.peak = max(worker.peak, slots) if self._settings["tells_start"] else slots
            worker.slots = worker.peak
        return bool(slots_of_kind)


def _usual_most(counts: Counter) -> int:
    """The most slots that were free, but for noise."""
    total = sum(counts.values())
    return max(free for free, times in counts.items() if NOISY_REPORTS * times > total)
