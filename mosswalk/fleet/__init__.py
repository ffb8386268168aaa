"""Machine management by the leader: reports, commands, offers, renting, failure detection."""
