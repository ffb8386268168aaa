"""The settings and machine types of the small deployment sundarban-signing."""

from __future__ import annotations

from common.world import Json

NODES = {"moss-0": "salt-lake", "moss-1": "howrah-floor", "moss-2": "salt-lake"}
YARDS = ["salt-lake", "howrah-floor"]
STATE_LATENCY_S = 0.002
CLOUD_LATENCY_S = 0.25


def params() -> Json:
    """The settings under ``params``."""
    return {
        "initial_size": 3,
        "zones": sorted(YARDS),
        "time_bound_ms": 1000.0,
        "teams": [
            {
                "name": "release-cell",
                "cpus": 0.0,
                "cpus_max": 0.0,
                "gpus": 0.0,
                "gpus_max": 0.0,
            }
        ],
        "objectives": [
            {"kind": "wait", "class": "intake-desk", "within_s": 2.0, "share": 0.92},
            {"kind": "deadline", "class": "manifest-check", "share": 0.9, "times": 1.0},
            {"kind": "finished", "class": "night-sweep", "within_s": 90.0, "share": 0.78},
        ],
        "workers": {
            "report_s": 2.0,
            "lease_s": 16.0,
            "gang_wait_s": 50.0,
            "gang_peer_s": 8.0,
            "cancel_s": 41.0,
        },
        "state": {"rps": 200.0, "write_rps": 20.0, "value_kb": 16.0, "txn_ops": 16},
        "cloud": {"rps": 6.0, "list_lag_s": 8.0},
        "machine_limits": {"core_share": 0.432, "mem_mb": 146.0, "max_connections": 900},
    }


def builds(*names: str) -> list[Json]:
    """The machine types with these names."""
    rows = [
        ("dak-small", 4, 16, 0.26, 0.1, 70, 0.8, 15.0),
        ("ganga-mid", 16, 64, 0.99, 0.38, 40, 1.0, 20.0),
        ("hooghly-big", 64, 512, 4.79, 1.83, 50, 0.3, 15.0),
    ]
    return [
        {
            "label": name,
            "cores": float(cores),
            "cards": 0.0,
            "ram_gb": float(ram),
            "cache_gb": float(cache),
            "fetch_gb_per_s": fetch,
            "price": price,
            "spot_price": spot,
            "ready_s": ready,
            "yards": YARDS,
        }
        for name, cores, ram, price, spot, cache, fetch, ready in rows
        if name in names
    ]
