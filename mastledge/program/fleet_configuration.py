"""The fleet settings in the configuration file of a dispatcher."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class FleetConfiguration:
    """The part `peers` of the configuration, with the dispatcher's name, settings and seed.

    `fleet` is "" if the file names none. `registry` is "" if the address of discovery is used as its name.
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
        """Return the fleet part of the whole configuration, as `configuration.py` has parsed it."""
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
