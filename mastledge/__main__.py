"""`python -m mastledge`: the command line."""

import sys

from mastledge.command_line import main

if __name__ == "__main__":
    sys.exit(main())
