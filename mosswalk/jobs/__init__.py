"""Jobs and their tasks: admission, the state machine, the registry of unfinished jobs."""
