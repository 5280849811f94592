"""Placement of requests on servers: by this VM, or by the VM that coordinates a service."""
