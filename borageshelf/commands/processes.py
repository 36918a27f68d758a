"""The commands ``entry`` and ``agent``, which run the processes."""

import importlib
import os
from typing import Any, Final, TypeVar

import cleo.commands.command
import cleo.helpers
import cleo.io.inputs.option

from borageshelf import options

OptionsType = TypeVar('OptionsType', bound=options.Options)


def make_flags(
    kind: type[options.Options],
) -> list[cleo.io.inputs.option.Option]:
    """Return the command-line flags of an options class."""
    return [
        cleo.helpers.option(
            setting.flag,
            description=f'{setting.help} ({setting.variable})',
            flag=False,
        )
        for setting in options.list_settings(kind)
        if not setting.is_secret
    ]


def read_options(
    command: cleo.commands.command.Command, kind: type[OptionsType]
) -> OptionsType | None:
    """Return the options, or None after all faults were printed."""
    flags = {
        setting.flag: command.option(setting.flag)
        for setting in options.list_settings(kind)
        if not setting.is_secret
    }
    try:
        return options.build_options(kind, flags, os.environ)
    except options.OptionsError as error:
        for fault in error.faults:
            command.line_error(f'{command.name}: {fault}')
        return None


class EntryCommand(cleo.commands.command.Command):
    """Run an entry process."""

    name = 'entry'
    description = 'Runs an entry process'
    options = make_flags(options.EntryOptions)

    def handle(self) -> int:
        """Run until a planned stop."""
        settings = read_options(self, options.EntryOptions)
        if settings is None:
            return options.EXIT_WRONG_SETTINGS
        return _run_process('borageshelf.entry.process', settings)


class AgentCommand(cleo.commands.command.Command):
    """Run an agent process."""

    name = 'agent'
    description = 'Runs the agent process beside a target'
    options = make_flags(options.AgentOptions)

    def handle(self) -> int:
        """Run until a planned stop."""
        settings = read_options(self, options.AgentOptions)
        if settings is None:
            return options.EXIT_WRONG_SETTINGS
        return _run_process('borageshelf.agent.process', settings)


def _run_process(module_name: str, settings: options.Options) -> int:
    """Run a process module.

    It is imported here because it installs the event loop's reactor, which
    other commands do not need.
    """
    module: Any = importlib.import_module(module_name)
    status: int = module.run(settings)
    return status


COMMANDS: Final = (EntryCommand, AgentCommand)
