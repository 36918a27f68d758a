"""Effects of a shard's owner that wait for a commit.

Used by ``shard_owner`` only. A reply to a request that adds records names
them, so that it can be turned into a refusal if exactly these were not stored.
"""

import dataclasses

from borageshelf import errors
from borageshelf.shards import effects


@dataclasses.dataclass(frozen=True)
class _Additions:
    """Records that a request adds or relies on."""

    tasks: frozenset[str] = frozenset()
    claims: frozenset[str] = frozenset()


class WaitingEffects:
    """Effects for the next batch and the requests behind the replies."""

    def __init__(self) -> None:
        self._effects: list[effects.Effect] = []
        self._additions: dict[int, _Additions] = {}

    @property
    def is_empty(self) -> bool:
        """Tell whether no effect waits for the next batch."""
        return not self._effects

    def add(self, effect: effects.Effect) -> None:
        """Let an effect wait for the next batch."""
        self._effects.append(effect)

    def add_reply(
        self,
        reply: effects.Reply,
        tasks: frozenset[str] = frozenset(),
        claims: frozenset[str] = frozenset(),
    ) -> None:
        """Let a reply wait that is true only if the records are stored."""
        self._additions[reply.token] = _Additions(tasks, claims)
        self._effects.append(reply)

    def take(self) -> tuple[effects.Effect, ...]:
        """Return the effects of the next batch."""
        taken = tuple(self._effects)
        self._effects.clear()
        return taken

    def confirm_batch(self, confirmed: tuple[effects.Effect, ...]) -> None:
        """Forget the requests that a committed batch answers."""
        for effect in confirmed:
            if isinstance(effect, effects.Reply):
                self._additions.pop(effect.token, None)

    def abort_batch(
        self,
        taken: tuple[effects.Effect, ...],
        tasks: set[str],
        claims: set[str],
    ) -> tuple[effects.Effect, ...]:
        """Take effects back; return refusals for those that are void.

        :param tasks: ids of tasks that were not stored and are dropped
        :param claims: ids of claims that were not stored and are dropped
        """
        refused: list[effects.Effect] = []
        kept: list[effects.Effect] = []
        for effect in [*taken, *self._effects]:
            if not isinstance(effect, effects.Reply):
                kept.append(effect)
                continue
            additions = self._additions.get(effect.token, _Additions())
            if not (additions.tasks & tasks or additions.claims & claims):
                kept.append(effect)
                continue
            del self._additions[effect.token]
            refused.append(
                effects.Reply(
                    effect.token,
                    errors.STORE_UNAVAILABLE,
                    'the request was not stored',
                )
            )
        self._effects = kept
        return tuple(refused)

    def reply_unknown_to_all(
        self, taken: tuple[effects.Effect, ...]
    ) -> tuple[effects.Reply, ...]:
        """Return the last replies after the loss of the shard.

        The batch under way may have been stored before the shard was lost,
        and a repeat of a request may reach the next owner, so no reply can
        say "not run".
        """
        replies = tuple(
            effects.Reply(
                effect.token,
                errors.OUTCOME_UNKNOWN,
                'the shard has another owner',
            )
            for effect in [*taken, *self._effects]
            if isinstance(effect, effects.Reply)
        )
        self._effects.clear()
        self._additions.clear()
        return replies
