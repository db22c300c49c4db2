"""Stand-in for the state service, written from the interface's description."""

import asyncio
import json
from urllib.parse import parse_qs, urlsplit

import cbor2


class KeyValueStoreService:
    def __init__(self):
        self.data = {}
        self.ledger = 0
        self.events = []
        self.leases = {}
        self.next_lease = 1
        self.moved = asyncio.Event()
        self.outage = False
        self.kept = 10_000
        self.commits = 0
        self.reordered_requests = 0  # requests without an answer, carried out after newer ones of the same node
        self.txn_ops, self.value_bytes, self.oversized_commits = 12, 4096, 0

    def _now(self):
        return asyncio.get_running_loop().time()

    def _change(self, writes):
        self.ledger += 1
        for op in writes:
            if "set" in op:
                self.data[op["set"]] = (op["v"], self.ledger, op.get("loan"))
                self.events.append((self.ledger, {"set": op["set"], "v": op["v"], "stamp": self.ledger}))
            elif self.data.pop(op["drop"], None) is not None:
                self.events.append((self.ledger, {"drop": op["drop"], "stamp": self.ledger}))
        del self.events[: -self.kept]
        self.moved.set()
        self.moved = asyncio.Event()

    def expire(self):
        """End leases that were not renewed; none ends during an outage."""
        if self.outage:
            return
        now = self._now()
        for lease in [n for n, (end, _) in self.leases.items() if end <= now]:
            self._end(lease)

    def _end(self, lease):
        del self.leases[lease]
        gone = [key for key, (_, _, owner) in self.data.items() if owner == lease]
        if gone:
            self._change([{"drop": key} for key in gone])

    def start_outage(self):
        self.expire()
        self.outage = True

    def end_outage(self):
        self.outage = False
        now = self._now()
        self.leases = {lease: (now + ttl, ttl) for lease, (_, ttl) in self.leases.items()}

    async def tick(self):
        """Expire leases also when nobody calls."""
        while True:
            await asyncio.sleep(0.05)
            self.expire()

    async def handle(self, method, path, body):
        """Status and answer body."""
        url = urlsplit(path)
        if url.path == "/changes":
            return await self._watch(parse_qs(url.query))
        if self.outage:
            return 503, b""
        self.expire()
        if url.path == "/kv":
            return self._page(parse_qs(url.query))
        if url.path.startswith("/kv/"):
            key = url.path[4:]
            if key not in self.data:
                return 404, cbor2.dumps({"ledger": self.ledger})
            value, stamp, lease = self.data[key]
            return 200, cbor2.dumps({"key": key, "v": value, "stamp": stamp, "loan": lease})
        if url.path == "/commit":
            return self._commit(cbor2.loads(body))
        if url.path == "/leases" or url.path.startswith("/leases/"):
            return self._lease(method, url.path, body)
        return 400, b""

    def _lease(self, method, path, body):
        if path == "/leases":
            ttl = cbor2.loads(body)["lifeMs"] / 1000
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = (self._now() + ttl, ttl)
            return 200, cbor2.dumps({"loan": lease})
        lease = int(path.split("/")[2])
        if lease not in self.leases:
            return 404, b""
        if method == "DELETE":
            self._end(lease)
        else:
            ttl = self.leases[lease][1]
            self.leases[lease] = (self._now() + ttl, ttl)
        return 200, cbor2.dumps({})

    def _page(self, query):
        prefix, after, size = query["prefix"][0], query.get("after", [""])[0], int(query["page"][0])
        keys = sorted(key for key in self.data if key.startswith(prefix) and key > after)
        rows = [{"key": key, "v": self.data[key][0], "stamp": self.data[key][1]} for key in keys[:size]]
        return 200, cbor2.dumps({"entries": rows, "truncated": len(keys) > size, "ledger": self.ledger})

    def _commit(self, body):
        self.commits += 1
        sizes = [len(json.dumps(op["v"])) for op in body["apply"] if "set" in op]
        too_many = len(body["apply"]) > self.txn_ops or len(body["if"]) > 4 * self.txn_ops
        if too_many or max(sizes, default=0) > self.value_bytes or sum(sizes) > 64 * 1024:
            self.oversized_commits += 1
            return 400, cbor2.dumps({"error": "too large"})
        failed = [c["key"] for c in body["if"] if self.data.get(c["key"], (None, 0, None))[1] != c["stamp"]]
        if any(op.get("loan") is not None and op["loan"] not in self.leases for op in body["apply"]):
            return 400, cbor2.dumps({"error": "no such lease"})
        if failed:
            return 409, cbor2.dumps({"failed": failed, "ledger": self.ledger})
        if body["apply"]:
            self._change(body["apply"])
        return 200, cbor2.dumps({"ledger": self.ledger})

    async def _watch(self, query):
        prefix, after = query["prefix"][0], int(query["after"][0])
        end = self._now() + int(query.get("holdMs", ["0"])[0]) / 1000
        while True:
            if not self.outage:
                if self.events and after < self.events[0][0] - 1 and len(self.events) >= self.kept:
                    return 410, b""
                found = [
                    e for stamp, e in self.events if stamp > after and (e.get("set") or e["drop"]).startswith(prefix)
                ]
                if found or self._now() >= end:
                    return 200, cbor2.dumps({"ledger": self.ledger, "events": found})
            moved = self.moved
            try:
                async with asyncio.timeout(0.2 if self.outage else max(0.0, end - self._now())):
                    await moved.wait()
            except TimeoutError:
                pass
