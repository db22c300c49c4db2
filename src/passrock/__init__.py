"""passrock: a cluster scheduler that binds machines to team reservations."""

__version__ = "0.1.0"
