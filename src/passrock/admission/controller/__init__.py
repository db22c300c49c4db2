"""The parts of admission that join its decisions to a controller."""
