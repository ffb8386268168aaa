"""Access to the cloud's API: client, rate limit, and execution of rentals and releases."""
