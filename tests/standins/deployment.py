"""The simulated deployment: its machine type, limits, and the settings file of the platform."""

LIMITS = {
    "report_s": 1.0,
    "lease_s": 10.0,
    "gang_wait_s": 30.0,
    "gang_peer_s": 6.0,
    "cancel_s": 35.0,
    "gpus_max": 8.0,
}
MACHINE_TYPE = {
    "sku": "box",
    "cores": 16.0,
    "cards": 2.0,
    "ramGb": 64.0,
    "localGb": 100.0,
    "fetchGbPerS": 1.0,
    "price": 5.0,
    "spotPrice": 1.5,
    "bootS": 10.0,
}
TEAMS = 3


def platform_settings(number, node_count, zones, teams=TEAMS, guarantee=4.0, limits=LIMITS):
    """Return the platform's settings of one controller as a table."""
    return {
        "node": f"n{number}",
        "area": zones[number % len(zones)],
        "client_listen": f"10.0.0.{number + 1}:8080",
        "peer_listen": f"10.0.0.{number + 1}:8081",
        "peers": [
            {"node": f"n{i}", "area": zones[i % len(zones)], "endpoint": f"10.0.0.{i + 1}:8081"}
            for i in range(node_count)
            if i != number
        ],
        "outside": {"cloud": "10.2.0.2:8443", "state": "10.2.0.1:2379"},
        "deployment": {
            "zones": list(zones),
            "time_bound_ms": 5.0,
            "teams": [
                {"name": f"t{i}", "cpus": 0.0, "cpus_max": 0.0, "gpus": guarantee, "gpus_max": limits["gpus_max"]}
                for i in range(teams)
            ],
            "workers": {k: v for k, v in limits.items() if k != "gpus_max"},
            "state": {"rps": 100.0, "write_rps": 40.0, "value_kb": 4.0, "txn_ops": 12},
            "cloud": {"rps": 6.0, "list_lag_s": 3.0},
            "resources": {"cpu": 0.4, "mem_mb": 150.0, "fd_limit": 600},
        },
    }
