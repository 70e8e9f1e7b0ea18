"""`python -m mastledge.adapter`: read bench wire frames on standard input, reply on standard output."""

import sys

from mastledge.adapter.frames import BadFrameError, frame_from
from mastledge.adapter.host import Host
from mastledge.program.settings import SettingError


def main() -> int:
    """Answer frames until the input ends; return 1, after an error message, if a frame is invalid."""
    stdin, stdout, host = sys.stdin.buffer, sys.stdout.buffer, Host()
    try:
        while (frame := frame_from(stdin)) is not None:
            stdout.write(host.turn(frame))
            stdout.flush()
    except (BadFrameError, SettingError) as error:
        print(f"mastledge.adapter: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
