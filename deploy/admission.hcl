# Enables fair admission under overload (docs/admission-operating.md). Pass the file with --operator, together with
# passrock.hcl if that is used. All values are the defaults; an empty block is enough.

admission {
  # Length of a slot, in heartbeat intervals of the workers (1 to 60). Each slot takes two writes to the key-value
  # store.
  slot_ratio = 4.0

  # The write rate of the key-value store is shared among the controllers. Fractions of a follower's share (0.05 to
  # 0.95) and of the leader's share (0.02 to 0.8) that submissions may use. The rest is for cancellations, and on the
  # leader for the records of jobs.
  intake_share        = 0.8
  leader_intake_share = 0.2

  # Fractions of a controller's capacity in a slot: reserved for interactive classes (0 to 0.6), and for demand that
  # has not been reported yet (0 to 0.4).
  interactive_share = 0.2
  burst_share       = 0.1

  # Fraction of the capacity granted by demand in which interactive classes come before all others (0 to 0.9).
  interactive_most = 0.5

  # A class is interactive if its shortest waiting objective is at most this multiple of the shortest waiting
  # objective of all classes (1 to 100).
  interactive_ratio = 1.5

  # Every class with work that could run has a start in each window (60 to 86400 s). After the fraction favour_ratio
  # of a window without a start (0.05 to 0.9), the oldest job of the class is prioritized. Once started, it is not
  # preempted for the fraction protect_ratio of a window (0 to 1).
  window_s      = 600.0
  favour_ratio  = 0.33
  protect_ratio = 0.2

  # Directory in which each leader writes its decision log, and limit on the size of the log (0.1 to 1024 MB). If the
  # directory is empty, no log is written. On a controller without a disk, files in /tmp count as its memory.
  log_dir = ""
  log_mb  = 2.0

  # A team's weight is its guarantee, and the weight of each class of a team is 1, unless set here (0.001 to 1000).
  team_weights  = {}
  class_weights = {}
}
