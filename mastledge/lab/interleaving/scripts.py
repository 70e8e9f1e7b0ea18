"""Scripts: the text form of an order, `PLACE/EFFECT/step,step+step` (`,`: then, `+`: at once)."""

from __future__ import annotations

from dataclasses import dataclass

from mastledge.lab.interleaving.places import PLACES
from mastledge.lab.interleaving.player import TIMED_STEPS
from mastledge.lab.interleaving.program_settings import EFFECTS
from mastledge.lab.interleaving.steps import STEPS

Groups = tuple[tuple[str, ...], ...]  # one after the other, the steps of a group at once


class ScriptError(ValueError):
    """An unknown place, effect or step; one line."""


@dataclass(frozen=True, slots=True)
class Script:
    """An order of steps at a place, for launches of an effect."""

    place: str
    effect: str
    groups: Groups

    def __str__(self) -> str:
        """Give the text that `parse_script` reads."""
        return f"{self.place}/{self.effect}/" + ",".join("+".join(group) for group in self.groups)


def parse_script(text: str) -> Script:
    """Read a script's text; raises ScriptError."""
    place, _, rest = text.partition("/")
    effect, _, groups = rest.partition("/")
    check_place(place)
    if effect not in EFFECTS:
        raise ScriptError(f"unknown effect: {effect}")
    return Script(place, effect, parse_groups(groups))


def check_place(place: str) -> None:
    """Raise ScriptError where there is no such place."""
    if place not in PLACES:
        raise ScriptError(f"unknown place: {place}")


def parse_groups(text: str) -> Groups:
    """Read the steps of a script; raises ScriptError."""
    groups = tuple(tuple(group.split("+")) for group in text.split(","))
    for step in (step for group in groups for step in group):
        if step not in STEPS and step not in TIMED_STEPS:
            raise ScriptError(f"unknown step: {step}")
    return groups
