import sys

from mastledge.program.command import main

if __name__ == "__main__":
    sys.exit(main())
