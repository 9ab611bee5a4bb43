"""Tests of settings validation; error messages must not contain secrets."""

import pytest

from whinrack.exceptions import InvalidSettings
from whinrack.settings import parse_settings, render_settings_reference

VALID_SETTINGS = """
[instance]
name = router-1
region = south
data_hall = a
[http]
address = 127.0.0.1:8080
[peer]
address = 127.0.0.1:8081
fleet_key = a-key-of-sixteen-or-more
[platform]
address = 127.0.0.1:8090
"""


def test_omitted_keys_get_their_defaults():
    settings = parse_settings(VALID_SETTINGS)
    assert settings.instance.name == "router-1"
    assert settings.budgets.horizon == 600.0


@pytest.mark.parametrize(
    ("section", "line", "expected_parts"),
    [
        ("[http]", "body_limit = many", ["[http] body_limit", "bytes", "'many'"]),
        ("[http]", "body_limit = 5", ["[http] body_limit", "1024"]),
        ("[http]", "entry_seconds = nan", ["[http] entry_seconds"]),
        ("[http]", "adress = 1", ["[http]", "allowed are", "adress"]),
        ("[platform]", "timeout = -1", ["[platform] timeout", "above 0"]),
    ],
)
def test_error_names_key_allowed_and_given_value(section, line, expected_parts):
    with pytest.raises(InvalidSettings) as raised:
        parse_settings(VALID_SETTINGS.replace(section, f"{section}\n{line}"))
    for part in expected_parts:
        assert part in raised.value.message


def test_missing_key_unknown_section_and_malformed_text_raise():
    for text in (
        VALID_SETTINGS.replace("name = router-1", ""),
        VALID_SETTINGS + "[extra]\n",
        "no section",
    ):
        with pytest.raises(InvalidSettings):
            parse_settings(text)


def test_error_does_not_contain_the_fleet_key():
    with pytest.raises(InvalidSettings) as raised:
        parse_settings(VALID_SETTINGS.replace("a-key-of-sixteen-or-more", "too-short"))
    assert "too-short" not in raised.value.message


def test_reference_contains_every_section():
    text = render_settings_reference()
    for section in ("instance", "http", "peer", "platform", "budgets", "journal", "stop"):
        assert f"## [{section}]" in text
