"""Task placement: free capacity, team queues, preemption and the owner that places for teams."""
