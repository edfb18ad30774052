"""Test that all problems of a document are reported together."""

from sesameport.documents import load_service, load_settings

VALID = """
name = "assessor-llm"
[[models]]
name = "assessor"
max_prompt_tokens = 1000
max_output_tokens = 100
[[workspaces]]
name = "tannery"
keys = ["sha256:{digest}"]
rate_tokens_per_s = 100
burst_tokens = 2000
[[routes]]
path = "/v1/completions"
""".replace("{digest}", "a" * 64)


def test_valid_document_has_no_findings():
    doc, findings = load_service(VALID, "a.toml")
    assert findings == []
    assert doc.workspaces[0].rate_tokens_per_s == 100.0


def test_unknown_fields_and_wrong_types_are_reported_together():
    """Guards against a check that reports only the first problem."""
    text = VALID.replace("rate_tokens_per_s = 100", "rate = 1\nweight = 'x'")
    doc, findings = load_service(text, "a.toml")
    assert doc is None
    assert len(findings) >= 2
    assert all("workspaces" in finding.path for finding in findings)


def test_negative_rate_small_burst_and_duplicate_key_are_findings():
    # The largest request has 1000 + 100 tokens, one more than the burst of 1099.
    text = VALID.replace("= 100\nburst_tokens = 2000", "= -1\nburst_tokens = 1099")
    text = text.replace(
        'keys = ["sha256:', 'keys = ["sha256:' + "a" * 64 + '","sha256:'
    )
    doc, findings = load_service(text, "a.toml")
    assert doc is None
    paths = {finding.path for finding in findings}
    assert paths == {
        "workspaces[0].rate_tokens_per_s",
        "workspaces[0].burst_tokens",
        "workspaces[0].keys[1]",
    }


def test_duplicate_toml_key_is_reported_with_its_line():
    doc, findings = load_service('name = "a"\nname = "b"\n', "a.toml")
    assert doc is None
    assert "line 2" in findings[0].message


def test_unknown_data_centre_and_invalid_address_are_findings():
    text = """
data_centres = [{name = "rajkot-a", region = "guj-west"}]
[host]
name = "h1"
data_centre = "bhuj-c"
listen = "nowhere"
[platform]
url = "http://127.0.0.1:1"
"""
    cfg, findings = load_settings(text, "s.toml")
    assert cfg is None
    assert {f.path for f in findings} == {"host.data_centre", "host.listen"}
