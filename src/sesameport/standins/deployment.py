"""Build a small deployment of stand-ins in one process."""

import concurrent.futures
import hashlib
import importlib.resources

import attrs

from sesameport.domain import BackendServer, Host, ServerRole, ServerState
from sesameport.standins.engine import EngineStandin
from sesameport.standins.engine_model import EngineProfile
from sesameport.standins.faults import FaultPlan
from sesameport.standins.plain_server import PlainStandin
from sesameport.standins.platform import PlatformStandin

__all__ = ["Deployment", "build_deployment", "demo_document", "demo_key"]

_DOCUMENT_FOLDER = importlib.resources.files("sesameport.standins") / "documents"
"""Opened as a package resource: the one-file executable has no separate files."""


def demo_key(workspace: str) -> str:
    """Return the key of a workspace in the demo documents."""
    return f"sk-demo-{workspace}"


def demo_document(name: str) -> str:
    """Return the TOML text of a demo document with the digests of the demo keys."""
    text = (_DOCUMENT_FOLDER / f"{name}.toml").read_text()
    for workspace in ("tannery-north", "tannery-south", "dhol-makers"):
        digest = hashlib.sha256(demo_key(workspace).encode()).hexdigest()
        text = text.replace(f"sha256:{{{workspace}}}", f"sha256:{digest}")
    return text


@attrs.define
class Deployment:
    """Represent a deployment of stand-ins.

    Attributes
    ----------
    platform : PlatformStandin
        The platform stand-in. ``url`` is its base URL without data centre faults.
    urls : dict
        Base URL of the platform endpoint for each data centre.
    platform_faults : dict
        Fault plan of the platform endpoint for each data centre.
    engines : dict
        Engine stand-ins by server name.
    plain : dict
        Plain stand-ins by server name.
    servers : list of BackendServer
        Backend servers on the platform's host list.
    """

    platform: PlatformStandin
    url: str
    data_centres: tuple[str, ...]
    region: str
    engines: dict[str, EngineStandin] = attrs.field(factory=dict)
    plain_servers: dict[str, PlainStandin] = attrs.field(factory=dict)
    servers: list[BackendServer] = attrs.field(factory=list)
    platform_urls: dict[str, str] = attrs.field(factory=dict)
    platform_faults: dict[str, FaultPlan] = attrs.field(factory=dict)
    hosts: list[Host] = attrs.field(factory=list)

    def set_server_state(self, name: str, state: ServerState) -> None:
        """Set the state of a backend server on the platform's host list."""
        self.servers = [
            attrs.evolve(server, state=state) if server.name == name else server
            for server in self.servers
        ]
        self.publish()

    def publish(self) -> None:
        """Publish the current hosts and servers on the platform's host list."""
        self.platform.set_hosts(tuple(self.hosts), tuple(self.servers))

    def stop(self) -> None:
        """Stop all stand-ins in parallel, because each waits for its threads."""
        standins = (*self.engines.values(), *self.plain_servers.values(), self.platform)
        with concurrent.futures.ThreadPoolExecutor(len(standins)) as pool:
            list(pool.map(lambda standin: standin.stop(), standins))


def build_deployment(
    data_centres: tuple[str, ...] = ("rajkot-a", "jamnagar-b", "bhuj-c"),
    region: str = "guj-west",
    profile: EngineProfile | None = None,
    threads: int = 32,
) -> Deployment:
    """Start a platform, and two engines and a plain server in each data centre.

    One engine has the prefill role, the other the decode role. The platform gets the
    documents assessor-llm and order-desk.
    """
    platform = PlatformStandin()
    deployment = Deployment(platform, platform.start(), data_centres, region)
    for centre in data_centres:
        deployment.platform_faults[centre] = FaultPlan()
        deployment.platform_urls[centre] = platform.open_endpoint(
            deployment.platform_faults[centre]
        )
        for role in (ServerRole.PREFILL, ServerRole.DECODE):
            _add_engine(deployment, centre, role, profile, threads)
        _add_plain(deployment, centre, threads)
    deployment.publish()
    for name in ("assessor-llm", "order-desk"):
        platform.put("ServiceDocument", name, demo_document(name).encode())
    return deployment


def _add_engine(deployment, centre, role, profile, threads) -> None:
    name = f"{centre}-{role}-1"
    engine = EngineStandin(name, role, profile)
    address = engine.start(threads)
    deployment.engines[name] = engine
    server = BackendServer(name, "assessor-llm", role.value, centre, address, role)
    deployment.servers.append(server)


def _add_plain(deployment, centre, threads) -> None:
    name = f"{centre}-desk-1"
    standin = PlainStandin(name)
    address = standin.start(threads)
    deployment.plain_servers[name] = standin
    deployment.servers.append(
        BackendServer(name, "order-desk", "desk", centre, address, ServerRole.PLAIN)
    )
