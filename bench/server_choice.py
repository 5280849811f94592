"""How long prompts wait when VMs choose servers by late words, against three baselines.

python -m bench.server_choice
"""

from __future__ import annotations

import fire
from bench.load.stale_load import POLICIES, Pattern, play

FLEETS = ((3, 3), (9, 9), (30, 23), (43, 67))


def at(waits: list[float], share: float) -> float:
    """Return the wait that this share of prompts stays below."""
    return waits[int(len(waits) * share)]


def main(seed: int = 1, word_every_ms: int = 200) -> None:
    """Print a table of waits in ms."""
    print(f"{'VMs':>4} {'servers':>7} {'busy':>5} {'policy':15} {'p50':>6} {'p95':>6} {'p99':>6}")
    for vms, servers in FLEETS:
        for busy in (0.5, 0.8):
            pattern = Pattern(vms=vms, servers=servers, busy=busy, word_every_ms=word_every_ms)
            for policy in POLICIES:
                waits = play(pattern, policy, seed)
                found = " ".join(f"{at(waits, share):6.0f}" for share in (0.5, 0.95, 0.99))
                print(f"{vms:4} {servers:7} {busy:5.1f} {policy:15} {found}")


if __name__ == "__main__":
    fire.Fire(main)
