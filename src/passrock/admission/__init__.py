"""Fair admission under overload: admission by slots that the leader decides, and dispatch that lets no class starve.

Switched on by an ``admission`` block in the operators' settings; nothing of this package is loaded otherwise.
"""
