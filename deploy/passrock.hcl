# Operators' settings with their defaults. Pass the file with --operator.
# Settings that depend on the deployment are ratios to values of the platform's settings file.

# Duration of the lease on the leader key, as a fraction of the workers' lease (0.1 to 0.5).
leader_lease_ratio = 0.25

# A machine without a heartbeat for this fraction of the workers' lease counts as unresponsive (0.2 to 1).
silent_ratio = 0.36

# Seconds between binding rounds (1 to 600).
round_s = 20.0

# By how much a zone's share of a reservation may exceed an even spread over all zones but one (0 to 1).
alpha_extra = 0.1

# Fraction of the production work that must fit into the remaining zones if one zone is lost (0 to 1).
buffer_share = 1.0

# An idle machine is deprovisioned after this many of its boot times (0 to 20), but not before idle_floor_s seconds
# (0 to 3600).
idle_boot_ratio = 0.4
idle_floor_s = 8.0

# Users expect every job to start within this time (10 to 86400 s). A job that has waited for this fraction of it
# (0.02 to 1) is scheduled first, and machines are held for it until a whole gang fits.
begin_within_s = 240.0
keep_room_ratio = 0.3

# Fraction of the process's sockets that connections of users and workers may use (0.2 to 0.95).
socket_share = 0.85
