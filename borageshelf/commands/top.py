"""The command ``top``: a live view over the administration API."""

from collections import abc
import sys
import time
from typing import Any, Final

import cleo.helpers

from borageshelf.commands import base
from borageshelf.commands import http_documents
from borageshelf.commands import statuses
from borageshelf import errors
from borageshelf import options as options_module

DEFAULT_INTERVAL_MS: Final = 2_000
DOCUMENTS: Final = ('health', 'queues', 'quotas', 'shards', 'targets')
TARGETS_SHOWN: Final = 30

_CLEAR_SCREEN: Final = '\x1b[H\x1b[2J'


class TopCommand(base.Command):
    """Show entries, queues, quotas and targets."""

    name = 'top'
    description = 'Shows a live view of entries, queues and targets'
    options = [
        base.JSON_FLAG,
        cleo.helpers.option('once', description='Show the state once'),
        cleo.helpers.option(
            'interval-ms', description='Time between views', flag=False
        ),
        *base.make_flags(options_module.OperatorOptions),
    ]

    def execute_command(self) -> int:
        """Show the state until interrupted."""
        interval_ms = self.read_integer(
            'interval-ms', self.option('interval-ms'), DEFAULT_INTERVAL_MS
        )
        clients = self._make_clients()
        while True:
            states = {
                url: read_state(client) for url, client in clients.items()
            }
            has_answer = any('error' not in item for item in states.values())
            if self.wants_json():
                self.print_json(states)
            else:
                if not self.option('once') and sys.stdout.isatty():
                    self.io.output.write(_CLEAR_SCREEN)
                self.print_text('\n'.join(render_states(states)))
            if self.option('once'):
                return statuses.OK if has_answer else statuses.UNAVAILABLE
            try:
                time.sleep(interval_ms / 1000)
            except KeyboardInterrupt:
                return statuses.OK

    def _make_clients(self) -> dict[str, http_documents.Client]:
        settings = self.read_options(options_module.OperatorOptions)
        missing = [
            options_module.Fault(name, 'missing')
            for name, value in (
                ('admin-urls', settings.admin_urls),
                ('admin-token', settings.admin_token),
            )
            if not value
        ]
        if missing:
            raise options_module.OptionsError(missing)
        return {
            url: http_documents.Client(
                url, settings.admin_token, settings.admin_ca_path
            )
            for url in settings.admin_urls
        }


def read_state(client: http_documents.Client) -> dict[str, Any]:
    """Return the documents of one entry, or its error."""
    try:
        return {
            name: http_documents.check_answer(
                client.send('GET', f'/v1/{name}')
            )
            for name in DOCUMENTS
        }
    except errors.BorageshelfError as error:
        return {'error': f'{error.code.name}: {error.detail}'}


def render_states(states: abc.Mapping[str, Any]) -> list[str]:
    """Return the lines of the view.

    Targets, teams and shards are known to several entries and shown once.
    """
    lines = ['ENTRY  STATE  VERSION  OWNED SHARDS']
    targets: dict[str, Any] = {}
    quotas: dict[str, Any] = {}
    queues: list[tuple[str, Any]] = []
    for url, state in states.items():
        if 'error' in state:
            lines.append(f'{url}  {state["error"]}')
            continue
        health = state['health']
        entry = health['entry_id']
        shards = state['shards']['shards']
        owned = sum(shard['owner'] == entry for shard in shards)
        lines.append(
            f'{entry}  {health["state"]}  '
            f'{health["configuration_version"]}  {owned}'
        )
        lines.extend(f'  {reason}' for reason in health['reasons'])
        queues.extend((entry, item) for item in state['queues']['queues'])
        for item in state['targets']['targets']:
            known = targets.get(item['target_id'], item)
            newer = max(known, item, key=lambda one: one['reported_at_ms'])
            targets[item['target_id']] = newer
        for item in state['quotas']['quotas']:
            quotas.setdefault(item['team'], item)
    return [
        *lines,
        *_render_queues(queues),
        *_render_quotas(quotas),
        *_render_targets(targets),
    ]


def _render_queues(queues: abc.Sequence[tuple[str, Any]]) -> list[str]:
    lines = ['', 'ENTRY  QUEUE  WAITING  RUNNING  LIMIT']
    lines.extend(
        f'{entry}  {item["kind"]}/{item["name"]}  {item["waiting"]}  '
        f'{item["running"]}  {item["limit"]}'
        for entry, item in queues
        if item['waiting'] or item['running']
    )
    return lines


def _render_quotas(quotas: abc.Mapping[str, Any]) -> list[str]:
    lines = ['', 'TEAM  CORES USED/QUOTA  GB USED/QUOTA  ACCELERATORS']
    for team, item in sorted(quotas.items()):
        used, quota = item['used'], item['quota']
        lines.append(
            f'{team}  {used["processor_millicores"] / 1000:g}/'
            f'{quota["processor_millicores"] / 1000:g}  '
            f'{used["memory_mb"] / 1000:g}/{quota["memory_mb"] / 1000:g}  '
            f'{used["accelerators"]}/{quota["accelerators"]}'
        )
    return lines


def _render_targets(targets: abc.Mapping[str, Any]) -> list[str]:
    """Return the targets with the least free processor time first."""
    lines = ['', 'TARGET  DATA CENTRE  FREE CORES  TASKS  CALLS  P99 MS']
    ordered = sorted(
        targets.values(),
        key=lambda item: (
            item['free']['processor_millicores'],
            item['target_id'],
        ),
    )
    for item in ordered[:TARGETS_SHOWN]:
        marks = ' leaving' if item['is_leaving'] else ''
        marks += ' quarantined' if _is_quarantined(item) else ''
        lines.append(
            f'{item["target_id"]}  {item["data_centre"]}  '
            f'{item["free"]["processor_millicores"] / 1000:g}  '
            f'{item["running_tasks"]}  {item["running_calls"]}  '
            f'{item["service_p99_ms"]:g}{marks}'
        )
    if len(ordered) > TARGETS_SHOWN:
        lines.append(f'and {len(ordered) - TARGETS_SHOWN} more')
    return lines


def _is_quarantined(target: Any) -> bool:
    now_ms = time.time() * 1000
    return bool(target['quarantined_until_deadline_ms'] > now_ms)


COMMANDS: Final = (TopCommand,)
