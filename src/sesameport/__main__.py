"""Start the command line for ``python -m sesameport``."""

import sys

from sesameport.reload_signal import install_reload_signal

__all__ = ["main"]


def main() -> None:
    """Run the command line; its modules are imported after the handler of SIGHUP."""
    if sys.argv[1:2] == ["serve"]:
        install_reload_signal()
    from sesameport.commands import main as run_command

    run_command()


if __name__ == "__main__":
    main()
