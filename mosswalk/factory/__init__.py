"""The VM factory of the paper: load ratio, dwell, Pareto set, what to rent and to release."""
