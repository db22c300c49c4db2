"""Scheduling decisions and state, without I/O: no sockets, files, timers or clocks."""
