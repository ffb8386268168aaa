"""The cloud: client, rate limit and the caller that carries out rents and releases."""
