"""`python -m mastledge`: the command line."""

import sys

from mastledge.program.signals import defer_reload

if __name__ == "__main__":
    if sys.argv[1:2] == ["serve"]:
        defer_reload()
    # Imported afterwards, as the import takes most of the start.
    from mastledge.command_line import main

    sys.exit(main())
