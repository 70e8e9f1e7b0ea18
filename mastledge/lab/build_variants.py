"""Variants of the program that differ from it, or run on a clock of their own: another version, a slow disk,
a baseline, and any that a file of Python makes.

`python -m mastledge.lab.build_variants [--rate R] [--build NAME | --build FILE.py:NAME] serve --config FILE`
"""

import argparse
import runpy
import sys
import time
from collections.abc import Callable

from mastledge.transport.loop import Loop


def set_clock_rate(rate: float) -> None:
    """Let the loop's clock run at another rate from here on."""
    began = time.monotonic_ns() // 1000
    Loop.now = staticmethod(lambda: began + int((time.monotonic_ns() // 1000 - began) * rate))


def set_unix_clock(ahead: float) -> None:
    """Let the Unix clock be wrong by so many seconds, as one that nobody has set."""
    true_ns, true_seconds = time.time_ns, time.time
    time.time_ns = lambda: true_ns() + int(ahead * 1e9)
    time.time = lambda: true_seconds() + ahead


def elder() -> None:
    """Speak another version on links: an earlier one of the program beside the new."""
    from mastledge.peers import frames

    frames.PROTOCOL_VERSION = 0


def slow_disk() -> None:
    """Not wrong: its folder of starts takes 4 s to be read."""
    from mastledge.program.recovery_directory import RecoveryDirectory

    read_log = RecoveryDirectory.read_log

    def slowly(self):
        time.sleep(4)
        read_log(self)

    RecoveryDirectory.read_log = slowly


def baseline(policy: str) -> Callable[[], None]:
    """Not wrong: the worker is chosen as a baseline does."""

    def build() -> None:
        from mastledge.lab.policies import installed

        installed(policy)

    build.__name__ = policy
    return build


def metered() -> None:
    """Not wrong: it counts what it does (`lab/scale/meter.py`)."""
    from mastledge.lab.scale.meter import metered as install

    install()


BASELINES = ("random", "least", "two")
BUILDS = {build.__name__: build for build in (elder, slow_disk, metered, *map(baseline, BASELINES))}


def found(name: str) -> Callable[[], None] | None:
    """The function that makes a build, by its name here or as FILE.py:NAME; None where there is none."""
    path, _, part = name.rpartition(":")
    if not path:
        return BUILDS.get(name)
    try:
        made = runpy.run_path(path).get(part)
    except OSError:
        return None
    return made if callable(made) else None


def main() -> int:
    """Put the variant together, then run the program in this process; its status."""
    parser = argparse.ArgumentParser(prog="mastledge.lab.build_variants")
    parser.add_argument("--rate", type=float, default=1.0)
    parser.add_argument("--ahead", type=float, default=0.0)
    parser.add_argument("--build")
    parser.add_argument("rest", nargs=argparse.REMAINDER)
    args = parser.parse_args()
    if args.rate != 1.0:
        set_clock_rate(args.rate)
    if args.ahead:
        set_unix_clock(args.ahead)
    if args.build:
        found(args.build)()
    sys.argv = ["mastledge", *args.rest]
    from mastledge.program.command import main as program

    return program()


if __name__ == "__main__":
    sys.exit(main())
