"""Entry point of the executable."""

import importlib
import signal
import sys
from typing import Final

# Processes that read their settings again at a SIGHUP.
RELOADING_COMMANDS: Final = ('workflow-entry', 'workflow-agent')


def main() -> int:
    """Run the command that the command line names; return its exit status."""
    if sys.argv[1:2] and sys.argv[1] in RELOADING_COMMANDS:
        # Its handler is installed once the program is loaded, which takes
        # long. The settings are read afterwards, so that nothing is missed.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    application = importlib.import_module('borageshelf.commands.application')
    status: int = application.run()
    return status


if __name__ == '__main__':
    sys.exit(main())
