"""Test that keys in the texts of log records are redacted."""

import random

import pytest

from sesameport.telemetry.logs import _SECRET_PATTERNS as PATTERNS
from sesameport.telemetry.logs import REDACTED, redact_secrets

PARTS = (
    *("Authorization", "proxy-authorization", "x-api-key", "API_KEY", "apikey"),
    *("Bearer ", "BEARER\t", "api", "key", "bear", ": ", "=", ",", " ", "'", "\n"),
    *("s3cret", "plain text", "[removed]", "X-Api-\u212aey"),
)


@pytest.mark.parametrize(
    "text",
    [
        "Authorization: Basic s3cret",
        "x-api-key=s3cret",
        "APIKEY: s3cret",
        "bearer s3cret",
    ],
)
def test_key_in_a_text_is_redacted(text):
    assert "s3cret" not in redact_secrets(text)


def test_text_is_redacted_as_by_all_patterns():
    # The patterns are applied only to texts with certain words. Guards against a key
    # in a text that they match and that has none of these words.
    rng = random.Random(1)
    for _ in range(20_000):
        text = "".join(rng.choices(PARTS, k=rng.randint(1, 6)))
        expected = text
        for pattern in PATTERNS:
            expected = pattern.sub(rf"\1{REDACTED}", expected)
        assert redact_secrets(text) == expected
