"""Stand-in for the cloud, written from the interface's description."""

import asyncio
import contextvars
from urllib.parse import parse_qs, urlsplit

import cbor2


class CloudService:
    """Provisions and deletes machines; reports them through ``on_machine_up`` and ``on_machine_lost``."""

    def __init__(
        self, machine_types, capacity, rng, list_lag_s, on_machine_up, on_machine_lost, addr="10.1.0.1:9000"
    ):
        self.machine_types = machine_types
        self.capacity = dict(capacity)  # (type, zone, spot) -> count
        self.rng = rng
        self.list_lag_s = list_lag_s
        self.on_machine_up = on_machine_up
        self.on_machine_lost = on_machine_lost
        self.addr = addr
        self.machines = {}  # name -> [entry of the machine list, time of the request]
        self.rentals = {}  # request id -> names of its machines; a repeated request gets the same answer
        self.snapshots = []  # (time, machine list), from which lagging answers are taken
        self.next_number = 0
        self.boot_failure_share = 0.0  # of new machines that never come up
        self.outage = False

    def _now(self):
        return asyncio.get_running_loop().time()

    def add_machine(self, type_name, zone, spot, boot_s=None):
        name = f"host-{self.next_number:06d}"
        self.next_number += 1
        machine = {"ref": name, "addr": self.addr, "binding": type_name, "branch": zone, "loaners": spot}
        machine["status"] = "starting"
        self.machines[name] = [machine, self._now()]
        if boot_s is None:
            boot_s = self.machine_types[type_name]["bootS"] * self.rng.uniform(0.6, 1.5)
        if self.rng.random() >= self.boot_failure_share:
            # not in the context of the controller whose request this is: its freeze does not stop the machine
            asyncio.get_running_loop().call_later(boot_s, self._finish_boot, name, context=contextvars.Context())
        return name

    def _finish_boot(self, name):
        if name in self.machines:
            self.machines[name][0]["status"] = "running"
            self.on_machine_up(self.machines[name][0])

    def delete(self, name, restores_capacity=True):
        """Remove a machine that was deleted, reclaimed or, if that restores no capacity, lost for good."""
        entry = self.machines.pop(name, None)
        if entry is not None:
            machine = entry[0]
            self.capacity[(machine["binding"], machine["branch"], machine["loaners"])] += restores_capacity
            self.on_machine_lost(name)

    async def handle(self, method, path, body):
        """Return the status and body of the answer to a request."""
        url = urlsplit(path)
        if self.outage:
            return 503, cbor2.dumps({"error": "trouble"})
        if url.path == "/machine_types":
            return 200, cbor2.dumps({"bindings": list(self.machine_types.values())})
        if url.path == "/rentals" and method == "POST":
            return self._rent(cbor2.loads(body))
        if url.path == "/rentals/delete":
            for name in cbor2.loads(body)["stacks"]:
                self.delete(name)
            return 200, cbor2.dumps({})
        return self._list(parse_qs(url.query))

    def _rent(self, request):
        if request["requisition"] in self.rentals:
            return 200, cbor2.dumps({"stacks": self.rentals[request["requisition"]]})
        kind = (request["binding"], request["branch"], request["loaners"])
        count = min(request["count"], self.capacity.get(kind, 0))
        if count == 0:
            return 503, cbor2.dumps({"error": "no capacity"})
        self.capacity[kind] -= count
        self.rentals[request["requisition"]] = [self.add_machine(*kind) for _ in range(count)]
        return 200, cbor2.dumps({"stacks": self.rentals[request["requisition"]]})

    def _list(self, query):
        now = self._now()
        machines = [dict(machine, ageS=now - requested_at) for machine, requested_at in self.machines.values()]
        self.snapshots.append((now, machines))
        lag_s = self.list_lag_s * self.rng.uniform(0.5, 2.0)
        visible = [machines for at, machines in self.snapshots if at <= now - lag_s]
        machines = visible[-1] if visible else []
        self.snapshots = self.snapshots[-50:]
        after = query.get("after", [""])[0]
        limit = int(query["page"][0])
        remaining = [machine for machine in machines if machine["ref"] > after]
        return 200, cbor2.dumps({"stacks": remaining[:limit], "truncated": len(remaining) > limit})
