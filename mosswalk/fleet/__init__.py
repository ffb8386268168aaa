"""The leader and its machines: reports, commands, offers, renting, failure detection."""
