"""Access to the state service: client, records, mirror and group commit."""
