"""Exit codes and output of the command that checks configurations."""

import msgspec
import pytest
from click.testing import CliRunner

from whinrack.cli._main import main

WORKSPACE = {"name": "w", "keys": ["secret-1"]}
SOUND = {"version": 2, "workspaces": [WORKSPACE]}
WARNED = SOUND | {"pools": [{"name": "p", "max_connections": 0}]}
WRONG = SOUND | {"limits": {"head_bytes": 0}}


def check(value, *options):
    arguments = ["configuration", "check", "-", *options]
    return CliRunner().invoke(main, arguments, input=msgspec.json.encode(value))


@pytest.mark.parametrize(
    ("value", "options", "code"),
    [
        (SOUND, ["--strict"], 0),
        (WARNED, [], 0),
        (WARNED, ["--strict"], 4),
        (WRONG, [], 4),
        ("text", [], 4),
        (SOUND, ["--in-force", "absent.json"], 2),
    ],
)
def test_exit_codes(value, options, code):
    assert check(value, *options).exit_code == code


@pytest.mark.parametrize("output", ["text", "json"])
def test_output_has_findings_and_differences_but_no_keys(tmp_path, output):
    (tmp_path / "old.json").write_bytes(msgspec.json.encode(SOUND | {"workspaces": []}))
    changed = WRONG | {"workspaces": [WORKSPACE, WORKSPACE | {"name": "v"}]}
    result = check(changed, "--in-force", str(tmp_path / "old.json"), "--output", output)
    for text in ("zero_limit", "duplicate_key", "workspace v", "head_bytes"):
        assert text in result.output
    assert "secret" not in result.output
