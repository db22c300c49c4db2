"""Encodings of admission's stored records and messages."""
