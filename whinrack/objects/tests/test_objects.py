"""Tests of object validation, references, declarations and bearer keys."""

import pytest

from whinrack.exceptions import InvalidObject
from whinrack.objects import (
    RoutingPolicy,
    Workspace,
    check_references,
    decode_spec,
    load_declarations,
    make_key,
    verify_key,
)


@pytest.mark.parametrize(
    ("kind", "value", "field"),
    [
        ("Workspace", {"weighting": "cheap"}, "weighting"),
        ("Workspace", {"polcy": "x"}, "polcy"),
        ("Budget", {}, "workspace"),
        ("Budget", {"workspace": "w", "topups": [{"id": "a", "tokens": -1}]}, "topups.tokens"),
        ("Budget", {"workspace": "w", "topups": [{"id": "a", "tokens": 1}] * 2}, "topups"),
        ("TargetPool", {"models": []}, "models"),
        ("TargetPool", {"models": ["m"], "request_timeout": 0}, "request_timeout"),
        ("TargetPool", {"models": ["m"], "queue_limit": 0}, "queue_limit"),
        ("Target", {"pool": "p", "address": "example.org:1"}, "address"),
        ("Target", {"pool": "p", "address": "10.0.0.1:1", "max_concurrency": 0}, "max_conc"),
        ("Unknown", {}, "kind"),
    ],
)
def test_invalid_object_is_refused_with_its_field(kind, value, field):
    with pytest.raises(InvalidObject) as raised:
        decode_spec(kind, "n", value)
    assert field in raised.value.message


@pytest.mark.parametrize("name", ["", "A", "a b", "-a", "a" * 64, "../a"])
def test_invalid_name_is_refused(name):
    with pytest.raises(InvalidObject):
        decode_spec("Workspace", name, {})


def test_missing_reference_is_refused():
    objects = {("Workspace", "w"): Workspace(policy="p")}
    with pytest.raises(InvalidObject):
        check_references(objects)
    check_references({**objects, ("RoutingPolicy", "p"): RoutingPolicy(program="{}")})


def test_declarations_are_loaded_with_their_programs(tmp_path):
    (tmp_path / "p.cel").write_text("{}")
    text = 'kind = "RoutingPolicy"\nname = "p"\n[spec]\nprogram_file = "p.cel"\n'
    (tmp_path / "p.toml").write_text(text)
    (declaration,) = load_declarations(tmp_path)
    assert declaration.spec == RoutingPolicy(program="{}")
    (tmp_path / "again.toml").write_text(text)
    with pytest.raises(InvalidObject):
        load_declarations(tmp_path)


@pytest.mark.parametrize("text", ["not toml", 'kind = "Workspace"\nname = "w"\nextra = 1\n'])
def test_invalid_declaration_is_refused_with_its_file(tmp_path, text):
    (tmp_path / "w.toml").write_text(text)
    with pytest.raises(InvalidObject) as raised:
        load_declarations(tmp_path)
    assert "w.toml" in raised.value.message


def test_only_the_correct_secret_is_accepted():
    bearer, key = make_key("bench", "w", "b")
    assert verify_key(bearer, key)
    assert not verify_key(bearer[:-1] + "0" if bearer[-1] != "0" else bearer[:-1] + "1", key)
    assert not verify_key("something", key)
    assert bearer.split("_")[2] not in str(key)
