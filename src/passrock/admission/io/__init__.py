"""Files of admission."""
