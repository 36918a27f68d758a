"""What an agent requests of an executor that refuses its inspections."""

import asyncio
from typing import Any

from borageshelf.ports import task_executor
from tests import test_gone_executors as gone_tests
from tests import test_workflow_driver as driver_tests


class RecordingRefusals(gone_tests.RefusingExecutor):
    """An executor that refuses each inspection and notes its deadline."""

    def __init__(self) -> None:
        super().__init__()
        self.deadlines_ms: list[int] = []

    async def inspect(
        self, *arguments: Any, **fields: Any
    ) -> task_executor.Inspection:
        """Refuse."""
        self.deadlines_ms.append(arguments[3])
        return await super().inspect(*arguments, **fields)


def test_refused_inspections_request_no_further_extension() -> None:
    """Guards against a lease that a refused inspection extended (TWICE).

    Of 429 and 503 the protocol says for starts only that nothing was done.
    """

    async def scenario(harness: driver_tests.DriverHarness) -> None:
        await harness.begin_session()
        harness.start()
        await harness.wait_until(lambda: len(harness.executor.starts) == 1)
        executor = RecordingRefusals()
        harness.driver._executor = executor
        await harness.wait_until(lambda: len(executor.deadlines_ms) >= 1)
        for _ in range(10):
            await asyncio.sleep(0.1)
            harness.extend_grant()
        assert len(executor.deadlines_ms) > 2
        assert max(executor.deadlines_ms[1:]) <= executor.deadlines_ms[0]

    driver_tests.run_scenario(scenario)
