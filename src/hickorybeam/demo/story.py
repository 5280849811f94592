"""The main job: a deployment starts, serves, refuses, is cut and heals, and says so."""

from __future__ import annotations

import time
from collections import Counter
from typing import TYPE_CHECKING

import anyio
import msgspec

from hickorybeam.demo.caller import Caller
from hickorybeam.demo.deployment import Deployment
from hickorybeam.demo.fleet import Fleet, start_fleet
from hickorybeam.model import ChangeTicket, ClientKey, ObjectKind, ObjectRef, key_digest

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorybeam.demo.caller import Reply

__all__ = ("Story", "first_cause", "run")

OPERATOR_KEY = "example-operator"
DELAY_MS = 80.0
IN_FORCE_LIMIT_MS = 7_000
REQUESTS_OVER_BURST = 40


def run(deployment: str, *, keep: bool = False) -> None:
    """Run the story of a deployment and print it.

    :param keep: leave the deployment running afterwards, until interrupted.
    """
    try:
        anyio.run(_run, Deployment.load(deployment), keep)
    except BaseExceptionGroup as group:
        raise first_cause(group) from None


def first_cause(exc: BaseException) -> BaseException:
    """Return the error inside nested groups: each embedded server adds a group around it."""
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    return exc


async def _run(deployment: Deployment, keep: bool) -> None:
    print(f"{deployment.name}: {len(deployment.vms)} entry VMs, regions {deployment.regions}")
    async with start_fleet(deployment, delay_ms=DELAY_MS) as fleet:
        await Story(fleet, print).tell()
        if keep:
            print("running until interrupted (Ctrl-C); keys are example-<account>")
            await anyio.sleep_forever()


