"""Publish the current documents, hosts and backend servers to all threads."""

from collections.abc import Iterable, Mapping

import attrs

from sesameport.domain import (
    BackendServer,
    Host,
    Model,
    Route,
    ServiceDocument,
    ServiceKind,
)
from sesameport.fleet.keys import KeyIndex

__all__ = ["ConfigurationSnapshot", "ConfigurationPublisher", "build_snapshot"]


@attrs.frozen
class ConfigurationSnapshot:
    """Represent one consistent, immutable snapshot of the configuration.

    ``keys`` maps key digests to workspaces. `build_snapshot` also builds the indexes
    for lookups by name.
    """

    documents: Mapping[str, ServiceDocument] = attrs.field(factory=dict)
    versions: Mapping[str, int] = attrs.field(factory=dict)
    servers: tuple[BackendServer, ...] = ()
    hosts: tuple[Host, ...] = ()
    keys: KeyIndex = attrs.field(factory=KeyIndex)
    _models: Mapping[str, tuple[ServiceDocument, Model]] = attrs.field(factory=dict)
    _servers_by_name: Mapping[str, BackendServer] = attrs.field(factory=dict)

    def find_model(self, name: str) -> tuple[ServiceDocument, Model, str] | None:
        """Return the service, the model and the adapter of a ``model[:adapter]`` name.

        The result is None if the model or the adapter is unknown.
        """
        model_name, _, adapter = name.partition(":")
        service_and_model = self._models.get(model_name)
        if service_and_model is None or (
            adapter and adapter not in service_and_model[1].adapters
        ):
            return None
        return service_and_model[0], service_and_model[1], adapter

    def find_model_route(
        self, doc: ServiceDocument, path: str, model: str
    ) -> Route | None:
        """Return the route of a model service for a path and a model.

        A route that names the model takes precedence over one for all models.
        """
        default_route = None
        for route in doc.routes:
            if not path.startswith(route.path):
                continue
            if route.model == model:
                return route
            if not route.model:
                default_route = default_route or route
        return default_route

    def find_plain_routes(self, path: str) -> list[tuple[ServiceDocument, Route]]:
        """Return the plain routes with the longest matching prefix of a path."""
        matches = []
        for doc in self.documents.values():
            if doc.kind != ServiceKind.PLAIN:
                continue
            for route in doc.routes:
                if _is_under(path, route.path):
                    matches.append((doc, route))
        longest = max((len(route.path) for _, route in matches), default=0)
        return [match for match in matches if len(match[1].path) == longest]

    def find_server(self, name: str) -> BackendServer | None:
        """Return a backend server by its name, or None if it is not listed."""
        return self._servers_by_name.get(name)

    def list_models(self) -> list[tuple[ServiceDocument, Model, tuple[str, ...]]]:
        """Return services, models and the names that callers may send as ``model``."""
        return [
            (doc, model, (name, *(f"{name}:{adapter}" for adapter in model.adapters)))
            for name, (doc, model) in self._models.items()
        ]


def _is_under(path: str, prefix: str) -> bool:
    if prefix.endswith("/"):
        return path.startswith(prefix)
    return path == prefix or path.startswith(prefix + "/")


def build_snapshot(
    documents: Mapping[str, ServiceDocument],
    versions: Mapping[str, int],
    servers: Iterable[BackendServer],
    hosts: Iterable[Host],
) -> ConfigurationSnapshot:
    """Return a snapshot with its indexes."""
    servers = tuple(servers)
    keys, models = KeyIndex(), {}
    for name, doc in sorted(documents.items()):
        keys.replace(name, doc)
        for model in doc.models:
            models.setdefault(model.name, (doc, model))
    return ConfigurationSnapshot(
        dict(documents),
        dict(versions),
        servers,
        tuple(hosts),
        keys,
        models,
        {server.name: server for server in servers},
    )


class ConfigurationPublisher:
    """Publish the current snapshot from one writer thread to any reader thread."""

    def __init__(self):
        self._current = ConfigurationSnapshot()
        self._subscribers = []

    @property
    def current(self) -> ConfigurationSnapshot:
        """Return the newest snapshot."""
        return self._current

    def subscribe(self, callback) -> None:
        """Call ``callback`` with each new snapshot on the writer's thread."""
        self._subscribers.append(callback)

    def replace(self, snapshot: ConfigurationSnapshot) -> None:
        """Publish a new snapshot."""
        self._current = snapshot
        for callback in self._subscribers:
            callback(snapshot)
