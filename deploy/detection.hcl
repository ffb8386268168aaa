# Turns on failure detection among controllers (docs/detection.md), with its default values. Use it
# with `--operator-config deploy/detection.hcl`, or add these blocks to an existing operators' file.

# The lease fences a dead controller and does not have to detect it. It therefore lasts long enough
# for stalls after which a controller should keep its role.
leadership {
  ttl_s   = 6.0
  renew_s = 0.8
}

detection {
  heartbeat_s   = 0.5
  quantile      = 0.99  # a link's timeout is margin times this quantile of its gaps,
  margin        = 2.5
  floor_s       = 1.2   # but at least this
  ceiling_s     = 2.0   # and at most this
  probes        = 2     # controllers that are asked to reach a peer before it is suspected
  refused_s     = 0.6   # time in state silent before a verdict, if the whole quorum is refused connections
  silent_s      = 3.0   # the same, if not all are refused
  settle_s      = 2.0   # a suspicion lasts this long after the link has recovered,
  settle_most_s = 30.0  # doubled with each recurrence up to this
  progress_s    = 1.5   # a thread renews the lease if the main loop made progress within this time
}
