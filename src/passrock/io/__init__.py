"""Sockets, timers and clients round the core."""
