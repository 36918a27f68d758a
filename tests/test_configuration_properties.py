"""Properties of the configuration checks and of the JSON schema."""

import copy
import json
import pathlib
import random
import re
from typing import Any

import hypothesis
from hypothesis import strategies
import pytest
import yaml

from borageshelf.configuration import checks
from borageshelf.configuration import contents
from borageshelf.configuration import differences
from borageshelf.configuration import faults
from borageshelf.configuration import rendering
from borageshelf.configuration import schema
from borageshelf.configuration import yaml_files
from borageshelf.model import objects
from tests import configuration_mutations
from tests import text_cases

ROOT = pathlib.Path(__file__).parents[1]
SETS = {
    name: checks.load_configuration(ROOT / 'examples' / name)
    for name in ('ocre', 'colombo')
}
STRUCTURAL_CODES = range(106, 114)

seeds = strategies.integers(0, 2**32 - 1)
names = strategies.sampled_from(sorted(SETS))
settings = hypothesis.settings(
    max_examples=20, deadline=None, derandomize=True
)


def check(*sections: Any) -> checks.CheckResult:
    """Check a set whose files are the arguments."""
    return checks.check_files(
        [
            yaml_files.SourceFile(
                f'{number}.yaml',
                yaml.safe_dump(content, sort_keys=False).encode(),
            )
            for number, content in enumerate(sections)
        ]
    )


def shuffle(content: Any, rng: random.Random) -> Any:
    """Return a mapping with its keys in random order at each level."""
    if not isinstance(content, dict):
        return content
    keys = rng.sample(list(content), len(content))
    return {key: shuffle(content[key], rng) for key in keys}


@settings
@hypothesis.given(names, seeds, strategies.integers(1, 4))
def test_result_is_independent_of_order_and_files(
    name: str, seed: int, count: int
) -> None:
    """Guards against checks or hashes that depend on the order of objects.

    Operators may order objects and split them over files as they like.
    """
    rng = random.Random(seed)
    sections = rendering.render_sections(SETS[name])
    files: list[dict[str, Any]] = [{} for _ in range(count)]
    for section, content in shuffle(sections, rng).items():
        if section in ('limits', 'objective'):
            rng.choice(files)[section] = content
            continue
        for key, value in content.items():
            rng.choice(files).setdefault(section, {})[key] = value
    checked = check(*files)
    assert checked.faults == ()
    assert checked.configuration == SETS[name]
    assert contents.encode_parts(checked.configuration) == (
        contents.encode_parts(SETS[name])
    )


@pytest.mark.parametrize(
    'mutation',
    configuration_mutations.MUTATIONS,
    ids=lambda item: item.code.name,
)
@settings
@hypothesis.given(names, seeds)
def test_single_mutation_is_refused_with_its_fault_code(
    mutation: configuration_mutations.Mutation, name: str, seed: int
) -> None:
    """Guards against faults that are accepted or reported under a wrong code.

    The schema must refuse exactly the faults that a single document shows.
    """
    sections = copy.deepcopy(rendering.render_sections(SETS[name]))
    mutation.change(sections, random.Random(seed))
    checked = check(sections)
    found = {fault.number for fault in checked.faults}
    follow_ups = {code.number for code in mutation.follow_ups}
    assert mutation.code.number in found
    assert found <= {mutation.code.number, *follow_ups}
    assert checked.configuration is None
    is_structural = mutation.code.number in STRUCTURAL_CODES
    assert conforms(SCHEMA, sections) != is_structural


def test_every_fault_code_is_tested() -> None:
    """Guards against a fault code that no mutation or case produces."""
    mutated = {item.code.name for item in configuration_mutations.MUTATIONS}
    cases = text_cases.read_cases('*-checks.test')
    expected_texts = ' '.join(case.expected for case in cases)
    tested_elsewhere = {'UNREADABLE_FILE', 'FILE_TOO_LARGE'}
    for code in faults.REGISTRY.values():
        assert (
            code.name in mutated | tested_elsewhere
            or code.name in expected_texts
        )


def test_unusable_files_are_reported(tmp_path: pathlib.Path) -> None:
    """Guards against unusable files that are skipped without a fault."""
    (fault,) = checks.check_folder(tmp_path / 'absent').faults
    assert fault.number == faults.UNREADABLE_FILE.number
    large = tmp_path / 'large.yaml'
    large.write_bytes(b'#' * (yaml_files.FILE_LIMIT_BYTES + 1))
    (tmp_path / 'latin.yml').write_bytes(b'teams: {\xff: 1}')
    (tmp_path / 'deep.yaml').write_text('[' * 10_000)
    (tmp_path / 'folder.yaml').mkdir()
    found = {
        fault.path: fault for fault in checks.check_folder(tmp_path).faults
    }
    assert found['large.yaml'].number == faults.FILE_TOO_LARGE.number
    assert found['latin.yml'].number == faults.YAML_SYNTAX.number
    assert found['deep.yaml'].number == faults.YAML_SYNTAX.number
    assert found['folder.yaml'].number == faults.UNREADABLE_FILE.number


