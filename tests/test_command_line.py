"""The command line without a fleet: help, exit codes, policies and settings."""

import pathlib
import subprocess
import sys

import pytest
from click.testing import CliRunner

from whinrack.cli._main import main

ROOT = pathlib.Path(__file__).resolve().parent.parent


def run(*arguments):
    return CliRunner().invoke(main, [str(argument) for argument in arguments])


def test_the_example_settings_and_programs_are_valid():
    assert run("settings", "check", ROOT / "examples/router.ini").exit_code == 0
    assert run("policy", "check", ROOT / "examples/declarations/daytime.cel").exit_code == 0


def test_the_examples_run():
    program = ROOT / "examples/declarations/daytime.cel"
    result = run("policy", "try", program, ROOT / "examples/sample-request.toml")
    assert "spread: affinity" in result.output
    example = subprocess.run(
        [sys.executable, ROOT / "examples/books.py"], capture_output=True, text=True, check=True
    )
    assert "free after the release: 820" in example.stdout


def test_a_policy_can_be_tried_without_a_fleet(tmp_path):
    sample = tmp_path / "sample.toml"
    sample.write_text('[request]\nrequest_class = "deferrable"\n[pools.small]\ntargets = 2\n')
    result = run("policy", "try", ROOT / "examples/declarations/daytime.cel", sample)
    assert result.exit_code == 0
    assert "attempts: 3" in result.output
    sample.write_text('[request]\nrequest_class = "urgent"\n')
    assert run("policy", "try", ROOT / "examples/declarations/daytime.cel", sample).exit_code == 4


@pytest.mark.parametrize(("text", "code"), [("[instance]\nname = X\n", 4), ("nothing", 4)])
def test_invalid_settings_have_their_exit_code(tmp_path, text, code):
    path = tmp_path / "r.ini"
    path.write_text(text)
    result = run("settings", "check", path)
    assert result.exit_code == code
    assert "invalid_settings" in result.stderr


def test_an_unreachable_platform_has_its_exit_code():
    assert run("get", "Workspace", "--platform", "127.0.0.1:1").exit_code == 5


def test_every_command_has_help():
    def walk(command, path):
        assert command.help, path
        for name, child in getattr(command, "commands", {}).items():
            walk(child, [*path, name])

    walk(main, [])


def test_a_created_key_is_declared_without_its_secret(tmp_path):
    path = tmp_path / "key.toml"
    options = ["--workspace", "w", "--budget", "b", "--declaration", path]
    bearer = run("key", "create", "bench", *options).output.strip()
    assert bearer.startswith("wr_bench_")
    assert bearer.split("_")[2] not in path.read_text()
