"""Runs the control loop of a VM: throttles first, then moves.

``decisions.control`` decides; this module keeps its state, feeds it with
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
    """Control of the batch attempts beside a service."""

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
        self._table = interference.Table()
        self._act = functools.singledispatch(_act_unknown)
        self._act.register(control.Throttle, self._throttle)
        self._act.register(control.Evict, self._move)

    async def run(
        self,
        service: str,
        p99_ms: float,
        configuration: objects.Configuration,
        load: float = 0.0,
    ) -> None:
        """Take the next step.

        The latency counts as measured in the middle of its window, so that
        no step is taken on calls from before the last step.

        :param load: share of the executor's slots in use
        """
        now_ms = clock.read_wall_clock_ms()
        running = [
            held
            for held in self._tasks.ledger.list_held()
            if held.state is reservations.HeldState.RUNNING
        ]
        self._note_starts()
        if service and p99_ms > 0:
            self._learn(service, p99_ms, load, running, now_ms)
        goal = configuration.services.get(service)
        view = control.VmView(
            capacity=self._capacity,
            attempts=[_view_attempt(held, now_ms) for held in running],
            service=service,
            target_p99_ms=goal.target_p99_ms if goal is not None else 0.0,
            p99_ms=p99_ms,
            measured_at_ms=now_ms - agent_calls.SAMPLE_WINDOW_MS // 2,
        )
        self._state, actions = control.decide_actions(
            self._state,
            view,
            self._table,
            configuration.objective,
            configuration.limits,
            now_ms,
        )
        for action in actions:
            await self._act(action)

    def _note_starts(self) -> None:
        for key, speed in self._tasks.speeds.items():
            self._state = control_state.add_start_speed(
                self._state, key.task_id, speed
            )
        self._tasks.speeds.clear()

    def _learn(
        self,
        service: str,
        p99_ms: float,
        load: float,
        running: list[reservations.HeldAttempt],
        now_ms: int,
    ) -> None:
        whole = max(self._capacity.processor_millicores, 1)
        shares: dict[str, float] = {}
        for held in running:
            share = held.used.processor_millicores / whole
            family = held.spec.family
            shares[family] = shares.get(family, 0.0) + share
        seen = interference.Observation(service, p99_ms, load, shares, now_ms)
        self._table = interference.observe(self._table, seen)

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

    async def _move(self, action: control.Evict) -> None:
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


def _view_attempt(
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


async def _act_unknown(action: Any) -> None:
    raise TypeError(f'no action for {type(action).__name__}')
