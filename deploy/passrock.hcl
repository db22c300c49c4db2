# Operators' own settings, with their defaults. Give the file with --operator.
# What depends on the deployment is a ratio to a figure in the platform's settings.

# How long the leader's key lives without renewal, as a part of the workers' lease (0.1 to 0.5).
leader_lease_ratio = 0.25

# A machine that has not reported for this part of the workers' lease is given up (0.2 to 1).
silent_ratio = 0.36

# Seconds between binding rounds (1 to 600).
round_s = 20.0

# How far a zone's part of a reservation may exceed an even share of the others (0 to 1).
alpha_extra = 0.1

# The part of production work that must find room in the other zones when one is lost (0 to 1).
buffer_share = 1.0

# An idle machine is returned after this many boot times (0 to 20), but not before idle_floor_s (0 to 3600).
idle_boot_ratio = 0.4
idle_floor_s = 8.0

# Users expect every job to begin within this time (10 to 86400 s). After this part of it (0.02 to 1)
# a waiting job goes first, and machines are kept for it until a whole gang fits.
begin_within_s = 240.0
keep_room_ratio = 0.3

# The part of the process's sockets that users and workers may hold (0.2 to 0.95).
socket_share = 0.85
