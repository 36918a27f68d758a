"""Settings of each kind of process, from flags and the environment.

Every command reads its settings first. A flag takes precedence over its
environment variable. All invalid, missing and contradictory settings are
reported together, so that one run shows everything that must be corrected.
"""

from collections import abc
import dataclasses
from typing import Any, Final, TypeVar

from borageshelf import settings

ENVIRONMENT_PREFIX: Final = 'BORAGESHELF_'
EXIT_WRONG_SETTINGS: Final = 2
DEFAULT_DRAIN_MS: Final = 30_000
DEFAULT_CLOCK_SKEW_MS: Final = 2_000
DEFAULT_TICK_MS: Final = 100
DEFAULT_GRANT_MS: Final = 30_000
DEFAULT_SHARDS: Final = 16
DEFAULT_UNFINISHED_REQUESTS_LIMIT_BYTES: Final = 41_943_040
DEFAULT_CONNECTIONS_LIMIT: Final = 1_500
DEFAULT_STALL_LIMIT_MS: Final = 15_000
# The owner renews its grants in each exchange. A grant of fewer ticks would
# expire if an exchange were lost.
MINIMUM_TICKS_PER_GRANT: Final = 10

Address = settings.Address


@dataclasses.dataclass(frozen=True)
class Fault:
    """One invalid, missing or contradictory setting.

    :param setting: name of the flag or of the environment variable
    """

    setting: str
    problem: str

    def __str__(self) -> str:
        """Return the line that is shown to the operator."""
        return f'{self.setting}: {self.problem}'


class OptionsError(Exception):
    """The settings of a process are invalid.

    :param faults: all faults, in the order of the settings
    """

    def __init__(self, faults: abc.Sequence[Fault]) -> None:
        super().__init__('\n'.join(map(str, faults)))
        self.faults = tuple(faults)


@dataclasses.dataclass(frozen=True)
class Setting:
    """How the value of one field of an options class is read.

    :param field: name of the field
    :param help: description of the setting in the help text
    :param parse: converts text to the value; raises ValueError
    :param is_required: whether there is no default
    :param is_secret: read from the environment only, because command lines
        are visible to every process on the VM
    """

    field: str
    help: str
    parse: abc.Callable[[str], Any]
    is_required: bool
    is_secret: bool

    @property
    def flag(self) -> str:
        """Name of the flag, without the leading dashes."""
        return self.field.replace('_', '-')

    @property
    def variable(self) -> str:
        """Name of the environment variable."""
        return ENVIRONMENT_PREFIX + self.field.upper()


