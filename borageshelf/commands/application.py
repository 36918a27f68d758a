"""The command line: all commands of the program."""

import sys
from typing import Final

import cleo.application
import cleo.exceptions

from borageshelf.commands import callers
from borageshelf.commands import explain
from borageshelf.commands import operators
from borageshelf.commands import processes
from borageshelf.commands import publish
from borageshelf.commands import top
from borageshelf.commands import workflows
from borageshelf import options

VERSION: Final = '0.1.0'


def make_application() -> cleo.application.Application:
    """Return the command-line application with all commands."""
    application = cleo.application.Application('borageshelf', VERSION)
    for module in (
        processes,
        workflows,
        operators,
        publish,
        callers,
        explain,
        top,
    ):
        for command in module.COMMANDS:
            application.add(command())
    application.auto_exits(False)
    application.catch_exceptions(False)
    return application


def run() -> int:
    """Run the command that the command line names; return its exit status."""
    try:
        return make_application().run()
    except cleo.exceptions.CleoError as error:
        print(f'borageshelf: {error}', file=sys.stderr)
        return options.EXIT_WRONG_SETTINGS
