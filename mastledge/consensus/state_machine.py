"""The document that the fleet agrees on: settings, workers out by hand, members. Each change makes a version
of it.
"""

from copy import deepcopy

from mastledge.consensus.settings_patch import patched

HISTORY = 64  # versions that can be looked at
DOCUMENTS = 16  # settings that can be gone back to
NAMES = 512  # of changes, by which one that came twice is known
GONE = 8  # members that left and may still hold a lease
FORMAT = 1
LEAST_FAN_OUT, MOST_FAN_OUT = 2, 64  # members that hear from one


def genesis(settings, lease, members):
    """The first version: {name: (address, life)} as heard when the fleet began, all of one mind."""
    voters = sorted(members)[: wanted_voters(len(members))]
    return {
        "format": FORMAT,
        "version": 1,
        "settings": settings,
        "settings_version": 1,
        "lease": lease,
        "out": [],
        "back": {},
        "gone": [],
        "names": [],
        "documents": {"1": settings},
        "members": {
            name: {"address": address, "life": life, "votes": name in voters, "listed": True}
            for name, (address, life) in members.items()
        },
        "history": [{"version": 1, "what": "formed", "by": "", "at": 0}],
    }


def wanted_voters(count):
    """3 to 7 of them, an odd count: a fourth one would have to agree and lets no more machines fail."""
    return count if count < 3 else min(7, count - 1 + count % 2)


def membership(members, change):
    """The members after a change, or why it can't be: the same at whoever looks, agreed yet or not."""
    kind, name = change["kind"], change["name"]
    there = members.get(name)
    if kind == "add":
        if there is not None:
            return None, f"{name} is a member already"
        if any(one["address"] == change["address"] for one in members.values()):
            return None, f"another member is at {change['address']}"
        return {**members, name: {"address": change["address"], "life": "", "votes": False}}, ""
    if there is None:
        return None, f"{name} is no member"
    if kind == "remove":
        if len(members) == 1:
            return None, f"{name} is the last member"
        return {other: one for other, one in members.items() if other != name}, ""
    if kind == "life":
        return {**members, name: {**there, "life": change["life"], "votes": False}}, ""
    if there["life"] != change["life"] or there["votes"]:
        return None, f"{name} has another life"
    return {**members, name: {**there, "votes": True}}, ""


MEMBERSHIP = ("add", "remove", "life", "vote")
COPIES = ("holds", "caught")  # who holds copies of keys; they make no version, as no operator asked for them
MOST_COPIES = 7
KINDS = ("noop", "settings", "patch", "relays", "out", "back", "copies", *MEMBERSHIP, *COPIES)


def fan_out_is_good(fan_out):
    """Whether so many may hear from one member."""
    return type(fan_out) is int and LEAST_FAN_OUT <= fan_out <= MOST_FAN_OUT


def sound(change):
    """Whether a change from another process can be applied at all: one that can't would stop every member."""
    texts = {
        "settings": (),
        "patch": (),
        "relays": (),
        "out": ("worker",),
        "back": ("worker",),
        "copies": (),
        "add": ("name", "address"),
        "remove": ("name",),
        "life": ("name", "life"),
        "vote": ("name", "life"),
        "holds": ("name", "id"),
        "caught": ("name", "id"),
    }.get(change.get("kind"))
    if texts is None or not all(isinstance(change.get(text), str) for text in texts):
        return False
    if change["kind"] == "settings":
        return isinstance(change.get("settings"), dict) and isinstance(change.get("expects"), int)
    if change["kind"] == "patch":
        return isinstance(change.get("changes"), list) and isinstance(change.get("expects"), int)
    if change["kind"] == "relays":
        return change.get("fan_out") == 0 or fan_out_is_good(change.get("fan_out"))
    if change["kind"] in COPIES:
        figures = ("starts", "count") if change["kind"] == "holds" else ("epoch",)
        return all(isinstance(change.get(figure), int) and change[figure] > 0 for figure in figures)
    if change["kind"] == "copies":
        return isinstance(change.get("count"), int) and 1 <= change["count"] <= MOST_COPIES
    if change["kind"] == "back":
        return isinstance(change.get("at"), int) and isinstance(change.get("cold_for"), int)
    return isinstance(change.get("at", 0), int) and isinstance(change.get("by", ""), str)