def define_setting(
    parse: abc.Callable[[str], Any],
    help_text: str,
    default: Any = dataclasses.MISSING,
    is_secret: bool = False,
) -> Any:
    """Return a dataclass field that is read from a flag or the environment.

    :param parse: converts text to the value; raises ValueError
    :param default: value of a setting that is not given
    """
    metadata = {'parse': parse, 'help': help_text, 'is_secret': is_secret}
    return dataclasses.field(
        default=default, metadata=metadata, repr=not is_secret
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Options:
    """Base of the options classes."""

    @classmethod
    def find_contradictions(
        cls, values: abc.Mapping[str, Any]
    ) -> abc.Iterator[Fault]:
        """Yield faults of settings that contradict one another.

        :param values: values of the valid settings; others are absent
        """
        yield from ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class ProcessOptions(Options):
    """Settings that every long-running process has."""

    data_centre: str = define_setting(
        settings.parse_name, 'data centre in which the process runs'
    )
    statsd_address: settings.Address | None = define_setting(
        settings.parse_reachable_address, 'statsd receiver, ADDRESS:PORT', None
    )
    drain_ms: int = define_setting(
        settings.parse_integer(0, 3_600_000),
        'time for requests in flight and tasks on a planned stop, in ms',
        DEFAULT_DRAIN_MS,
    )
    clock_skew_ms: int = define_setting(
        settings.parse_integer(0, 60_000),
        'bound of the difference between two clocks, in ms',
        DEFAULT_CLOCK_SKEW_MS,
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntryOptions(ProcessOptions):
    """Settings of an entry process."""

    entry_id: str = define_setting(
        settings.parse_name, 'unique id of the entry'
    )
    region: str = define_setting(
        settings.parse_name, 'region of the data centre'
    )
    caller_address: settings.Address = define_setting(
        settings.parse_address,
        "listen address of the callers' HTTP, ADDRESS:PORT",
    )
    inner_address: settings.Address = define_setting(
        settings.parse_reachable_address,
        'listen address of the internal protocol, ADDRESS:PORT; agents and '
        'other entries connect to it',
    )
    admin_address: settings.Address = define_setting(
        settings.parse_address, 'listen address of the administration API'
    )
    admin_token: str = define_setting(
        settings.parse_token, 'token of the administration API', is_secret=True
    )
    admin_certificate_path: str = define_setting(
        settings.parse_path,
        'PEM certificate of the administration listener',
        '',
    )
    admin_key_path: str = define_setting(
        settings.parse_path, 'PEM key of the administration listener', ''
    )
    store_url: str = define_setting(
        settings.parse_url, 'URL of the key-value store'
    )
    shards: int = define_setting(
        settings.parse_integer(1, 256),
        'number of shards, the same for all entries',
        DEFAULT_SHARDS,
    )
    tick_ms: int = define_setting(
        settings.parse_integer(10, 10_000),
        'interval of the group commit, in ms',
        DEFAULT_TICK_MS,
    )
    grant_ms: int = define_setting(
        settings.parse_integer(1_000, 600_000),
        'length of a grant to a running attempt, in ms',
        DEFAULT_GRANT_MS,
    )
    unfinished_requests_limit_bytes: int = define_setting(
        settings.parse_integer(4_000_000, 16_000_000_000),
        'memory for what callers have sent of requests and have not taken of '
        'answers, in bytes',
        DEFAULT_UNFINISHED_REQUESTS_LIMIT_BYTES,
    )
    connections_limit: int = define_setting(
        settings.parse_integer(16, 1_000_000),
        'connections of callers, agents and entries that the process accepts',
        DEFAULT_CONNECTIONS_LIMIT,
    )
    headers_limit_ms: int = define_setting(
        settings.parse_integer(100, 600_000),
        'time from the first byte of a request to the end of its headers, in '
        'ms',
        DEFAULT_STALL_LIMIT_MS,
    )
    body_stall_limit_ms: int = define_setting(
        settings.parse_integer(100, 600_000),
        'time that a body may be without progress, in ms',
        DEFAULT_STALL_LIMIT_MS,
    )
    answer_stall_limit_ms: int = define_setting(
        settings.parse_integer(100, 600_000),
        'time in which a caller may take nothing of its answer, in ms',
        DEFAULT_STALL_LIMIT_MS,
    )

    @classmethod
    def find_contradictions(
        cls, values: abc.Mapping[str, Any]
    ) -> abc.Iterator[Fault]:
        """Yield shared listen addresses, incomplete TLS and short grants."""
        yield from _find_shared_listeners(values)
        certificate = values.get('admin_certificate_path')
        key = values.get('admin_key_path')
        if certificate and key == '':
            yield Fault(
                'admin-key-path',
                'missing, although admin-certificate-path is set',
            )
        if key and certificate == '':
            yield Fault(
                'admin-certificate-path',
                'missing, although admin-key-path is set',
            )
        grant_ms = values.get('grant_ms')
        tick_ms = values.get('tick_ms')
        if (
            grant_ms
            and tick_ms
            and grant_ms < MINIMUM_TICKS_PER_GRANT * tick_ms
        ):
            yield Fault(
                'grant-ms',
                f'must be at least {MINIMUM_TICKS_PER_GRANT} times tick-ms, '
                f'which is {tick_ms}',
            )
        skew_ms = values.get('clock_skew_ms')
        if grant_ms and skew_ms and grant_ms <= 2 * skew_ms:
            yield Fault(
                'grant-ms',
                f'must exceed twice clock-skew-ms, which is {skew_ms}',
            )


@dataclasses.dataclass(frozen=True, kw_only=True)
class AgentOptions(ProcessOptions):
    """Settings of an agent process."""

    target_id: str = define_setting(
        settings.parse_name, 'unique id of the target'
    )
    rack: str = define_setting(settings.parse_name, 'rack of the VM')
    seeds: tuple[settings.Address, ...] = define_setting(
        settings.parse_addresses,
        'internal addresses of some entries, separated by commas',
    )
    worker_url: str = define_setting(
        settings.parse_url, 'URL of the worker on this VM', ''
    )
    executor_url: str = define_setting(
        settings.parse_url, 'URL of the executor on this VM', ''
    )

    @classmethod
    def find_contradictions(
        cls, values: abc.Mapping[str, Any]
    ) -> abc.Iterator[Fault]:
        """Yield faults of the URLs of the back ends.

        A target without a back end can run no work.
        """
        worker_url = values.get('worker_url')
        executor_url = values.get('executor_url')
        if worker_url == '' and executor_url == '':
            yield Fault(
                'worker-url', 'missing, and executor-url is missing as well'
            )
        if worker_url and worker_url == executor_url:
            yield Fault('executor-url', 'must differ from worker-url')


@dataclasses.dataclass(frozen=True, kw_only=True)
class OperatorOptions(Options):
    """Settings of the operators' commands."""

    store_url: str = define_setting(
        settings.parse_url, 'URL of the key-value store', ''
    )
    admin_urls: tuple[str, ...] = define_setting(
        settings.parse_urls,
        'URLs of administration APIs, separated by commas',
        (),
    )
    admin_token: str = define_setting(
        settings.parse_token,
        'token of the administration API',
        '',
        is_secret=True,
    )
    admin_ca_path: str = define_setting(
        settings.parse_path,
        'PEM certificate to trust for the administration API',
        '',
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerOptions(Options):
    """Settings of the callers' commands."""

    entry_url: str = define_setting(
        settings.parse_url, "URL of an entry or of the entries' load balancer"
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class NodeOptions(Options):
    """Settings of the processes of the workflow scheduler."""

    node_file: str = define_setting(
        settings.parse_path, 'settings file of the process'
    )


OptionsType = TypeVar('OptionsType', bound=Options)
KINDS: Final[tuple[type[Options], ...]] = (
    EntryOptions,
    AgentOptions,
    OperatorOptions,
    CallerOptions,
    NodeOptions,
)


def list_settings(kind: type[Options]) -> tuple[Setting, ...]:
    """Return the settings of an options class."""
    return tuple(
        Setting(
            field.name,
            field.metadata['help'],
            field.metadata['parse'],
            field.default is dataclasses.MISSING,
            field.metadata['is_secret'],
        )
        for field in dataclasses.fields(kind)
    )


def build_options(
    kind: type[OptionsType],
    flags: abc.Mapping[str, str | None],
    environment: abc.Mapping[str, str],
) -> OptionsType:
    """Return the options of a process.

    :param flags: values by flag name without leading dashes; None if not given
    :param environment: environment variables
    :raises OptionsError: with all faults
    """
    faults: list[Fault] = []
    values: dict[str, Any] = {}
    for setting in list_settings(kind):
        try:
            _read_setting(setting, flags, environment, values)
        except ValueError as error:
            faults.append(Fault(setting.flag, str(error)))
    faulty_flags = {fault.setting for fault in faults}
    valid_values = {
        field.name: values.get(field.name, field.default)
        for field in dataclasses.fields(kind)
        if _make_flag_name(field.name) not in faulty_flags
    }
    faults.extend(kind.find_contradictions(valid_values))
    faults.extend(_find_unknown_variables(environment))
    if faults:
        raise OptionsError(faults)
    return kind(**values)


def _read_setting(
    setting: Setting,
    flags: abc.Mapping[str, str | None],
    environment: abc.Mapping[str, str],
    values: dict[str, Any],
) -> None:
    """Add the value of a setting to ``values`` if it is given.

    :raises ValueError: if the value is invalid, or missing without a default
    """
    text = None if setting.is_secret else flags.get(setting.flag)
    origin = f'--{setting.flag}'
    if text is None:
        text = environment.get(setting.variable)
        origin = setting.variable
    if text is None:
        if setting.is_required:
            flag = '' if setting.is_secret else f'--{setting.flag} or '
            raise ValueError(f'missing; set {flag}{setting.variable}')
        return
    if not text:
        raise ValueError(f'{origin} is empty')
    try:
        values[setting.field] = setting.parse(text)
    except ValueError as error:
        raise ValueError(f'{origin} {error}') from None


def _find_shared_listeners(
    values: abc.Mapping[str, Any],
) -> abc.Iterator[Fault]:
    """Yield listeners that would bind the same address and port."""
    listeners: dict[int, list[tuple[str, settings.Address]]] = {}
    for field in ('caller_address', 'inner_address', 'admin_address'):
        address = values.get(field)
        if address is None:
            continue
        for other_flag, other in listeners.get(address.port, []):
            hosts = {address.host, other.host}
            has_wildcard = bool(hosts & {'0.0.0.0', '::'})
            if len(hosts) == 1 or has_wildcard:
                yield Fault(
                    _make_flag_name(field),
                    f'{address} is taken by {other_flag}',
                )
                break
        listeners.setdefault(address.port, []).append(
            (_make_flag_name(field), address)
        )


def _find_unknown_variables(
    environment: abc.Mapping[str, str],
) -> abc.Iterator[Fault]:
    """Yield unknown variables, such as misspelt ones.

    A misspelt variable would otherwise be ignored without notice.
    """
    known = {
        setting.variable for kind in KINDS for setting in list_settings(kind)
    }
    for variable in sorted(environment):
        if variable.startswith(ENVIRONMENT_PREFIX) and variable not in known:
            yield Fault(variable, 'is not a known variable')


def _make_flag_name(field: str) -> str:
    return field.replace('_', '-')
