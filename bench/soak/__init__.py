"""Soak: a fleet of real processes under random faults, judged by its callers' logs."""
