"""Layer-4 load balancer without shared state, also usable as a library."""

__all__ = ["__version__"]

__version__ = "0.1.0"
