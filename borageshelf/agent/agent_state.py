"""State of an agent process that its modules share."""

import asyncio
import dataclasses

from borageshelf.agent import agent_calls
from borageshelf.agent import task_manager
from borageshelf import options as options_module
from borageshelf.ports import executor as executor_interface
from borageshelf.ports import worker as worker_interface


@dataclasses.dataclass
class AgentState:
    """State of one agent process.

    :param boot_id: unique id of this run of the process
    :param description: the VM as its worker describes it
    :param service: the service of the executor, or None without an executor
    :param tasks: the attempts, or None without a worker
    :param calls: the calls, or None without an executor
    :param config_version: version of the configuration in force
    :param stopping: set when a planned stop begins
    :param aborting: set when the process must end without a drain
    """

    options: options_module.AgentOptions
    boot_id: str
    description: worker_interface.WorkerDescription
    service: executor_interface.ExecutorDescription | None = None
    tasks: task_manager.TaskManager | None = None
    calls: agent_calls.AgentCalls | None = None
    config_version: int = 0
    stopping: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    aborting: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def has_calls(self) -> bool:
        """Tell whether any call is queued or running."""
        if self.calls is None:
            return False
        load = self.calls.measure_load()
        return load.queued + load.running > 0

    def has_running_tasks(self) -> bool:
        """Tell whether any attempt may use resources of the VM."""
        if self.tasks is None:
            return False
        return any(held.is_active for held in self.tasks.ledger.list_held())
