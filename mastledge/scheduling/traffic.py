"""Arrivals by tenant and completed work, smoothed over about twelve seconds."""

FADING_SECONDS = 12
COMPLETED_WORK_KEPT = 11 / FADING_SECONDS  # decay factor of completed work per second
COMPLETED_RATE_KEPT = 0.99  # the completed rate falls at most by this factor per second
LEAST_ARRIVALS_PER_S = 1.0


class Traffic:
    """The traffic of this dispatcher.

    `arrivals`: smoothed number of jobs by tenant, over `seconds`. `arrival_rate`: jobs per second.
    `completed_work`: work of completed jobs, in microseconds. `completed_rate`: that per microsecond.
    `share`: this process's share of the dispatcher's traffic, while the dispatcher is two processes.
    """

    def __init__(self, settings: dict):
        """Start with no traffic; `set_tenants` sets the tenants."""
        self._settings, self._tenants = settings, ()
        self.arrivals, self.seconds, self.arrival_rate = [], 1.0, LEAST_ARRIVALS_PER_S
        self.completed_work, self.completed_rate, self.share = 0.0, 0.0, 1.0

    def set_tenants(self, tenants: list[dict]) -> None:
        """Adopt the configured tenants; those with the same name keep their traffic."""
        names = (tenant["name"] for tenant in self._tenants)
        previous = dict(zip(names, self.arrivals, strict=False))
        self.arrivals = [previous.get(tenant["name"], 0.0) for tenant in tenants] or [sum(self.arrivals)]
        self._tenants = tenants

    def job_arrived(self, tenant: int) -> None:
        """Count a job of the tenant; jobs of unknown tenants count for the first tenant."""
        self.arrivals[tenant if tenant < len(self.arrivals) else 0] += 1.0

    def decay(self) -> None:
        """Decay arrivals and completed work, once a second."""
        self.arrivals = [count * 11 / FADING_SECONDS for count in self.arrivals]
        self.completed_work *= COMPLETED_WORK_KEPT
        self.seconds += 1 - self.seconds / FADING_SECONDS

    def recompute(self) -> None:
        """Update the rates."""
        self.arrival_rate = max(LEAST_ARRIVALS_PER_S, sum(self.arrivals) / self.seconds)
        completed = self.completed_work / self.seconds / 1e6
        self.completed_rate = max(self.completed_rate * COMPLETED_RATE_KEPT, completed)

    def over_quota_share(self, tenant: int) -> float:
        """Return the estimated share of a tenant's traffic that is above its quota."""
        tenants = self._settings["tenants"]
        quota = tenants[tenant]["quota"] if tenant < len(tenants) else 0
        rate = self.arrivals[tenant] / self.seconds / self.share if quota else 0
        return max(0.0, 1 - quota / self._settings["dispatchers"] / rate) if rate else 0.0
