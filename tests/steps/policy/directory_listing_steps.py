from __future__ import annotations

import re

from behave import given, then

from hickorybeam.model.routing import GatewayVm
from hickorybeam.policy.directory_listing import RegionVms, vms_to_list

VM_STATE = re.compile(r'(serving|draining_short_only|draining) "(\w+)"')


def vm(name, region):
    return GatewayVm(
        name=name,
        incarnation="1",
        region=region,
        data_centre=region,
        host="10.0.0.1",
        caller_port=1,
        peer_port=2,
    )


@given("the directory knows {region} with {text}")
def step_region(context, region, text):
    vms = {state: (vm(name, region),) for state, name in VM_STATE.findall(text)}
    context.directory = {**getattr(context, "directory", {}), region: RegionVms(**vms)}
    context.fleet_known = True


@given("the directory has just started")
def step_started(context):
    context.fleet_known = False


@then('a caller in {region} bound to "{homes}" is sent to "{names}"')
def step_sent(context, region, homes, names):
    home_regions = [it.strip() for it in homes.split(",") if it != "no region"]
    found = vms_to_list(
        region,
        homes=home_regions,
        regions=context.directory,
        vms_of=lambda it: context.directory.get(it, RegionVms()),
        fleet_known=context.fleet_known,
    )
    assert (", ".join(it.name for it in found) or "nobody") == names, found
