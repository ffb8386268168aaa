# Turns on failure detection among controllers (docs/detection.md). Use it with
# `--operator-config deploy/detection.hcl`, or add these blocks to an existing operators' file.

# The end of the lease fences a dead controller, but does not have to detect it. The lease therefore
# lasts long enough for stalls after which a controller should keep its role.
leadership {
  ttl_s   = 6.0
  renew_s = 0.8
}

# These are the default values.
detection {
  heartbeat_s   = 0.5
  quantile      = 0.99  # which quantile of the gaps between a link's contacts counts
  margin        = 2.5   # the link's timeout is this many times that quantile
  floor_s       = 1.2   # lower limit of the timeout
  ceiling_s     = 2.0   # upper limit of the timeout
  probes        = 2     # number of controllers that are asked to reach another before it is suspected
  refused_s     = 0.6   # time in state silent before a verdict, if the whole quorum is refused connections
  silent_s      = 3.0   # time in state silent before a verdict otherwise
  settle_s      = 2.0   # how long a suspicion lasts after the link has recovered, at first
  settle_most_s = 30.0  # upper limit of that time, which doubles with each recurrence
  progress_s    = 1.5   # a thread renews the lease if the main loop made progress within this time
}
