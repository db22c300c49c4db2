# Switches on fair admission under overload (docs/admission-operating.md). Give the file with --operator, beside
# passrock.hcl if you use that. All values are the defaults; an empty block is enough.

admission {
  # Length of a slot, in report intervals (1 to 60). Each slot costs the state service two changes.
  slot_ratio = 4.0

  # The part of a follower's and of the leader's share of the state's write rate that submissions may use
  # (0.05 to 0.95, 0.02 to 0.8). The rest is for cancellations, and on the leader for the records of jobs.
  intake_share        = 0.8
  leader_intake_share = 0.2

  # Of a controller's capacity in a slot: reserved for interactive classes (0 to 0.6), and for whatever has not been
  # reported yet (0 to 0.4).
  interactive_share = 0.2
  burst_share       = 0.1

  # Of what is granted by demand, the part in which interactive classes come before all others (0 to 0.9).
  interactive_most = 0.5

  # A class is interactive when its shortest aim on waiting is up to this many times the shortest of all (1 to 100).
  interactive_ratio = 1.5

  # Every class with work that could run has a start in each window (60 to 86400 s). After this part of it without one
  # (0.05 to 0.9) its oldest job goes first, and what was so started is not displaced for the other part (0 to 1).
  window_s      = 600.0
  favour_ratio  = 0.33
  protect_ratio = 0.2

  # Where each leader writes its decision log, and how large that may grow (0.1 to 1024 MB). Without a directory none is
  # kept. In a controller without a disk, what it writes to /tmp counts as its memory.
  log_dir = ""
  log_mb  = 2.0

  # A team's weight is its guarantee, and each class of a team has weight 1, unless they are named here (0.001 to 1000).
  team_weights  = {}
  class_weights = {}
}
