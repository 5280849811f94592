"""A small gateway over loopback, for scenarios."""

from __future__ import annotations

from contextlib import asynccontextmanager

from hickorybeam.demo.platform import start_platform_fleet

ONE_SERVER_OF_EACH = (("b1", "books"), ("m1", "model"))
SOUTHERN_SERVERS = (("b9", "books"), ("m9", "model"))


@asynccontextmanager
async def small_gateway(
    *, vms=("n1",), servers=ONE_SERVER_OF_EACH, south=False, second=(), grace_s=2.0
):
    """Run a store, backend servers and VMs, and wait until all VMs know each other.

    :param south: add a VM and a server of each service in the other region.
    :param second: VMs in the first region's second data centre.
    :param grace_s: how long a VM may take to shut down.
    """
    async with start_platform_fleet() as fleet:
        fleet.grace_s = grace_s
        for name, service in servers:
            await fleet.add_server(name, service, "north-1")
        for name in vms:
            await fleet.add_vm(name, "north-1")
        for name in second:
            await fleet.add_vm(name, "north-2")
        if south:
            for name, service in SOUTHERN_SERVERS:
                await fleet.add_server(name, service, "south-1")
            await fleet.add_vm("s1", "south-1")
        await fleet.settled()
        yield fleet


def executed_requests(fleet, service=None):
    """Return all requests that the servers of a service ran; of every service by default."""
    return [
        it
        for server in fleet.servers.values()
        if service in (None, server.service)
        for it in server.ran
    ]


def remove_account(fleet, name, *, version=None):
    """Remove an account and its key from the configuration to be written next.

    :param version: the configuration's version; the next number by default.
    """
    fleet.config["tenants"] = [it for it in fleet.config["tenants"] if it["name"] != name]
    fleet.config["version"] = version or fleet.config["version"] + 1


def withdraw_key(fleet, name, *, version=None):
    """Write a configuration without an account's key, as the operator does to revoke it."""
    remove_account(fleet, name, version=version)
    fleet.configure()
