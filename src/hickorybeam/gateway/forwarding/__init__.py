"""Requests that a VM forwards to a VM of another region, and those that it runs for one."""