class StateMachine:
    """What is agreed up to one entry. `state` is plain: text, whole numbers, lists and maps."""

    def __init__(self, state, applied):
        self.state, self.applied = state, applied
        self.results = {name: result for name, result in state["names"]}

    @property
    def version(self):
        return self.state["version"]

    @property
    def members(self):
        return self.state["members"]

    def snapshot(self):
        return deepcopy(self.state)

    def apply(self, index, entry):
        """Takes over one entry; what became of it, which is the same at each member.

        {"version": n} where it counts, with "why" where it was refused and changed nothing. A change that
        came twice counts once. A kind that this version does not know raises ValueError: to leave it out
        would part the
        members.
        """
        change = entry.change
        if change["kind"] not in KINDS:
            raise ValueError(f"a change of a later version: {change['kind']}")
        self.applied = index
        if change["kind"] == "noop":
            return {"version": self.version}
        if entry.id in self.results:
            return self.results[entry.id]
        why, status = getattr(self, "on_" + change["kind"], self.on_membership)(change)
        if not why and change["kind"] not in COPIES:
            state = self.state
            state["version"] += 1
            state["history"] = [
                *state["history"][1 - HISTORY :],
                {
                    "version": state["version"],
                    "what": told(change),
                    "by": change.get("by", ""),
                    "at": change.get("at", 0),
                },
            ]
        result = {"version": self.version, **({"why": why, "status": status} if why else {})}
        self.results[entry.id] = result
        self.state["names"].append([entry.id, result])
        if len(self.state["names"]) > NAMES:
            self.results.pop(self.state["names"].pop(0)[0], None)
        return result

    def on_settings(self, change):
        state = self.state
        if change["expects"] != state["settings_version"]:
            return f"settings are of version {state['settings_version']}, not {change['expects']}", 412
        state["settings"], state["settings_version"] = change["settings"], state["version"] + 1
        state["documents"][str(state["version"] + 1)] = change["settings"]
        for old in sorted(state["documents"], key=int)[:-DOCUMENTS]:
            del state["documents"][old]
        return "", 0

    def on_patch(self, change):
        """Settings that differ in some places; a place that is not there refuses all of it."""
        if change["expects"] != self.state["settings_version"]:
            return self.on_settings(change)
        try:
            settings = patched(self.state["settings"], change["changes"])
        except ValueError as error:
            return str(error), 400
        return self.on_settings({**change, "settings": settings})

    def on_relays(self, change):
        """How many hear from one member; 0: all from the leader."""
        if self.state.get("fan_out", 0) == change["fan_out"]:
            return f"the fan-out is {change['fan_out']} already", 200
        self.state["fan_out"] = change["fan_out"]
        return "", 0

    def on_out(self, change):
        if change["worker"] in self.state["out"]:
            return "it is out already", 200
        self.state["out"] = sorted([*self.state["out"], change["worker"]])
        self.state["back"].pop(change["worker"], None)
        return "", 0

    def on_back(self, change):
        if change["worker"] not in self.state["out"]:
            return "it is not out", 200
        self.state["out"].remove(change["worker"])
        # Restarted unseen, so it counts as cold from then on; who is back for long need not be told apart.
        oldest = change["at"] - change["cold_for"]
        self.state["back"] = {worker: at for worker, at in self.state["back"].items() if at > oldest}
        self.state["back"][change["worker"]] = change["at"]
        return "", 0

    def on_membership(self, change):
        before = self.members
        after, why = membership(before, change)
        if after is None:
            return why, 409
        if change["kind"] == "remove":
            left = {
                "name": change["name"],
                "life": before[change["name"]]["life"],
                "address": before[change["name"]]["address"],
            }
            self.state["gone"] = [*self.state["gone"][1 - GONE :], left]
            copies = self.state.get("copies")
            if copies is not None:
                copies["starts"].pop(change["name"], None)
                if copies["epoch"]:
                    latest = dict(copies["next"] or copies["now"])
                    latest.pop(change["name"], None)
                    self.moved(latest)
        elif change["kind"] == "add":
            self.state["gone"] = [one for one in self.state["gone"] if one["name"] != change["name"]]
        self.state["members"] = after
        return "", 0

    # Copies of keys: docs/replication.md

    def on_holds(self, change):
        """A dispatcher has opened its folder of keys, for the `starts`th time; another id is an empty one."""
        name, id_, starts = change["name"], change["id"], change["starts"]
        if name not in self.members:
            return f"{name} is no member", 409
        copies = self.state.setdefault(
            "copies",
            {"epoch": 0, "count": change["count"], "now": {}, "next": None, "caught": [], "starts": {}},
        )
        known = copies["starts"].get(name)
        if known is not None and known[0] == id_ and known[1] >= starts:
            return f"the folder of {name} is old: it was opened {known[1]} times, not {starts - 1}", 409
        copies["starts"][name] = [id_, starts]
        if not copies["epoch"]:
            # Nothing is promised before as many are there as have to hold each key.
            if len(copies["starts"]) >= min(copies["count"], len(self.members)):
                copies["epoch"], copies["now"] = 1, {one: at[0] for one, at in copies["starts"].items()}
            return "", 0
        latest = copies["next"] or copies["now"]
        if latest.get(name) != id_:
            self.moved({**latest, name: id_})
        return "", 0

    def moved(self, latest):
        """Other holders from here on; the old ones count until each of the new ones has its copies."""
        copies = self.state["copies"]
        copies["epoch"] += 1
        other = latest != copies["now"] or "after" in copies
        copies["next"], copies["caught"] = (latest if other else None), []

    def on_copies(self, change):
        """Another count of copies of each key: the same holders, which hold more of them, or fewer."""
        copies, count = self.state.get("copies"), change["count"]
        if copies is None:
            return "no dispatcher holds copies of keys", 409
        if count == copies.get("after", copies["count"]):
            return f"there are {count} copies of each", 200
        copies.pop("after", None)
        if not copies["epoch"]:
            copies["count"] = count
            return "", 0
        if count != copies["count"]:
            copies["after"] = count
        self.moved(copies["next"] or copies["now"])
        return "", 0

    def on_caught(self, change):
        copies = self.state.get("copies")
        if copies is None or copies["epoch"] != change["epoch"] or copies["next"] is None:
            return "the holders have changed since", 409
        if copies["next"].get(change["name"]) != change["id"]:
            return f"{change['name']} is none of the holders", 409
        copies["caught"] = sorted({*copies["caught"], change["name"]})
        if len(copies["caught"]) == len(copies["next"]):
            copies["epoch"], copies["now"] = copies["epoch"] + 1, copies["next"]
            copies["next"], copies["caught"] = None, []
            copies["count"] = copies.pop("after", copies["count"])
        return "", 0


def told(change):
    """One change in a few words."""
    kind = change["kind"]
    return {
        "settings": "settings",
        "patch": "settings",
        "relays": f"relays {change.get('fan_out')}",
        "out": f"out {change.get('worker')}",
        "back": f"back {change.get('worker')}",
        "copies": f"copies {change.get('count')}",
        "add": f"add {change.get('name')} {change.get('address')}",
        "remove": f"remove {change.get('name')}",
        "life": f"a new life of {change.get('name')}",
        "vote": f"{change.get('name')} votes",
    }[kind]
