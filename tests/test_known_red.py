"""Known failures: only the tests that KNOWN-RED.txt names may fail, and each line is printed once."""

import pathlib
import subprocess
import sys

import pytest

TESTS_FOLDER = pathlib.Path(__file__).parent
BAD_ALWAYS = "tests/test_it.py::test_bad | always | pytest --seed=1 | 0 != 1 | 31"
BAD_AT_TIMES = "tests/test_it.py::test_bad | at times | pytest --seed=1 | 0 != 1 | 31"
GOOD_AT_TIMES = "tests/test_it.py::test_good | at times | pytest --seed=1 | 0 != 1 | 31"


@pytest.mark.parametrize("options", [(), ("-n", "2", "--dist", "loadfile")], ids=["one process", "workers"])
@pytest.mark.parametrize(
    ("lines", "exit_code", "expected_text"),
    [
        (None, 1, "1 failed, 1 passed"),
        (BAD_ALWAYS, 0, f"known red: {BAD_ALWAYS}\n"),
        (BAD_ALWAYS, 0, "1 passed, 1 xfailed"),
        ("tests/test_it.py::test_good | always | pytest --seed=1 | 0 != 1 | 31", 1, "2 failed"),
        (BAD_AT_TIMES, 0, f"known red: {BAD_AT_TIMES}: failed\n"),
        (GOOD_AT_TIMES, 1, f"known red: {GOOD_AT_TIMES}: passed\n"),
        (GOOD_AT_TIMES, 1, "1 failed, 1 xpassed"),
        (f"{BAD_ALWAYS}\n{GOOD_AT_TIMES}", 0, f"known red: {GOOD_AT_TIMES}: passed\n"),
        (f"{BAD_AT_TIMES}\n{GOOD_AT_TIMES}", 0, "1 xfailed, 1 xpassed"),
        ("tests/test_it.py::test_bad | a cause | 31", 4, "not of the form"),
        ("tests/test_it.py::test_bad | at times | pytest --seed=1 | 0 != 1", 4, "not of the form"),
        ("tests/test_it.py::test_bad | always | | 0 != 1 | 31", 4, "not of the form"),
        ("tests/test_it.py::test_bad | seldom | pytest | 0 != 1 | 31", 4, "neither always nor at times"),
        ("tests/test_it.py::test_none | always | pytest | 0 != 1 | 31", 4, "no such test"),
        ("tests/test_it.py::test_none | at times | pytest | 0 != 1 | 31", 4, "no such test"),
        ("\n".join([BAD_ALWAYS, BAD_AT_TIMES, GOOD_AT_TIMES, GOOD_AT_TIMES]), 4, "4 lines, 3 at most"),
    ],
)
def test_only_named_tests_may_fail(lines, exit_code, expected_text, options, tmp_path):
    (tmp_path / "tests").mkdir()
    (tmp_path / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    (tmp_path / "tests" / "conftest.py").write_text((TESTS_FOLDER / "conftest.py").read_text())
    (tmp_path / "tests" / "test_it.py").write_text(
        "def test_good():\n    pass\n\n\ndef test_bad():\n    assert 0\n"
    )
    if lines is not None:
        (tmp_path / "KNOWN-RED.txt").write_text(lines + "\n")
    run = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *options],
        cwd=tmp_path,
        capture_output=True,
        text=True,
    )
    assert run.returncode == exit_code and expected_text in run.stdout + run.stderr, run.stdout + run.stderr
    if exit_code < 4:
        assert run.stdout.count("known red: ") == len((lines or "").splitlines())
