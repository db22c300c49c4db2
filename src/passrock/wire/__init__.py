"""Codecs for the bodies that users, workers, the cloud and the key-value store send and expect.

Only this package uses the field names of these interfaces.
"""
