"""Stand-in for the cloud, written from the interface's description."""

import asyncio
from urllib.parse import parse_qs, urlsplit

import cbor2


class CloudService:
    """Rents machines; ``on_up`` and ``on_machine_lost`` tell the cluster about them."""

    def __init__(self, types, capacity, rng, list_lag, on_up, on_machine_lost, addr="10.1.0.1:9000"):
        self.types = types
        self.capacity = dict(capacity)  # (type, zone, spot) -> count
        self.rng = rng
        self.list_lag = list_lag
        self.on_up = on_up
        self.on_machine_lost = on_machine_lost
        self.addr = addr
        self.machines = {}
        self.answers = {}
        self.snapshots = []
        self.count = 0
        self.boot_fails = 0.0
        self.outage = False

    def _now(self):
        return asyncio.get_running_loop().time()

    def add(self, type_name, zone, spot, boot=None):
        name = f"host-{self.count:06d}"
        self.count += 1
        row = {"ref": name, "addr": self.addr, "binding": type_name, "branch": zone, "loaners": spot}
        row["status"] = "starting"
        self.machines[name] = [row, self._now()]
        if boot is None:
            boot = self.types[type_name]["bootS"] * self.rng.uniform(0.6, 1.5)
        if self.rng.random() >= self.boot_fails:
            asyncio.get_running_loop().call_later(boot, self._up, name)
        return name

    def _up(self, name):
        if name in self.machines:
            self.machines[name][0]["status"] = "running"
            self.on_up(self.machines[name][0])

    def delete(self, name):
        """The machine no longer exists: deleted or preempted."""
        entry = self.machines.pop(name, None)
        if entry is not None:
            row = entry[0]
            self.capacity[(row["binding"], row["branch"], row["loaners"])] += 1
            self.on_machine_lost(name)

    async def handle(self, method, path, body):
        """Status and answer body."""
        url = urlsplit(path)
        if self.outage:
            return 503, cbor2.dumps({"error": "trouble"})
        if url.path == "/machine_types":
            return 200, cbor2.dumps({"bindings": list(self.types.values())})
        if url.path == "/rentals" and method == "POST":
            return self._rent(cbor2.loads(body))
        if url.path == "/rentals/delete":
            for name in cbor2.loads(body)["stacks"]:
                self.delete(name)
            return 200, cbor2.dumps({})
        return self._list(parse_qs(url.query))

    def _rent(self, ask):
        if ask["requisition"] in self.answers:
            return 200, cbor2.dumps({"stacks": self.answers[ask["requisition"]]})
        kind = (ask["binding"], ask["branch"], ask["loaners"])
        count = min(ask["count"], self.capacity.get(kind, 0))
        if count == 0:
            return 503, cbor2.dumps({"error": "no capacity"})
        self.capacity[kind] -= count
        self.answers[ask["requisition"]] = [self.add(*kind) for _ in range(count)]
        return 200, cbor2.dumps({"stacks": self.answers[ask["requisition"]]})

    def _list(self, query):
        now = self._now()
        rows = [dict(row, ageS=now - since) for row, since in self.machines.values()]
        self.snapshots.append((now, rows))
        lag = self.list_lag * self.rng.uniform(0.5, 2.0)
        old = [rows for at, rows in self.snapshots if at <= now - lag]
        rows = old[-1] if old else []
        self.snapshots = self.snapshots[-50:]
        after = query.get("after", [""])[0]
        page = int(query["page"][0])
        rest = [row for row in rows if row["ref"] > after]
        return 200, cbor2.dumps({"stacks": rest[:page], "truncated": len(rest) > page})
