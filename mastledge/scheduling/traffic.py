"""How much comes in, by tenant, and how much work is completed: smoothed over some twelve seconds."""

FADING_SECONDS = 12
KEPT = 11 / FADING_SECONDS  # of completed work, each second
COMPLETED_RATE_KEPT = 0.99  # of the completed rate, each second at the least
LEAST_ARRIVALS_PER_S = 1.0


class Traffic:
    """The dispatcher's own traffic.

    `arrivals`: smoothed jobs by tenant, over `seconds`. `arrival_rate`: jobs a second. `completed_work`: work
    of completed jobs, in microseconds. `completed_rate`: that a microsecond. `share`: this process's part of
    the dispatcher, where that is two processes.
    """

    def __init__(self, settings: dict):
        """No traffic; `adopt` says who the tenants are."""
        self._settings, self._tenants = settings, ()
        self.arrivals, self.seconds, self.arrival_rate = [], 1.0, LEAST_ARRIVALS_PER_S
        self.completed_work, self.completed_rate, self.share = 0.0, 0.0, 1.0

    def adopt(self, tenants: list[dict]) -> None:
        """These are the tenants now; who has the name of one before keeps its traffic."""
        names = (tenant["name"] for tenant in self._tenants)
        before = dict(zip(names, self.arrivals, strict=False))
        self.arrivals = [before.get(tenant["name"], 0.0) for tenant in tenants] or [sum(self.arrivals)]
        self._tenants = tenants

    def job_arrived(self, tenant: int) -> None:
        """A job of this tenant; of an unknown one it counts for the first."""
        self.arrivals[tenant if tenant < len(self.arrivals) else 0] += 1.0

    def fade(self) -> None:
        """Once a second."""
        self.arrivals = [count * 11 / FADING_SECONDS for count in self.arrivals]
        self.completed_work *= KEPT
        self.seconds += 1 - self.seconds / FADING_SECONDS

    def survey(self) -> None:
        """Brings the rates up to date."""
        self.arrival_rate = max(LEAST_ARRIVALS_PER_S, sum(self.arrivals) / self.seconds)
        completed = self.completed_work / self.seconds / 1e6
        self.completed_rate = max(self.completed_rate * COMPLETED_RATE_KEPT, completed)

    def over_quota_share(self, tenant: int) -> float:
        """The share of a tenant's traffic that is over its quota, as far as this dispatcher can tell."""
        tenants = self._settings["tenants"]
        quota = tenants[tenant]["quota"] if tenant < len(tenants) else 0
        rate = self.arrivals[tenant] / self.seconds / self.share if quota else 0
        return max(0.0, 1 - quota / self._settings["dispatchers"] / rate) if rate else 0.0
