"""Parse and validate service documents."""

import re

from sesameport.documents.structure import structure_toml
from sesameport.domain import (
    Finding,
    ServerRole,
    ServiceDocument,
    ServiceKind,
)

__all__ = ["largest_request_tokens", "load_service", "check_service"]

_NAME = re.compile(r"^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$")
_DIGEST = re.compile(r"^sha256:[0-9a-f]{64}$")


def load_service(text: str, file: str) -> tuple[ServiceDocument | None, list[Finding]]:
    """Parse and validate a service document in TOML.

    Returns
    -------
    document : ServiceDocument or None
        None if there are findings.
    findings : list of Finding
        All problems, each with its key path. Problems of the structure, such as wrong
        types, hide those of the values.
    """
    doc, findings = structure_toml(text, file, ServiceDocument)
    if doc is None:
        return None, findings
    findings = check_service(doc, file)
    return (None if findings else doc), findings


def largest_request_tokens(doc: ServiceDocument) -> int:
    """Return the largest possible charge of one request to the service, in tokens."""
    sizes = [model.max_prompt_tokens + model.max_output_tokens for model in doc.models]
    sizes.extend(route.cost_tokens for route in doc.routes)
    return max(sizes, default=0)


def check_service(doc: ServiceDocument, file: str) -> list[Finding]:
    """Return all problems of a service document."""
    findings = []
    if not _NAME.match(doc.name):
        findings.append(Finding(file, "name", f"{doc.name!r} is not a valid name"))
    findings.extend(_check_models(doc, file))
    findings.extend(_check_workspaces(doc, file))
    findings.extend(_check_routes(doc, file))
    findings.extend(_check_servers(doc, file))
    findings.extend(_check_regions(doc, file))
    return findings


def _check_models(doc: ServiceDocument, file: str) -> list[Finding]:
    findings = _check_unique([model.name for model in doc.models], "models", file)
    if doc.kind == ServiceKind.MODEL and not doc.models:
        findings.append(Finding(file, "models", "a model service needs a model"))
    for i, model in enumerate(doc.models):
        for field in ("max_prompt_tokens", "max_output_tokens", "kv_bytes_per_token"):
            if getattr(model, field) <= 0:
                path = f"models[{i}].{field}"
                findings.append(Finding(file, path, "must be above 0"))
    for field in ("first_token_s", "between_tokens_s"):
        if getattr(doc.targets, field) <= 0:
            findings.append(Finding(file, f"targets.{field}", "must be above 0"))
    if not 0 < doc.targets.share < 1:
        findings.append(Finding(file, "targets.share", "expected 0 < x < 1"))
    return findings


def _check_workspaces(doc: ServiceDocument, file: str) -> list[Finding]:
    findings = _check_unique(
        [workspace.name for workspace in doc.workspaces], "workspaces", file
    )
    largest_tokens = largest_request_tokens(doc)
    path_by_digest: dict[str, str] = {}
    for i, workspace in enumerate(doc.workspaces):
        path = f"workspaces[{i}]"
        if workspace.rate_tokens_per_s < 0:
            findings.append(
                Finding(file, f"{path}.rate_tokens_per_s", "may not be negative")
            )
        if workspace.weight <= 0:
            findings.append(Finding(file, f"{path}.weight", "must be above 0"))
        if workspace.burst_tokens < largest_tokens:
            message = (
                f"{workspace.burst_tokens:g} is below the largest request, "
                f"{largest_tokens} tokens"
            )
            findings.append(Finding(file, f"{path}.burst_tokens", message))
        for j, digest in enumerate(workspace.keys):
            key_path = f"{path}.keys[{j}]"
            if not _DIGEST.match(digest):
                findings.append(Finding(file, key_path, "expected sha256:<64 hex>"))
            elif digest in path_by_digest:
                message = f"duplicate of the key at {path_by_digest[digest]}"
                findings.append(Finding(file, key_path, message))
            path_by_digest.setdefault(digest, key_path)
    return findings


def _check_routes(doc: ServiceDocument, file: str) -> list[Finding]:
    paths_with_models = [f"{route.path} {route.model}" for route in doc.routes]
    findings = _check_unique(paths_with_models, "routes", file)
    if not doc.routes:
        findings.append(Finding(file, "routes", "a service needs a route"))
    models = {model.name for model in doc.models}
    for i, route in enumerate(doc.routes):
        path = f"routes[{i}]"
        if not route.path.startswith("/"):
            findings.append(Finding(file, f"{path}.path", "must start with /"))
        if doc.kind == ServiceKind.PLAIN and route.path.startswith("/v1/"):
            findings.append(Finding(file, f"{path}.path", "/v1/ is for model services"))
        if route.model and route.model not in models:
            findings.append(Finding(file, f"{path}.model", f"no model {route.model!r}"))
        if route.deadline_s <= 0:
            findings.append(Finding(file, f"{path}.deadline_s", "must be above 0"))
        if route.cost_tokens < 0:
            findings.append(Finding(file, f"{path}.cost_tokens", "may not be negative"))
    return findings


def _check_servers(doc: ServiceDocument, file: str) -> list[Finding]:
    names = [server_class.name for server_class in doc.server_classes]
    findings = _check_unique(names, "server_classes", file)
    for i, server_class in enumerate(doc.server_classes):
        path = f"server_classes[{i}]"
        if server_class.slots <= 0:
            findings.append(Finding(file, f"{path}.slots", "must be above 0"))
        if server_class.prefill_tokens_per_s <= 0:
            findings.append(
                Finding(file, f"{path}.prefill_tokens_per_s", "must be above 0")
            )
        is_plain = server_class.role == ServerRole.PLAIN
        if is_plain != (doc.kind == ServiceKind.PLAIN):
            message = f"role {server_class.role} is not allowed in a {doc.kind} service"
            findings.append(Finding(file, f"{path}.role", message))
    for i, link in enumerate(doc.links):
        if link.bytes_per_s <= 0:
            findings.append(Finding(file, f"links[{i}].bytes_per_s", "must be above 0"))
    return findings


def _check_regions(doc: ServiceDocument, file: str) -> list[Finding]:
    findings = _check_unique([region.name for region in doc.regions], "regions", file)
    total = sum(region.share for region in doc.regions)
    if total > 1.0 + 1e-9:
        findings.append(Finding(file, "regions", f"shares sum to {total:g}, above 1"))
    for i, region in enumerate(doc.regions):
        if region.share < 0:
            findings.append(Finding(file, f"regions[{i}].share", "may not be negative"))
    return findings


def _check_unique(names: list[str], path: str, file: str) -> list[Finding]:
    findings = []
    for i, name in enumerate(names):
        if name in names[:i]:
            findings.append(Finding(file, f"{path}[{i}]", f"{name!r} is a duplicate"))
    return findings
