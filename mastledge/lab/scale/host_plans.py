"""What a run hands, as a JSON file, to each process that hosts many lightweight workers or dispatchers."""

import msgspec


class WorkerHostPlan(msgspec.Struct, frozen=True):
    """Workers that listen at one address; `run_ms` is the least and the greatest running time of a job."""

    names: list[str]
    host: str
    seed: int
    slots: int
    run_ms: tuple[int, int]
    cold_ms: float


class LinkRegions(msgspec.Struct, frozen=True):
    """The number of each member's region; the round trip between two of them in microseconds."""

    regions: dict[str, int]
    round_trip_us: int


class DispatcherHostPlan(msgspec.Struct, frozen=True):
    """Dispatchers of one process: the names `hosted` and what each has on its disk, as `records`.

    `addresses` are those of all members, `voters` those of the voters; `discovery` is an address.
    """

    regions: dict[str, int]
    round_trip_us: int
    hosted: list[str]
    records: dict[str, list[list]]
    voters: dict[str, str]
    addresses: dict[str, str]
    lease_us: int
    seed: int
    discovery: str
