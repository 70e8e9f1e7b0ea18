"""Every decision stays as it was: seeded worlds are played and their outputs compared with those on file.

The outputs on file are those of the decisions before their module was split and renamed. A change that means
to decide otherwise writes them anew, and says so: `PYTHONPATH=. python tests/test_decisions_unchanged.py`.
"""

import gzip
import json
from collections import Counter
from hashlib import sha256
from pathlib import Path

import pytest
from decision_scripts import SCRIPTS
from decision_world import World

FIXTURES = Path(__file__).parent / "fixtures" / "decisions"


def digest(lines):
    return sha256("\n".join(lines).encode()).hexdigest()


def summary(world):
    """What goes on file of a played world: counts of inputs and outputs, and a digest of all outputs."""
    lines = world.outputs
    kinds = Counter(says[1] if isinstance(says[0], int) else says[0] for says in map(json.loads, lines))
    return {
        "inputs": world.player.inputs,
        "outputs": dict(sorted(kinds.items())),
        "sha256": digest(lines),
    }


def stored_path(name):
    return FIXTURES / f"{name.replace(' ', '-')}.json"


def lines_path(name):
    return FIXTURES / f"{name.replace(' ', '-')}.lines.gz"


def first_difference(before, after):
    """The first output that differs, with the one that stood there; None where all are equal."""
    for at in range(max(len(before), len(after))):
        was, now = (lines[at] if at < len(lines) else "nothing" for lines in (before, after))
        if was != now:
            return f"output {at} differs\nbefore: {was}\nnow:    {now}"
    return None


@pytest.mark.parametrize("name", SCRIPTS)
def test_all_decisions_are_those_on_file(name):
    world = World(SCRIPTS[name])
    outputs = world.play()
    stored = json.loads(stored_path(name).read_text())
    if digest(outputs) != stored["sha256"]:
        before = gzip.decompress(lines_path(name).read_bytes()).decode().splitlines()
        pytest.fail(f"{name}: {first_difference(before, outputs)}", pytrace=False)
    assert summary(world) == stored


def write_fixtures():
    FIXTURES.mkdir(parents=True, exist_ok=True)
    for name, script in SCRIPTS.items():
        world = World(script)
        outputs = world.play()
        stored_path(name).write_text(json.dumps(summary(world), indent=1) + "\n")
        lines_path(name).write_bytes(gzip.compress("\n".join(outputs).encode(), 9, mtime=0))


if __name__ == "__main__":
    write_fixtures()
