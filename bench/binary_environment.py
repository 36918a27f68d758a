"""Environment of an entry and an agent while the executable is measured.

Provides stand-ins on free ports, command lines and environment variables.
Every process that is started here is also ended here.
"""

import asyncio
import dataclasses
import os
import pathlib
from typing import Final

from bench import binary_load
from bench import free_ports
from bench import local_fleet

DRAIN_MS: Final = 5_000


@dataclasses.dataclass(frozen=True)
class Program:
    """One way to run the system, as executable or from the source tree.

    :param command: first arguments of each command line
    """

    name: str
    command: tuple[str, ...]


class MeasurementEnvironment:
    """The stand-ins that an entry and an agent need, and their flags.

    :param unpack_folder: folder in which the executable unpacks itself
    """

    def __init__(self, unpack_folder: pathlib.Path) -> None:
        self.unpack_folder = unpack_folder
        self.store_url = ''
        self.worker_url = ''
        self.executor_url = ''
        self.caller_url = ''
        self.admin_url = ''
        self._processes: list[local_fleet.Process] = []

    async def __aenter__(self) -> 'MeasurementEnvironment':
        self.store_url = await self._start_standin('standins.store')
        self.worker_url = await self._start_standin('standins.worker')
        self.executor_url = await self._start_standin(
            'standins.executor', f'--service={binary_load.SERVICE}'
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        await asyncio.gather(*(item.kill() for item in self._processes))

    async def _start_standin(self, module: str, *flags: str) -> str:
        process, url = await local_fleet.start_standin(module, module, *flags)
        self._processes.append(process)
        return url

    def make_entry_flags(self, inner_address: str) -> list[str]:
        """Return the command-line arguments of an entry."""
        caller, admin = free_ports.find_free_ports(2)
        self.caller_url = f'http://{local_fleet.HOST}:{caller}'
        self.admin_url = f'http://{local_fleet.HOST}:{admin}'
        return [
            'entry',
            '--entry-id=entry-0',
            '--region=sierra-centro',
            '--data-centre=tajo-norte',
            f'--caller-address={local_fleet.HOST}:{caller}',
            f'--inner-address={inner_address}',
            f'--admin-address={local_fleet.HOST}:{admin}',
            f'--store-url={self.store_url}',
            f'--drain-ms={DRAIN_MS}',
        ]

    def make_agent_flags(self, inner_address: str) -> list[str]:
        """Return the command-line arguments of an agent of the entry."""
        return [
            'agent',
            '--target-id=vm-0',
            '--data-centre=tajo-norte',
            '--rack=rack-1',
            f'--seeds={inner_address}',
            f'--worker-url={self.worker_url}',
            f'--executor-url={self.executor_url}',
            f'--drain-ms={DRAIN_MS}',
        ]

    def make_environment(self) -> dict[str, str]:
        """Return the environment variables of a measured process."""
        environment = {
            **os.environ,
            'BORAGESHELF_ADMIN_TOKEN': local_fleet.ADMIN_TOKEN,
            'SHIV_ROOT': str(self.unpack_folder),
        }
        # Without cached byte code, each start would compile all modules.
        environment.pop('PYTHONDONTWRITEBYTECODE', None)
        return environment

    async def launch(
        self, name: str, command: list[str]
    ) -> local_fleet.Process:
        """Start a command; the caller waits for its end."""
        process = local_fleet.Process(
            name,
            await asyncio.create_subprocess_exec(
                *command,
                cwd=local_fleet.ROOT,
                env=self.make_environment(),
                stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.STDOUT,
            ),
        )
        self._processes.append(process)
        return process
