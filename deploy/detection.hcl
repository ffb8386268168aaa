# Suspicion before verdict (docs/detection.md). Use it with `--operator-config deploy/detection.hcl`,
# or put these blocks into the operators' file that is there already.

# The lease is the fence, not the detector: long enough for the stalls that are to be forgiven.
leadership {
  ttl_s   = 6.0
  renew_s = 0.8
}

detection {
  heartbeat_s   = 0.5
  quantile      = 0.99  # a link's patience is margin times this quantile of its gaps,
  margin        = 2.5
  floor_s       = 1.2   # not below this
  ceiling_s     = 2.0   # nor above this
  probes        = 2     # others that are asked before anybody is suspected
  refused_s     = 0.6   # verdict, if a quorum's connections are all refused
  silent_s      = 3.0   # verdict, if a quorum hears nothing
  settle_s      = 2.0   # a suspicion is kept this long after the link is well again,
  settle_most_s = 30.0  # doubled up to this if it flaps
  progress_s    = 1.5   # the lease is renewed beside a main loop that is late by no more than this
}
