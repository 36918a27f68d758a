"""Carries out the effects of shard owners: messages to agents and replies."""

import asyncio
import functools
import itertools
from typing import Any

from borageshelf.entry import sessions as sessions_module
from borageshelf.protocol import convert
from borageshelf.protocol import inner_pb2
from borageshelf.shards import effects
from borageshelf import telemetry as telemetry_module


class EffectSender:
    """Sends what owners ask for over the streams of this entry."""

    def __init__(
        self,
        registry: sessions_module.SessionRegistry,
        telemetry: telemetry_module.Telemetry,
    ) -> None:
        self._registry = registry
        self._telemetry = telemetry
        self._replies: dict[int, asyncio.Future[effects.Reply]] = {}
        self._tokens = itertools.count(1)
        self._send = functools.singledispatch(_send_unknown)
        for kind, handle in (
            (effects.SendStart, self._send_start),
            (effects.SendStop, self._send_stop),
            (effects.SendRelease, self._send_release),
            (effects.SendGrants, self._send_grants),
            (effects.Reply, self._reply),
        ):
            self._send.register(kind, handle)

    def dispatch(self, effect: effects.Effect) -> bool:
        """Carry an effect out; tell whether it could be sent."""
        return self._send(effect)

    def expect_reply(self) -> tuple[int, asyncio.Future[effects.Reply]]:
        """Return a new token and the future of its reply."""
        token = next(self._tokens)
        future = asyncio.get_running_loop().create_future()
        self._replies[token] = future
        return token, future

    def forget_reply(self, token: int) -> None:
        """Drop a reply for which nobody waits any more."""
        self._replies.pop(token, None)

    def _send_start(self, effect: effects.SendStart) -> bool:
        session = self._registry.find(effect.target_id)
        if session is None:
            return False
        if session.identity.agent_boot_id != effect.agent_boot_id:
            return False
        self._telemetry.count(
            telemetry_module.TASKS_STARTED, effect.task.family
        )
        return session.send(start=convert.pack_start(effect))

    def _send_stop(self, effect: effects.SendStop) -> bool:
        session = self._registry.find(effect.target_id)
        if session is None:
            return False
        attempt = convert.pack_attempt(effect.attempt)
        stop = inner_pb2.Stop(
            attempt=attempt,
            checkpoint=effect.checkpoint,
            only_unstarted=effect.only_unstarted,
        )
        return session.send(stop=stop)

    def _send_release(self, effect: effects.SendRelease) -> bool:
        session = self._registry.find(effect.target_id)
        if session is None:
            return False
        attempt = convert.pack_attempt(effect.attempt)
        return session.send(release=inner_pb2.Release(attempt=attempt))

    def _send_grants(self, effect: effects.SendGrants) -> bool:
        session = self._registry.find(effect.target_id)
        if session is None:
            return False
        renew = inner_pb2.Renew(
            grants=[convert.pack_grant(grant) for grant in effect.grants],
            report_interval_ms=self._registry.find_report_interval_ms(),
        )
        return session.send(renew=renew)

    def _reply(self, effect: effects.Reply) -> bool:
        future = self._replies.get(effect.token)
        if future is None or future.done():
            return False
        future.set_result(effect)
        return True


def _send_unknown(effect: Any) -> bool:
    raise TypeError(f'no handler for {type(effect).__name__}')
