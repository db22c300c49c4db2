"""Stored and transmitted forms of admission."""
