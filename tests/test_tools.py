"""Lint exceptions and tests that run alone name existing files and tests, and give a reason."""

import pathlib
import re
import tomllib

import pytest
from conftest import SERIAL

ROOT = pathlib.Path(__file__).parent.parent
IGNORES = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["ruff"]["lint"]["per-file-ignores"]
FOLDERS = ("mastledge", "tests")
# Written in two parts, so that this file doesn't match.
NOQA = re.compile(r"#\s*(ruff:\s*)?no" + r"qa\b(?P<rest>.*)", re.IGNORECASE)
# One or more rules, a dash and a reason of at least two words.
EXPLAINED = re.compile(r": [A-Z]+[0-9]+(, [A-Z]+[0-9]+)* - \S+ \S+.*")


def unexplained_exceptions(text):
    """Return the lint exceptions of a text that name no rule or no reason."""
    return [found[0] for found in NOQA.finditer(text) if not EXPLAINED.fullmatch(found["rest"])]


def test_every_ignored_file_exists():
    assert not [name for name in IGNORES if name != "tests/*" and not (ROOT / name).is_file()]


def test_only_the_tests_have_a_wide_exception():
    assert IGNORES["tests/*"] == ["D1"]
    assert not [(name, rules) for name, rules in IGNORES.items() if not rules]
    wide = {
        (name, rule) for name, rules in IGNORES.items() for rule in rules if not re.search(r"\d{3}$", rule)
    }
    assert wide == {("tests/*", "D1")}


def test_every_lint_exception_gives_a_reason():
    files = [path for folder in FOLDERS for path in (ROOT / folder).rglob("*.py")]
    assert len(files) > 100
    assert not {
        str(path): unexplained for path in files if (unexplained := unexplained_exceptions(path.read_text()))
    }


@pytest.mark.parametrize(
    ("rest", "is_explained"),
    [
        (": E731 - a def reads no better", True),
        (": F401, F811 - a fixture of another file", True),
        ("", False),
        (": E731", False),
        (": E731 -", False),
        (" - all of the line", False),
    ],
)
def test_missing_reason_is_found(rest, is_explained):
    for start in ("# no", "#no", "# ruff: no"):
        assert unexplained_exceptions("x = 1  " + start + "qa" + rest) == (
            [] if is_explained else [start + "qa" + rest]
        )


@pytest.mark.parametrize("test", SERIAL)
def test_serial_test_exists_and_gives_a_reason(test):
    path, _, name = test.partition("::")
    assert f"\ndef {name}(" in (ROOT / path).read_text()
    assert len(SERIAL[test].split()) > 2
