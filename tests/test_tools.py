"""What the linter passes over, and which tests run alone: only what exists, and only what says why."""

import pathlib
import re
import tomllib

import pytest
from conftest import SERIAL

ROOT = pathlib.Path(__file__).parent.parent
IGNORES = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["ruff"]["lint"]["per-file-ignores"]
FOLDERS = ("mastledge", "tests")
# In two parts, or this file would be found as well.
NOQA = re.compile(r"#\s*(ruff:\s*)?no" + r"qa\b(?P<rest>.*)", re.IGNORECASE)
# One or more rules, then a dash, then a reason of two words or more.
REASONED = re.compile(r": [A-Z]+[0-9]+(, [A-Z]+[0-9]+)* - \S+ \S+.*")


def without_a_reason(text):
    """The comments of a text that pass over a rule and do not say which, or do not say why."""
    return [found[0] for found in NOQA.finditer(text) if not REASONED.fullmatch(found["rest"])]


def test_every_ignored_file_exists():
    assert not [name for name in IGNORES if name != "tests/*" and not (ROOT / name).is_file()]


def test_only_the_tests_are_passed_over_as_a_whole():
    assert IGNORES["tests/*"] == ["D1"]
    assert not [(name, rules) for name, rules in IGNORES.items() if not rules]
    wide = {
        (name, rule) for name, rules in IGNORES.items() for rule in rules if not re.search(r"\d{3}$", rule)
    }
    assert wide == {("tests/*", "D1")}


def test_every_line_that_is_passed_over_says_why():
    files = [path for folder in FOLDERS for path in (ROOT / folder).rglob("*.py")]
    assert len(files) > 100
    assert not {str(path): bare for path in files if (bare := without_a_reason(path.read_text()))}


@pytest.mark.parametrize(
    ("rest", "reasoned"),
    [
        (": E731 - a def reads no better", True),
        (": F401, F811 - a fixture of another file", True),
        ("", False),
        (": E731", False),
        (": E731 -", False),
        (" - all of the line", False),
    ],
)
def test_a_reason_is_told_from_none(rest, reasoned):
    for begin in ("# no", "#no", "# ruff: no"):
        assert without_a_reason("x = 1  " + begin + "qa" + rest) == (
            [] if reasoned else [begin + "qa" + rest]
        )


@pytest.mark.parametrize("test", SERIAL)
def test_what_runs_alone_exists_and_says_why(test):
    path, _, name = test.partition("::")
    assert f"\ndef {name}(" in (ROOT / path).read_text()
    assert len(SERIAL[test].split()) > 2
