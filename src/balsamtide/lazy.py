"""Lazy imports of the names that a package exports.

A process spends startup time and memory only on the modules that it uses.
"""

from collections.abc import Callable, Mapping
from importlib import import_module
from typing import Any

__all__ = ["lazy_names"]


def lazy_names(package: str, modules: Mapping[str, str]) -> Callable[[str], Any]:
    """Return a ``__getattr__`` for a package that imports names on first access.

    Parameters
    ----------
    package : str
        Name of the package.
    modules : mapping of str to str
        Maps each exported name to the submodule that defines it.
    """

    def load(name: str) -> Any:
        if name not in modules:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(import_module(f"{package}.{modules[name]}"), name)

    return load
