"""Fleets of a given size in simulated time: so many voters and followers, formed and at rest."""

from mastledge.agreement.member import Member
from mastledge.agreement.rules import genesis
from mastledge.lab.schedule import LEASE, Fleet


class Sized(Member):
    """Keeps to the voters that it began with, however many follow."""

    def promote(self, now):
        """Nobody becomes a voter."""

    def recruits(self):
        """Nobody is to become one."""
        return []


def state_of(listed, fan_out=0, settings=None):
    """The agreed state of a fleet in which those whose names begin with n vote."""
    lives = {name: (address, f"{name}.0") for name, address in listed.items()}
    state = genesis(settings or {"a": 1}, LEASE, lives)
    for name, one in state["members"].items():
        one["votes"] = name[0] == "n"
    if fan_out:
        state["fan_out"] = fan_out
    return state


def begun(voters, followers, seed, fan_out=0, make=Sized, judge=True, drift=0.005, settings=None, **how):
    """A fleet whose members have their first records on their disks, and start."""
    names = [f"n{n}" for n in range(voters)] + [f"x{n:04}" for n in range(followers)]
    fleet = Fleet(names, seed, **{"delay": 500, "drift": drift, "make": make, **how})
    if not judge:
        fleet.check = lambda node: None  # the judge of schedules looks at all members at each step
    state = state_of(fleet.listed, fan_out, settings)
    fleet.listed = {name: address for name, address in fleet.listed.items() if name[0] == "n"}
    for name, node in fleet.nodes.items():
        node.disk = [("identity", "f", f"{name}.0"), ("hard", 1, ""), ("snapshot", 1, 1, state)]
    return fleet.start()


def grown(voters, followers, seed, fan_out=0):
    """The same, all up and at rest."""
    fleet = begun(voters, followers, seed, fan_out, judge=False)
    if not fleet.run(60_000_000, lambda: rests(fleet)):
        raise SystemExit("the fleet does not come to rest")
    return fleet


def rests(fleet):
    """All is in force."""
    leader = fleet.leader()
    return leader is not None and leader.member.in_force == leader.member.log.last > 1
