"""Codecs for what other programs send and expect; the only place with their names."""
