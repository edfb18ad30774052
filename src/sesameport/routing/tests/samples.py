"""Create servers, documents, requests, reports and routers for the routing tests."""

import random

from sesameport.domain import (
    BackendServer,
    CompletionRequest,
    Link,
    ServerClass,
    ServerRole,
    ServerState,
    ServiceDocument,
    Urgency,
    Workspace,
)
from sesameport.interfaces import LoadReport
from sesameport.routing import PairingPolicy, Router, RouterConfig

DATA_CENTRES = ("svealand-a", "svealand-b", "svealand-c")


def server(name, role, data_centre="svealand-a", state=ServerState.LIVE):
    return BackendServer(name, "draft-llm", str(role), data_centre, "", role, state)


def pools(per_role=3):
    servers = []
    for i in range(per_role):
        data_centre = DATA_CENTRES[i % 3]
        servers.append(server(f"p{i}", ServerRole.PREFILL, data_centre))
        servers.append(server(f"d{i}", ServerRole.DECODE, data_centre))
    return servers


def document(slots=20, weights=None):
    classes = (
        ServerClass("prefill", ServerRole.PREFILL, True, slots, 16_000.0),
        ServerClass("decode", ServerRole.DECODE, True, slots),
    )
    links = tuple(Link(a, b, 5e9) for a in DATA_CENTRES for b in DATA_CENTRES)
    workspaces = tuple(Workspace(n, weight=w) for n, w in (weights or {}).items())
    return ServiceDocument(
        "draft-llm", workspaces=workspaces, server_classes=classes, links=links
    )


def request(number, workspace="mora", urgent=False, prompt=400, now=0.0, deadline=60.0):
    return CompletionRequest(
        f"{workspace}-{number}",
        "draft-llm",
        workspace,
        "default",
        "",
        "",
        prompt,
        100,
        50,
        Urgency.URGENT if urgent else Urgency.PATIENT,
        now + deadline,
        "",
        arrived_at=now,
        kv_bytes=prompt * 131_072,
    )


def make_router(servers=None, hosts=9, slots=20, seed=1, weights=None, **settings):
    policy = settings.pop("policy", PairingPolicy())
    cfg = RouterConfig("svealand-a", hosts=hosts, policy=policy, **settings)
    router = Router(cfg, random.Random(seed))
    doc = document(slots, weights)
    router.set_servers(servers or pools(), {"draft-llm": doc}, 0.0)
    return router


def report(name, running, sequence=1, tokens=0, age=0.2, slots=20):
    return LoadReport(name, running, 0, slots, tokens, 0, age, sequence)
