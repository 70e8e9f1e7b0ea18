"""What the configuration file says of the fleet that a dispatcher belongs to."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class FleetConfiguration:
    """The part `peers`, with the dispatcher's own name, settings and seed.

    `fleet` is "" where the file names none. `registry` is "" where discovery's address stands for it.
    """

    name: str
    document: dict[str, Any]
    seed: int
    directory: str
    fleet: str
    listen: tuple[str, int]
    members: dict[str, str]
    may_bootstrap: bool
    lease_us: int
    serves_without_lease: bool
    registry: str

    @classmethod
    def from_configuration(cls, configuration: Mapping[str, Any]) -> "FleetConfiguration":
        """Take it out of the whole configuration, as `configuration.py` has read it."""
        peers = configuration["peers"]
        return cls(
            name=configuration["name"],
            document=configuration["document"],
            seed=configuration["seed"],
            directory=peers["folder"],
            fleet=peers["fleet"],
            listen=peers["listen"],
            members=peers["members"],
            may_bootstrap=peers["form"],
            lease_us=peers["lease"],
            serves_without_lease=peers["without_lease"] == "serve",
            registry=peers["registry"],
        )
