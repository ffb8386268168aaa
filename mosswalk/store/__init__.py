"""The state service: client, records, mirror and group commit."""
