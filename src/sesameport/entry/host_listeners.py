"""Listen for callers, readiness checks and metrics within the bounds of the process."""

from collections.abc import Callable

from sesameport.adapters.caller_limits.bounds import SIDE_BOUNDS, SIDE_LIMITS
from sesameport.adapters.caller_limits.listener import HttpListener
from sesameport.adapters.caller_limits.memory_account import MemoryAccount
from sesameport.adapters.caller_limits.reports import LimitReporter
from sesameport.adapters.strict_http import StrictRequest
from sesameport.entry.requests import CallerDisconnected
from sesameport.entry.settings import EntrySettings
from sesameport.telemetry.logs import get_logger
from sesameport.telemetry.metrics import Metrics

__all__ = ["HostListeners"]

Handler = Callable[[StrictRequest, bytes], None]

log = get_logger("http")


class HostListeners:
    """Run the listeners of one host.

    Parameters
    ----------
    settings : EntrySettings
        Addresses and bounds.
    account : MemoryAccount
        Memory that is held for callers and servers.
    threads : tuple of int
        Initial and maximum number of threads for callers.
    metrics : Metrics
        Gets the state of the account and the refusals.
    stated_wait_s : callable
        Returns how long a caller waits according to its headers, seconds.
    handle_caller, handle_readiness, handle_metrics : callable
        Respond to a request with its body.

    Attributes
    ----------
    callers : HttpListener
        Listener for callers.
    """

    def __init__(
        self,
        settings: EntrySettings,
        account: MemoryAccount,
        threads: tuple[int, int],
        metrics: Metrics,
        stated_wait_s: Callable[[tuple], float],
        handle_caller: Handler,
        handle_readiness: Handler,
        handle_metrics: Handler,
    ):
        self._metrics = metrics
        bounds = settings.limits
        self._account = account
        report = LimitReporter.for_metrics(metrics).report
        self.callers = HttpListener(
            settings.caller_listen,
            _log_failures(handle_caller),
            min(threads),
            threads[1],
            bounds,
            self._account,
            report,
            stated_wait_s,
        )
        self._side_listeners = [
            HttpListener(
                address,
                _log_failures(handle),
                threads,
                SIDE_BOUNDS.max_threads,
                SIDE_BOUNDS,
                report=report,
            )
            for address, handle, threads in (
                (settings.ready_listen, handle_readiness, 2),
                (f"{settings.ip}:{settings.metrics_port}", handle_metrics, 1),
            )
        ]
        for listener in self._side_listeners:
            listener.set_limits(SIDE_LIMITS)

    @property
    def readiness_address(self) -> str:
        """Return the bound ``IP:port`` of the listener for readiness checks."""
        return self._side_listeners[0].address

    @property
    def metrics_address(self) -> str:
        """Return the bound ``IP:port`` of the listener for operators."""
        return self._side_listeners[-1].address

    def start(self) -> None:
        """Serve on separate threads."""
        for listener in self._all():
            listener.start()

    def stop(self) -> None:
        """Stop at once, without waiting for requests."""
        for listener in self._all():
            listener.stop_accepting()
            listener.stop()

    def enforce_limits(self) -> None:
        """Cut off clients that exceed their time or hold threads that others need."""
        for listener in self._all():
            listener.enforce_limits()
        self._metrics.set("sesameport_entry_account_bytes", self._account.used)
        self._metrics.set(
            "sesameport_entry_caller_connections", self.callers.connection_count()
        )

    def add_threads(self) -> None:
        """Add threads to listeners with few idle ones; blocks while they start."""
        for listener in self._all():
            listener.add_threads()

    def _all(self) -> list[HttpListener]:
        return [self.callers, *self._side_listeners]


def _log_failures(handle: Handler) -> Handler:
    """Return a handler that logs unexpected exceptions, which cheroot does not."""

    def handle_logged(req: StrictRequest, body: bytes) -> None:
        try:
            handle(req, body)
        except CallerDisconnected:
            raise
        except Exception as exc:
            log.error("request handler failed", extra={"error": repr(exc)})
            raise

    return handle_logged
