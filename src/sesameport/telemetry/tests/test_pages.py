"""Check that the operators' pages name what the code has."""

import pathlib
import re

from sesameport.telemetry.metrics import ENTRY_METRICS, METRICS
from sesameport.world import RefusalType

PAGE = (pathlib.Path(__file__).parents[4] / "docs" / "OPERATIONS.md").read_text()


def test_alert_examples_use_existing_metrics():
    """Guards against an alert on a metric that was renamed, which never fires."""
    used = set(re.findall(r"\bsesameport_\w+", PAGE))
    assert used and used <= {item.name for item in (*METRICS, *ENTRY_METRICS)}


def test_every_refusal_type_is_explained_with_its_status():
    for item in RefusalType:
        assert re.search(rf"^\| `{item.slug}` \| {item.status} \|", PAGE, re.MULTILINE)
