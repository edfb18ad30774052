"""Check that the operators' documentation matches the code."""

import pathlib
import re

from sesameport.domain import RefusalType
from sesameport.telemetry.metrics import ENTRY_METRICS, METRICS

PAGE = (pathlib.Path(__file__).parents[4] / "docs" / "OPERATIONS.md").read_text()


def test_alert_examples_use_existing_metrics():
    """Guard against an alert on a renamed metric, which would never fire."""
    used = set(re.findall(r"\bsesameport_\w+", PAGE))
    assert used and used <= {metric.name for metric in (*METRICS, *ENTRY_METRICS)}


def test_every_refusal_type_is_documented_with_its_status():
    for refusal_type in RefusalType:
        assert re.search(
            rf"^\| `{refusal_type.slug}` \| {refusal_type.status} \|",
            PAGE,
            re.MULTILINE,
        )
