"""Decisions only: no sockets, files, timers or clocks."""
