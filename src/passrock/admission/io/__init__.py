"""File input and output of admission."""
