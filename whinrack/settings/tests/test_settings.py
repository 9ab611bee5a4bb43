"""Settings: every key checked, secrets not shown."""

import pytest

from whinrack.exceptions import InvalidSettings
from whinrack.settings import parse_settings, render_settings_reference

GOOD = """
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


def test_defaults_fill_what_is_not_given():
    settings = parse_settings(GOOD)
    assert settings.instance.name == "router-1"
    assert settings.budgets.horizon == 600.0


@pytest.mark.parametrize(
    ("section", "line", "parts"),
    [
        ("[http]", "body_limit = many", ["[http] body_limit", "bytes", "'many'"]),
        ("[http]", "body_limit = 5", ["[http] body_limit", "1024"]),
        ("[http]", "entry_seconds = nan", ["[http] entry_seconds"]),
        ("[http]", "adress = 1", ["[http]", "allowed are", "adress"]),
        ("[platform]", "timeout = -1", ["[platform] timeout", "above 0"]),
    ],
)
def test_a_wrong_key_is_named_with_what_is_allowed_and_got(section, line, parts):
    with pytest.raises(InvalidSettings) as raised:
        parse_settings(GOOD.replace(section, f"{section}\n{line}"))
    for part in parts:
        assert part in raised.value.message


def test_a_missing_key_an_unknown_section_and_broken_text_are_refused():
    for text in (GOOD.replace("name = router-1", ""), GOOD + "[extra]\n", "no section"):
        with pytest.raises(InvalidSettings):
            parse_settings(text)


def test_a_wrong_fleet_key_is_not_shown():
    with pytest.raises(InvalidSettings) as raised:
        parse_settings(GOOD.replace("a-key-of-sixteen-or-more", "too-short"))
    assert "too-short" not in raised.value.message


def test_the_reference_names_every_section():
    text = render_settings_reference()
    for section in ("instance", "http", "peer", "platform", "budgets", "journal", "stop"):
        assert f"## [{section}]" in text
