"""Fair admission under overload, and prevention of starvation.

The leader divides the capacity for submissions slot by slot between flows and controllers, and prioritizes classes
that have had no start for long. An ``admission`` block in the operators' settings enables this; without it,
no module of this package is loaded.
"""
