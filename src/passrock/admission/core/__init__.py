"""The decision logic of admission, without input or output."""
