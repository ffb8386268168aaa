"""The VM factory of the CBRAIN paper: load ratio, dwell, Pareto set, rentals and releases."""
