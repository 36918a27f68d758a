"""The commands ``entry`` and ``agent``, which run the processes."""

import importlib
from typing import Any, Final

from borageshelf.commands import base
from borageshelf import options as options_module


class EntryCommand(base.Command):
    """Run an entry process."""

    name = 'entry'
    description = 'Runs an entry process'
    options = base.make_flags(options_module.EntryOptions)

    def execute_command(self) -> int:
        """Run until a planned stop."""
        settings = self.read_options(options_module.EntryOptions)
        if settings.admin_certificate_path:
            # Loaded here only to report a faulty certificate as a wrong
            # setting, before the process listens on any port.
            admin: Any = importlib.import_module('borageshelf.entry.admin')
            admin.make_tls_context(settings)
        return _run_process('borageshelf.entry.process', settings)


class AgentCommand(base.Command):
    """Run an agent process."""

    name = 'agent'
    description = 'Runs the agent process beside a target'
    options = base.make_flags(options_module.AgentOptions)

    def execute_command(self) -> int:
        """Run until a planned stop."""
        settings = self.read_options(options_module.AgentOptions)
        return _run_process('borageshelf.agent.process', settings)


def _run_process(module_name: str, settings: options_module.Options) -> int:
    """Run the process that a module implements.

    The module is imported here, because it imports the event loop, which
    other commands do not need.
    """
    module: Any = importlib.import_module(module_name)
    status: int = module.run(settings)
    return status


COMMANDS: Final = (EntryCommand, AgentCommand)
