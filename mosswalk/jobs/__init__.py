"""Jobs and their tasks: admission, the state machine, the registry of those that are open."""
