"""The command ``top``: a live view from the administration APIs."""

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
DOCUMENT_NAMES: Final = ('health', 'queues', 'quotas', 'shards', 'targets')
TARGETS_SHOWN_LIMIT: Final = 30

Row = tuple[str, ...]

_CLEAR_SCREEN: Final = '\x1b[H\x1b[2J'


class TopCommand(base.Command):
    """Show entries, queues, quotas and targets."""

    name = 'top'
    description = 'Shows a live view of entries, queues and targets'
    options = [
        base.JSON_FLAG,
        cleo.helpers.option('once', description='Show the state once'),
        cleo.helpers.option(
            'interval-ms',
            description='Time between updates in milliseconds',
            flag=False,
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
                url: read_entry_state(client)
                for url, client in clients.items()
            }
            has_answer = any('error' not in item for item in states.values())
            if self.is_json_requested():
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


def read_entry_state(client: http_documents.Client) -> dict[str, Any]:
    """Return the documents of one entry by name, or its error."""
    try:
        return {
            name: http_documents.check_answer(
                client.send('GET', f'/v1/{name}')
            )
            for name in DOCUMENT_NAMES
        }
    except errors.BorageshelfError as error:
        return {'error': f'{error.code.name}: {error.detail}'}


def render_states(states: abc.Mapping[str, Any]) -> list[str]:
    """Return the lines of the view.

    Several entries report the same targets, teams and shards. Targets and
    teams are shown once, with the newest report of a target; a shard counts
    for the entry that owns it.
    """
    entries: list[Row] = [
        ('ENTRY', 'STATE', 'VERSION', 'OWNED SHARDS', 'REMARKS')
    ]
    queues: list[Row] = [('ENTRY', 'QUEUE', 'WAITING', 'RUNNING', 'LIMIT')]
    targets: dict[str, Any] = {}
    quotas: dict[str, Any] = {}
    for url, state in states.items():
        if 'error' in state:
            entries.append((url, 'no answer', '', '', state['error']))
            continue
        entries.append(_describe_entry(state))
        queues.extend(_describe_queues(state))
        for item in state['targets']['targets']:
            known = targets.get(item['target_id'], item)
            newer = max(
                known, item, key=lambda report: report['reported_at_ms']
            )
            targets[item['target_id']] = newer
        for item in state['quotas']['quotas']:
            quotas.setdefault(item['team'], item)
    return [
        *_align_columns(entries),
        '',
        *_align_columns(queues),
        '',
        *_align_columns(_describe_quotas(quotas)),
        '',
        *_align_columns(_describe_targets(targets)),
    ]


def _describe_entry(state: abc.Mapping[str, Any]) -> Row:
    health = state['health']
    entry_id = health['entry_id']
    shards = state['shards']['shards']
    owned_count = sum(shard['owner'] == entry_id for shard in shards)
    return (
        entry_id,
        health['state'],
        str(health['configuration_version']),
        str(owned_count),
        '; '.join(health['reasons']),
    )


def _describe_queues(
    state: abc.Mapping[str, Any],
) -> abc.Iterator[Row]:
    for item in state['queues']['queues']:
        if item['waiting'] or item['running']:
            yield (
                state['health']['entry_id'],
                f'{item["kind"]}/{item["name"]}',
                str(item['waiting']),
                str(item['running']),
                str(item['limit']),
            )


def _describe_quotas(
    quotas: abc.Mapping[str, Any],
) -> list[Row]:
    rows: list[Row] = [
        ('TEAM', 'CORES USED', 'QUOTA', 'GB USED', 'QUOTA', 'ACC.', 'QUOTA')
    ]
    for team, item in sorted(quotas.items()):
        used, quota = item['used'], item['quota']
        rows.append(
            (
                team,
                f'{used["processor_millicores"] / 1000:g}',
                f'{quota["processor_millicores"] / 1000:g}',
                f'{used["memory_mb"] / 1000:g}',
                f'{quota["memory_mb"] / 1000:g}',
                str(used['accelerators']),
                str(quota['accelerators']),
            )
        )
    return rows


def _describe_targets(
    targets: abc.Mapping[str, Any],
) -> list[Row]:
    """Return the rows of the targets with the least free processor time."""
    rows: list[Row] = [
        (
            'TARGET',
            'DATA CENTRE',
            'FREE CORES',
            'TASKS',
            'CALLS',
            'P99 MS',
            'REMARKS',
        )
    ]
    sorted_targets = sorted(
        targets.values(),
        key=lambda item: (
            item['free']['processor_millicores'],
            item['target_id'],
        ),
    )
    for item in sorted_targets[:TARGETS_SHOWN_LIMIT]:
        remarks = ['leaving'] if item['is_leaving'] else []
        remarks += ['quarantined'] if _is_quarantined(item) else []
        rows.append(
            (
                item['target_id'],
                item['data_centre'],
                f'{item["free"]["processor_millicores"] / 1000:g}',
                str(item['running_tasks']),
                str(item['running_calls']),
                f'{item["service_p99_ms"]:g}',
                ', '.join(remarks),
            )
        )
    if len(sorted_targets) > TARGETS_SHOWN_LIMIT:
        rows.append((f'and {len(sorted_targets) - TARGETS_SHOWN_LIMIT} more',))
    return rows


def _align_columns(rows: abc.Sequence[Row]) -> list[str]:
    """Return one line per row, with columns as wide as their widest cell."""
    widths = [
        max(len(row[column]) for row in rows if column < len(row))
        for column in range(len(rows[0]))
    ]
    return [
        '  '.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=False)
        ).rstrip()
        for row in rows
    ]


def _is_quarantined(target: Any) -> bool:
    now_ms = time.time() * 1000
    return bool(target['quarantined_until_deadline_ms'] > now_ms)


COMMANDS: Final = (TopCommand,)
