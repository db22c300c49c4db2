"""Decisions of admission, without input or output."""
