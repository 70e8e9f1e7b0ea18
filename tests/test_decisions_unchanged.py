"""Regression test of all decisions: seeded worlds are simulated and their outputs compared with stored ones.

A change that is meant to change decisions regenerates the stored outputs, and says so in its commit:
`PYTHONPATH=. python tests/test_decisions_unchanged.py`.
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
    """Return the summary to store of a world: input and output counts, and a digest of the outputs."""
    lines = world.outputs
    kinds = Counter(row[1] if isinstance(row[0], int) else row[0] for row in map(json.loads, lines))
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
    """Return the first output that differs, with the stored one; None if all are equal."""
    for index in range(max(len(before), len(after))):
        old, new = (lines[index] if index < len(lines) else "nothing" for lines in (before, after))
        if old != new:
            return f"output {index} differs\nbefore: {old}\nnow:    {new}"
    return None


@pytest.mark.parametrize("name", SCRIPTS)
def test_decisions_equal_stored_ones(name):
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
