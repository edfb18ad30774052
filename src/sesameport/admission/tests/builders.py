"""Build servers and requests for admission tests."""

from sesameport.admission import GenerationRequest
from sesameport.domain import ServerRole, ServerState
from sesameport.entry.configuration import EngineProfile
from sesameport.entry.servers import EntryServer

PROFILE = EngineProfile(slots=24, kv_tokens=37_563)


def server(name, role=ServerRole.DECODE, centre="a", address="", **fields):
    """Return a live server of the service ``llm``."""
    fields.setdefault("state", ServerState.LIVE)
    fields.setdefault("slots", 24)
    return EntryServer(name, "llm", address or f"{name}:1", centre, role, **fields)


def generation(prompt=3_000, output=700, centre="a", excluded=()):
    """Return a generation request of typical size."""
    return GenerationRequest("llm", centre, prompt, output, frozenset(excluded))
