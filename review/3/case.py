"""An entry of another writer, rewritten in each heartbeat, keeps leaving servers in use."""

from __future__ import annotations

import sys
from contextlib import AsyncExitStack
from pathlib import Path

import anyio

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stage import (  # noqa: E402
    DRAIN_S,
    HEARTBEAT_S,
    LEAD_S,
    REGIONS,
    TROUBLE,
    CannotRunError,
    Machines,
    Record,
    ask,
    run_case,
)

from hickorybeam.standins.deployment import (  # noqa: E402
    account,
    caller_headers,
    first_config,
    route,
)
from hickorybeam.standins.keyvalue import KeyValueApp, serve_store  # noqa: E402
from hickorybeam.standins.server import ServerStandIn, serve_server  # noqa: E402

# Bytes that can't be read: arrays that are opened and never closed, far below max-value-bytes.
UNREADABLE = b"[" * 4_000
ENTRY = "servers/i-00-another-writer"
# How long the other writer has been writing before servers leave.
WRITES_BEFORE_S = 20.0
# A leaving server goes on for a while after `drain-ms`, at times for many seconds.
WATCH_S = 14.0
ASK_EVERY_S = 0.2


class Case:
    """One run of the case."""

    def __init__(self, app: KeyValueApp, machines: Machines, record: Record) -> None:
        self.app = app
        self.machines = machines
        self.record = record
        self.servers: list[ServerStandIn] = []
        # By server, when the store acknowledged that it drains.
        self.draining: dict[str, float] = {}
        self.late = 0
        self.late_asked = 0
        self.served = 0
        self.writes = 0
        self.number = 0

    async def write_entries(self) -> None:
        """Write an entry that can't be read as often as a server writes its own."""
        while TROUBLE:
            self.app.put(ENTRY, UNREADABLE + b"%d" % self.writes)
            self.writes += 1
            self.record.write(f"another writer writes {ENTRY}: {len(UNREADABLE)} bytes")
            await anyio.sleep(HEARTBEAT_S)

    async def ask_all(self) -> None:
        """Send two lookups to each machine."""
        async with anyio.create_task_group() as tg:
            for i in range(len(self.machines.hosts)):
                for _ in range(2):
                    tg.start_soon(self.look, i)

    async def look(self, i: int) -> None:
        """Send one lookup and judge where it arrived."""
        self.number += 1
        request_id = f"{self.number:016x}"
        sent = self.record.now()
        headers = caller_headers(request_id, key="small", wait_ms=3_000)
        status, _ = await ask(
            self.machines.hosts[i], self.machines.port, b"GET", "/look/x", headers
        )
        reached = [it for it in self.servers for a in it.ran if a.request_id == request_id]
        self.record.write(
            f"request {request_id} sent at {sent:.3f} to machine {i}:"
            f" answered {status}, run by {[it.id for it in reached]}"
        )
        self.served += bool(reached)
        if self.draining and sent > max(self.draining.values()) + DRAIN_S:
            self.late_asked += 1
            self.late += any(it.id in self.draining for it in reached)

    async def ask_for(self, seconds: float) -> None:
        """Send lookups for some time."""
        end = self.record.now() + seconds
        while self.record.now() < end:
            await self.ask_all()
            await anyio.sleep(ASK_EVERY_S)


async def play(folder: Path, record: Record) -> int:
    """Play the case and return the exit status."""
    async with AsyncExitStack() as stack:
        served = await stack.enter_async_context(serve_store())
        config = first_config()
        config["routes"] = [route("look", "safe", "books")]
        config["tenants"] = [account("small")]
        served.app.configure(config)
        machines = Machines(folder, served.url.removeprefix("http://"))
        case = Case(served.app, machines, record)
        for number, centre in enumerate((*REGIONS, *REGIONS)):
            server = ServerStandIn(f"i-{number + 10}", "books", centre, served.app)
            case.servers.append(await stack.enter_async_context(serve_server(server)))
        stack.callback(machines.end)
        for i in range(len(machines.hosts)):
            machines.start(i)
        await machines.wait_ready()
        await anyio.sleep(max(0.0, LEAD_S - record.now()))
        async with anyio.create_task_group() as tg:
            tg.start_soon(case.write_entries)
            await case.ask_for(WRITES_BEFORE_S)
            for server in case.servers[: len(REGIONS)]:
                server.register(state="draining")
                case.draining[server.id] = record.now()
                record.write(f"the store acknowledges that {server.id} is draining", show=True)
            await case.ask_for(DRAIN_S + WATCH_S)
            tg.cancel_scope.cancel()
        crashes = [machines.logged(i, "service feed crashed") for i in range(len(machines.hosts))]
        ended = [machines.ended(i) for i in range(len(machines.hosts))]
        record.write(f"crashes of the service 'feed' by machine: {crashes}, ended: {ended}")
    if not case.served or not case.late_asked:
        raise CannotRunError("requests are not served")
    record.write(
        f"{case.late} of {case.late_asked} requests sent more than {DRAIN_S} s after the"
        f" acknowledgement reached a draining server; {case.writes} writes by another writer",
        show=True,
    )
    return 1 if case.late else 0


if __name__ == "__main__":
    sys.exit(run_case(play, FOLDER))
