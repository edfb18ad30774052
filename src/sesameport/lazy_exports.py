"""Re-export the public names of a package without importing its modules.

An entry host uses a few modules of each package, and a restarted host serves no one
until its imports are done. A package therefore imports the module of a public name when
the name is first used (PEP 562).
"""

import importlib
import sys
from collections.abc import Callable, Mapping

__all__ = ["export_lazily"]


def export_lazily(
    package: str, names_by_module: Mapping[str, tuple[str, ...]]
) -> tuple[Callable[[str], object], Callable[[], list[str]]]:
    """Return the functions ``__getattr__`` and ``__dir__`` of a package.

    Parameters
    ----------
    package : str
        Name of the package.
    names_by_module : mapping of str to tuple of str
        Public names by the module of the package that defines them.

    Examples
    --------
    >>> get, list_names = export_lazily("collections", {"abc": ("Mapping",)})
    >>> get("Mapping").__name__, list_names()
    ('Mapping', ['Mapping'])
    """
    module_by_name = {
        name: module for module, names in names_by_module.items() for name in names
    }

    def get_attribute(name: str) -> object:
        module = module_by_name.get(name)
        if module is None:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        value = getattr(importlib.import_module(f"{package}.{module}"), name)
        # The next access finds the name without this function.
        setattr(sys.modules[package], name, value)
        return value

    def list_names() -> list[str]:
        return sorted(module_by_name)

    return get_attribute, list_names
