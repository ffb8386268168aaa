"""What runs where: room on machines, team queues, preemption, the owner that places for teams."""
