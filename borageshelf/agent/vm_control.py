"""Runs the control loop of a VM: throttles first, then evicts.

``decisions.control`` decides; this module keeps its state, passes it the
measurements and carries its actions out.
"""

import functools
from typing import Any

from borageshelf.agent import agent_calls
from borageshelf.agent import reservations
from borageshelf.agent import task_manager
from borageshelf import clock
from borageshelf.decisions import control
from borageshelf.decisions import control_state
from borageshelf.decisions import interference
from borageshelf.model import objects
from borageshelf.model import resources
from borageshelf.protocol import inner_pb2
from borageshelf import telemetry as telemetry_module


class VmControl:
    """Control of the batch attempts that share a VM with a service."""

    def __init__(
        self,
        tasks: task_manager.TaskManager,
        capacity: resources.Resources,
        telemetry: telemetry_module.Telemetry,
    ) -> None:
        self._tasks = tasks
        self._capacity = capacity
        self._telemetry = telemetry
        self._state = control_state.State()
        self._interference_table = interference.Table()
        self._execute = functools.singledispatch(_reject_unknown)
        self._execute.register(control.Throttle, self._throttle)
        self._execute.register(control.Evict, self._evict)

    def set_capacity(self, capacity: resources.Resources) -> None:
        """Set the capacity of the VM, which may shrink and grow."""
        self._capacity = capacity

    async def run(
        self,
        service: str,
        p99_ms: float,
        configuration: objects.Configuration,
        load: float = 0.0,
    ) -> None:
        """Decide and carry out the next step of the control loop.

        The latency is dated to the middle of its window, so that no step is
        taken on calls from before the previous step.

        :param service: service of the executor, or '' without an executor
        :param p99_ms: measured p99 of the service, or 0 if unknown
        :param load: share of the executor's slots in use, 0 to 1
        """
        now_ms = clock.read_wall_clock_ms()
        running = [
            held
            for held in self._tasks.ledger.list_held()
            if held.state is reservations.HeldState.RUNNING
        ]
        self._record_start_speeds()
        if service and p99_ms > 0:
            self._observe_interference(service, p99_ms, load, running, now_ms)
        service_settings = configuration.services.get(service)
        view = control.VmView(
            capacity=self._capacity,
            attempts=[_make_attempt_view(held, now_ms) for held in running],
            service=service,
            target_p99_ms=service_settings.target_p99_ms
            if service_settings is not None
            else 0.0,
            p99_ms=p99_ms,
            measured_at_ms=now_ms - agent_calls.LATENCY_WINDOW_MS // 2,
        )
        self._state, actions = control.decide_actions(
            self._state,
            view,
            self._interference_table,
            configuration.objective,
            configuration.limits,
            now_ms,
        )
        for action in actions:
            await self._execute(action)

    def _record_start_speeds(self) -> None:
        for key, speed in self._tasks.start_speeds.items():
            self._state = control_state.add_start_speed(
                self._state, key.task_id, speed
            )
        self._tasks.start_speeds.clear()

    def _observe_interference(
        self,
        service: str,
        p99_ms: float,
        load: float,
        running: list[reservations.HeldAttempt],
        now_ms: int,
    ) -> None:
        capacity_millicores = max(self._capacity.processor_millicores, 1)
        processor_shares: dict[str, float] = {}
        for held in running:
            share = held.used.processor_millicores / capacity_millicores
            family = held.spec.family
            processor_shares[family] = (
                processor_shares.get(family, 0.0) + share
            )
        observation = interference.Observation(
            service, p99_ms, load, processor_shares, now_ms
        )
        self._interference_table = interference.observe(
            self._interference_table, observation
        )

    async def _throttle(self, action: control.Throttle) -> None:
        key = reservations.AttemptKey(action.task_id, action.attempt)
        held = self._tasks.ledger.find(key)
        if held is None:
            return
        attempt = inner_pb2.Attempt(
            task_id=action.task_id, attempt=action.attempt
        )
        await self._tasks.throttle(attempt, action.fraction)
        self._telemetry.count(
            telemetry_module.TASKS_THROTTLED, held.spec.family
        )

    async def _evict(self, action: control.Evict) -> None:
        key = reservations.AttemptKey(action.task_id, action.attempt)
        held = self._tasks.ledger.find(key)
        if held is None:
            return
        self._telemetry.count(telemetry_module.TASKS_EVICTED, held.spec.family)
        self._telemetry.log_state(
            'attempt moved',
            task=action.task_id,
            attempt=action.attempt,
            reason=action.reason,
        )
        await self._tasks.evict(key)


def _make_attempt_view(
    held: reservations.HeldAttempt, now_ms: int
) -> control.AttemptView:
    return control.AttemptView(
        task_id=held.spec.key.task_id,
        attempt=held.spec.key.attempt,
        family=held.spec.family,
        urgency=held.spec.urgency,
        reserved=held.spec.declared,
        used=held.used,
        is_movable=held.spec.idempotent,
        run_ms=max(now_ms - held.started_at_ms, 0),
    )


async def _reject_unknown(action: Any) -> None:
    raise TypeError(f'unknown control action {type(action).__name__}')
