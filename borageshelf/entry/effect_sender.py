"""Carries out the effects of shard owners: messages to agents, replies."""

import asyncio
import functools
import itertools
from typing import Any

from borageshelf.entry import sessions
from borageshelf.protocol import convert
from borageshelf.protocol import inner_pb2
from borageshelf.shards import effects
from borageshelf import telemetry


class EffectSender:
    """Carries out effects over the streams of this entry to agents."""

    def __init__(
        self,
        registry: sessions.SessionRegistry,
        metrics: telemetry.Telemetry,
    ) -> None:
        self._registry = registry
        self._metrics = metrics
        self._replies: dict[int, asyncio.Future[effects.Reply]] = {}
        self._reply_tokens = itertools.count(1)
        self._handle_effect = functools.singledispatch(_reject_unknown_effect)
        for effect_type, handler in (
            (effects.SendStart, self._send_start),
            (effects.SendStop, self._send_stop),
            (effects.SendRelease, self._send_release),
            (effects.SendGrants, self._send_grants),
            (effects.Reply, self._resolve_reply),
        ):
            self._handle_effect.register(effect_type, handler)

    def dispatch(self, effect: effects.Effect) -> bool:
        """Carry out an effect; return whether it could be sent."""
        return self._handle_effect(effect)

    def expect_reply(self) -> tuple[int, asyncio.Future[effects.Reply]]:
        """Return a new token and the future that receives its reply."""
        token = next(self._reply_tokens)
        future = asyncio.get_running_loop().create_future()
        self._replies[token] = future
        return token, future

    def forget_reply(self, token: int) -> None:
        """Ignore the reply to a token for which no request waits any more."""
        self._replies.pop(token, None)

    def _send_start(self, effect: effects.SendStart) -> bool:
        session = self._registry.find(effect.target_id)
        if session is None:
            return False
        if session.identity.agent_boot_id != effect.agent_boot_id:
            return False
        self._metrics.count(telemetry.TASKS_STARTED, effect.task.family)
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
            report_interval_ms=self._registry.compute_report_interval_ms(),
        )
        return session.send(renew=renew)

    def _resolve_reply(self, effect: effects.Reply) -> bool:
        future = self._replies.get(effect.token)
        if future is None or future.done():
            return False
        future.set_result(effect)
        return True


def _reject_unknown_effect(effect: Any) -> bool:
    raise TypeError(f'no handler for effects of type {type(effect).__name__}')