@settings
@hypothesis.given(strategies.binary(max_size=60) | strategies.text())
def test_any_input_gives_a_list_of_faults(data: bytes | str) -> None:
    """Guards against an exception on malformed or hostile files."""
    raw = data if isinstance(data, bytes) else data.encode(errors='replace')
    checks.check_files([yaml_files.SourceFile('a.yaml', raw)])


json_values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=5),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=5), inner, max_size=3
        )
    ),
    max_leaves=5,
)


@settings
@hypothesis.given(names, seeds, json_values)
def test_any_value_in_a_field_gives_a_list_of_faults(
    name: str, seed: int, value: Any
) -> None:
    """Guards against an exception on a value of an unexpected type."""
    sections = copy.deepcopy(rendering.render_sections(SETS[name]))
    places = configuration_mutations.list_field_places(sections)
    item, field = random.Random(seed).choice(places)
    item[field.name] = value
    check(sections)


@settings
@hypothesis.given(names, seeds)
def test_rendered_set_reads_back_unchanged(name: str, seed: int) -> None:
    """Guards against a rollback that publishes another set.

    A rollback renders the earlier version and reads the result again.
    """
    rng = random.Random(seed)
    sections = rendering.render_sections(SETS[name])
    team = rng.choice(list(sections['teams'].values()))
    team['quota']['processor'] = f'{rng.randrange(1, 700_000)} millicores'
    sections['jobs'].pop(rng.choice(list(sections['jobs'])))
    configuration = check(sections).configuration
    hypothesis.assume(configuration is not None)
    assert configuration is not None
    text = rendering.render_document(configuration).encode()
    again = checks.check_files([yaml_files.SourceFile('a', text)])
    assert again.configuration == configuration
    assert differences.find_changes(configuration, configuration) == ()
    changed = differences.find_changes(SETS[name], configuration)
    assert 'removed' in {change.kind for change in changed}


def test_committed_schema_is_current() -> None:
    """Guards against a published schema that differs from the checks."""
    committed = ROOT / 'docs' / 'configuration.schema.json'
    assert committed.read_text() == schema.render_schema()


@pytest.mark.parametrize('name', sorted(SETS))
def test_example_documents_conform_to_the_schema(name: str) -> None:
    """Guards against a schema that refuses what the checks accept."""
    for path in (ROOT / 'examples' / name).glob('*.yaml'):
        assert conforms(SCHEMA, yaml.safe_load(path.read_text()))


def test_examples_meet_the_users_requirements() -> None:
    """Guards against examples that no longer show what the design requires."""
    ocre, colombo = SETS['ocre'], SETS['colombo']
    assert not ocre.jobs['kiln-blend-plan'].idempotent
    assert not colombo.jobs['billing-run'].idempotent
    monitor = ocre.jobs['pit-monitor']
    assert monitor.work_class is objects.WorkClass.MONITOR
    assert monitor.replicas == 2
    assert ocre.placements[monitor.placement].spread == 'data_centre'
    assert ocre.objective.batch_throughput > ocre.objective.tail_latency
    assert colombo.objective.tail_latency > colombo.objective.batch_throughput


SCHEMA: dict[str, Any] = json.loads(schema.render_schema())
TYPES: dict[str, tuple[type, ...]] = {
    'object': (dict,),
    'array': (list,),
    'string': (str,),
    'boolean': (bool,),
    'integer': (int,),
    'number': (int, float),
}


def conforms(rule: dict[str, Any], value: Any) -> bool:
    """Tell whether a value conforms to a rule of a JSON schema.

    Covers only the subset of JSON schema that the project uses.
    """
    if '$ref' in rule:
        name = rule['$ref'].rpartition('/')[2]
        return conforms(SCHEMA['$defs'][name], value)
    python_types = TYPES[rule['type']]
    is_boolean_as_number = isinstance(value, bool) and bool not in python_types
    if not isinstance(value, python_types) or is_boolean_as_number:
        return False
    if isinstance(value, dict):
        return conforms_mapping(rule, value)
    if isinstance(value, list):
        return all(conforms(rule['items'], item) for item in value)
    if isinstance(value, str):
        return (
            re.search(rule.get('pattern', ''), value) is not None
            and value in rule.get('enum', [value])
            and rule.get('minLength', 0) <= len(value)
            and len(value) <= rule.get('maxLength', len(value))
        )
    return bool(
        rule.get('minimum', value) <= value <= rule.get('maximum', value)
    )


def conforms_mapping(rule: dict[str, Any], value: dict[str, Any]) -> bool:
    """Tell whether a mapping conforms to a rule of a JSON schema."""
    pattern = rule.get('propertyNames', {}).get('pattern', '')
    properties = rule.get('properties', {})
    additional = rule['additionalProperties']
    return all(name in value for name in rule.get('required', ())) and all(
        re.search(pattern, key) is not None
        and (key in properties or additional is not False)
        and conforms(properties.get(key, additional), item)
        for key, item in value.items()
    )
