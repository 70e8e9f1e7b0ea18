"""Tests that are known to fail: only these are passed over, each is printed, and none may pass."""

import pathlib
import subprocess
import sys

import pytest

HERE = pathlib.Path(__file__).parent


@pytest.mark.parametrize("how", [(), ("-n", "2", "--dist", "loadfile")], ids=["one process", "workers"])
@pytest.mark.parametrize(
    ("red", "code", "says"),
    [
        (None, 1, "1 failed, 1 passed"),
        (
            "tests/test_it.py::test_bad | a cause | 31",
            0,
            "known red: tests/test_it.py::test_bad | a cause | 31",
        ),
        ("tests/test_it.py::test_good | a cause | 31", 1, "2 failed"),
        ("tests/test_it.py::test_bad | a cause", 4, "not of the form"),
        ("tests/test_it.py::test_none | a cause | 31", 4, "no such test"),
        ("a | b | 1\nc | d | 2\ne | f | 3\ng | h | 4", 4, "4 lines, 3 at most"),
    ],
)
def test_only_what_is_named_is_passed_over(red, code, says, how, tmp_path):
    (tmp_path / "tests").mkdir()
    (tmp_path / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    (tmp_path / "tests" / "conftest.py").write_text((HERE / "conftest.py").read_text())
    (tmp_path / "tests" / "test_it.py").write_text(
        "def test_good():\n    pass\n\n\ndef test_bad():\n    assert 0\n"
    )
    if red is not None:
        (tmp_path / "KNOWN-RED.txt").write_text(red + "\n")
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *how],
        cwd=tmp_path,
        capture_output=True,
        text=True,
    )
    assert done.returncode == code and says in done.stdout + done.stderr, done.stdout + done.stderr
    if code < 4:
        assert done.stdout.count("known red: ") == (red is not None)