class Story:
    """Each step does one thing to a running fleet and says what a caller saw.

    :param say: takes each line.
    """

    def __init__(self, fleet: Fleet, say: Callable[[str], None]) -> None:
        self.fleet = fleet
        self.say = say
        self.ticket = fleet.deployment.ticket
        self.operator = Caller(OPERATOR_KEY)
        self.model = self.ticket.models[0].name
        self.service = self.ticket.services[0].name
        self.regions = fleet.deployment.regions

    async def tell(self) -> None:
        """Go through every step."""
        await self.first_ticket()
        await self.streamed_answer()
        await self.booking_once()
        await self.residency_refusal()
        await self.rate_refusal()
        await self.withdrawn_key()
        await self.cut_region()
        self.addresses()

    async def submit(self, ticket: ChangeTicket) -> float:
        """Submit a ticket and return the ms until every entry VM acts on it."""
        begun = time.perf_counter()
        url = self.fleet.url(self.fleet.vms_of(self.regions[0])[0])
        reply = await self.operator.call("POST", f"{url}/v1/tickets", msgspec.to_builtins(ticket))
        if reply.status != 200:
            raise RuntimeError(f"ticket {ticket.number} was refused: {reply.body.decode()}")
        position = reply.json()["position"]
        for vm in self.fleet.daemons:
            await self.until_position(vm, position)
        return (time.perf_counter() - begun) * 1000

    async def until_position(self, vm: str, position: int) -> None:
        """Wait until an entry VM has applied the log up to a position."""
        with anyio.fail_after(IN_FORCE_LIMIT_MS / 1000):
            while True:
                reply = await self.operator.call("GET", f"{self.fleet.url(vm)}/v1/state")
                if reply.status == 200 and reply.json()["position"] >= position:
                    return
                await anyio.sleep(0.01)

    async def first_ticket(self) -> None:
        """Configure the deployment, once its entry VMs have met."""
        await self.fleet.met()
        took = await self.submit(self.ticket)
        self.say(f"ticket 1 in force on {len(self.fleet.daemons)} entry VMs after {took:.0f} ms")

    async def streamed_answer(self) -> None:
        """Ask a model in every region and read the streams."""
        account = self.account_for_all()
        for region in self.regions:
            vm = self.fleet.vms_of(region)[0]
            reply = await Caller(f"example-{account}").chat(self.fleet.url(vm), self.model, "hi")
            self.expect(reply, 200)
            self.say(
                f"{account} at {vm}: {len(reply.text.split())} words streamed, "
                f"first after {reply.first_ms:.0f} ms, whole after {reply.end_ms:.0f} ms"
            )

    async def booking_once(self) -> None:
        """Run a call that may not be repeated, twice with one idempotency key."""
        caller = Caller(f"example-{self.account_for_all()}")
        first, second = (self.fleet.url(vm) for vm in self.fleet.vms_of(self.regions[0])[:2])
        issued = await caller.call("POST", f"{first}/v1/idempotency-keys", {"count": 1})
        self.expect(issued, 200)
        header = (("Idempotency-Key", issued.json()["keys"][0]),)
        before = self.fleet.backends.executions()
        path = f"/v1/services/{self.service}/bookings"
        replies = [
            await caller.call("POST", url + path, {"slot": 7}, headers=header)
            for url in (first, second)
        ]
        self.say(
            f"one booking sent through two entry VMs: answers {[r.status for r in replies]}, "
            f"run {self.fleet.backends.executions() - before} time(s)"
        )

    async def residency_refusal(self) -> None:
        """Ask at an entry VM that may not see the account's data."""
        account, region = self.account_bound_elsewhere()
        vm = self.fleet.vms_of(region)[0]
        reply = await Caller(f"example-{account}").chat(self.fleet.url(vm), self.model, "hi")
        entries = reply.json()["error"]["entries"]
        self.say(f"{account} at {vm}: {reply.status} {reply.code}, named instead: {entries}")

    async def rate_refusal(self) -> None:
        """Send more than the smallest account's burst."""
        account = min(self.ticket.accounts, key=lambda found: found.burst)
        region = self.home_of(account.name)
        caller = Caller(f"example-{account.name}")
        url = self.fleet.url(self.fleet.vms_of(region)[0])
        size = int(account.burst * 2 / REQUESTS_OVER_BURST)
        replies: list[Reply] = []

        async def ask() -> None:
            replies.append(await caller.chat(url, self.model, "long", max_tokens=size))

        async with anyio.create_task_group() as tg:
            for _ in range(REQUESTS_OVER_BURST):
                tg.start_soon(ask)
        counts = Counter(reply.code or str(reply.status) for reply in replies)
        waits = [reply.json()["error"]["retry_after_ms"] or 0 for reply in replies if reply.code]
        retry_after = max(waits, default=0)
        self.say(
            f"{account.name} sends twice its burst: {dict(counts)}, retry after {retry_after} ms"
        )

    async def withdrawn_key(self) -> None:
        """Issue a key, use it, withdraw it, and see it refused everywhere."""
        account, secret = self.account_for_all(), "example-short-lived"
        key = ClientKey(name=key_digest(secret), account=account)
        await self.submit(ChangeTicket(number=2, keys=(key,), note="short-lived key"))
        caller = Caller(secret)
        urls = [self.fleet.url(vm) for vm in self.fleet.daemons]
        used = [(await caller.call("GET", f"{url}/v1/models")).status for url in urls]
        ref = ObjectRef(ObjectKind.KEY.value, key.name)
        took = await self.submit(ChangeTicket(number=3, deleted=(ref,), note="withdrawn"))
        after = [(await caller.call("GET", f"{url}/v1/models")).status for url in urls]
        self.say(f"a key: {set(used)} while issued, {set(after)} {took:.0f} ms after withdrawal")

    async def cut_region(self) -> None:
        """Cut the last region off, see it serve its own callers, and heal it."""
        region = self.regions[-1]
        vm = self.fleet.vms_of(region)[0]
        caller = Caller(f"example-{self.account_for_all()}")
        await self.fleet.cut(region)
        self.say(f"{region} is cut off from the other regions and from the platform")
        for prompt in ("one", "two"):
            reply = await caller.chat(self.fleet.url(vm), self.model, prompt)
            self.expect(reply, 200)
            self.say(f"  {vm} answers its own caller: {len(reply.text.split())} words")
        account = self.ticket.accounts[0]
        other = self.fleet.url(self.fleet.vms_of(self.regions[0])[0])
        body = msgspec.to_builtins(ChangeTicket(number=4, accounts=(account,), note="meanwhile"))
        accepted = await self.operator.call("POST", f"{other}/v1/tickets", body)
        self.expect(accepted, 200)
        begun = time.perf_counter()
        await self.fleet.heal(region)
        await self.until_position(vm, accepted.json()["position"])
        took = (time.perf_counter() - begun) * 1000
        self.say(f"  healed: the ticket accepted meanwhile is in force there after {took:.0f} ms")

    def addresses(self) -> None:
        """Name the addresses to try by hand."""
        for vm in self.fleet.daemons:
            self.say(f"  {vm:6} {self.fleet.url(vm)}")

    def account_for_all(self) -> str:
        """Return an account that every region may serve."""
        rules = {rule.name: rule for rule in self.ticket.residency_rules}
        for account in self.ticket.accounts:
            if account.residency and set(rules[account.residency].regions) == set(self.regions):
                return account.name
        raise ValueError("no account may be served in every region")

    def account_bound_elsewhere(self) -> tuple[str, str]:
        """Return an account and a region that may not serve it."""
        rules = {rule.name: rule for rule in self.ticket.residency_rules}
        for account in self.ticket.accounts:
            barred = set(self.regions) - set(rules[account.residency or ""].regions)
            if barred:
                return account.name, sorted(barred)[0]
        raise ValueError("no account is bound to some regions")

    def home_of(self, name: str) -> str:
        """Return the first region that may serve an account."""
        rules = {rule.name: rule for rule in self.ticket.residency_rules}
        account = next(found for found in self.ticket.accounts if found.name == name)
        return rules[account.residency].regions[0] if account.residency else self.regions[0]

    def expect(self, reply: Reply, status: int) -> None:
        """Stop the story where an answer is not what it tells."""
        if reply.status != status:
            raise RuntimeError(f"expected {status}, got {reply.status}: {reply.body.decode()}")
