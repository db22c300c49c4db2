"""Stand-in for the key-value store, written from the interface's description."""

import asyncio
import json
from urllib.parse import parse_qs, urlsplit

import cbor2


class KeyValueStoreService:
    def __init__(self):
        self.data = {}  # key -> (value, mod_revision, lease or None)
        self.revision = 0
        self.events = []  # (revision, event), oldest first
        self.leases = {}  # lease -> (expiry, time to live in seconds)
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.outage = False
        self.retained_events = 10_000
        self.compacted_revision = 0  # of the last change that is no longer kept; a watch from before it gets 410
        self.max_page_keys = 1000  # a page has no more keys, whatever a request asks for
        self.commits = 0
        self.reordered_requests = 0  # late requests, unanswered and applied after newer ones of the same connection
        self.repeated_commits = []  # transactions that were applied a second time
        self.txn_ops, self.value_bytes, self.oversized_commits = 12, 4096, 0

    def _now(self):
        return asyncio.get_running_loop().time()

    def _apply(self, writes):
        self.revision += 1
        for op in writes:
            if "set" in op:
                self.data[op["set"]] = (op["v"], self.revision, op.get("loan"))
                self.events.append((self.revision, {"set": op["set"], "v": op["v"], "stamp": self.revision}))
            elif self.data.pop(op["drop"], None) is not None:
                self.events.append((self.revision, {"drop": op["drop"], "stamp": self.revision}))
        excess = len(self.events) - self.retained_events
        if excess > 0:
            self.compacted_revision = self.events[excess - 1][0]
            del self.events[:excess]
        self.changed.set()
        self.changed = asyncio.Event()

    def expire_leases(self):
        """End the leases that were not renewed in time; no lease ends during an outage."""
        if self.outage:
            return
        now = self._now()
        for lease in [n for n, (end, _) in self.leases.items() if end <= now]:
            self._end_lease(lease)

    def _end_lease(self, lease):
        del self.leases[lease]
        keys = [key for key, (_, _, owner) in self.data.items() if owner == lease]
        if keys:
            self._apply([{"drop": key} for key in keys])

    def start_outage(self):
        self.expire_leases()
        self.outage = True

    def end_outage(self):
        self.outage = False
        now = self._now()
        self.leases = {lease: (now + ttl, ttl) for lease, (_, ttl) in self.leases.items()}

    async def expire_leases_periodically(self):
        """Expire leases periodically, also when no request arrives."""
        while True:
            await asyncio.sleep(0.05)
            self.expire_leases()

    async def handle(self, method, path, body):
        """Return the status and body of the answer to a request."""
        url = urlsplit(path)
        if url.path == "/changes":
            return await self._watch(parse_qs(url.query))
        if self.outage:
            return 503, b""
        self.expire_leases()
        if url.path == "/kv":
            return self._list_keys(parse_qs(url.query))
        if url.path.startswith("/kv/"):
            key = url.path[4:]
            if key not in self.data:
                return 404, cbor2.dumps({"ledger": self.revision})
            value, mod_revision, lease = self.data[key]
            return 200, cbor2.dumps({"key": key, "v": value, "stamp": mod_revision, "loan": lease})
        if url.path == "/commit":
            return self._commit(cbor2.loads(body))
        if url.path == "/leases" or url.path.startswith("/leases/"):
            return self._handle_lease(method, url.path, body)
        return 400, b""

    def _handle_lease(self, method, path, body):
        if path == "/leases":
            ttl = cbor2.loads(body)["lifeMs"] / 1000
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = (self._now() + ttl, ttl)
            return 200, cbor2.dumps({"loan": lease})
        lease = int(path.split("/")[2])
        if lease not in self.leases:
            return 404, b""
        if method == "DELETE":
            self._end_lease(lease)
        else:
            ttl = self.leases[lease][1]
            self.leases[lease] = (self._now() + ttl, ttl)
        return 200, cbor2.dumps({})

    def _list_keys(self, query):
        prefix, after = query["prefix"][0], query.get("after", [""])[0]
        limit = min(int(query["page"][0]), self.max_page_keys)
        keys = sorted(key for key in self.data if key.startswith(prefix) and key > after)
        entries = [{"key": key, "v": self.data[key][0], "stamp": self.data[key][1]} for key in keys[:limit]]
        return 200, cbor2.dumps({"entries": entries, "truncated": len(keys) > limit, "ledger": self.revision})

    def _commit(self, body):
        self.commits += 1
        sizes = [len(json.dumps(op["v"])) for op in body["apply"] if "set" in op]
        too_many_operations = len(body["apply"]) > self.txn_ops or len(body["if"]) > 4 * self.txn_ops
        if too_many_operations or max(sizes, default=0) > self.value_bytes or sum(sizes) > 64 * 1024:
            self.oversized_commits += 1
            return 400, cbor2.dumps({"error": "too large"})
        failed = [
            condition["key"]
            for condition in body["if"]
            if self.data.get(condition["key"], (None, 0, None))[1] != condition["stamp"]
        ]
        if any(op.get("loan") is not None and op["loan"] not in self.leases for op in body["apply"]):
            return 400, cbor2.dumps({"error": "no such lease"})
        if failed:
            return 409, cbor2.dumps({"failed": failed, "ledger": self.revision})
        if body["apply"]:
            self._apply(body["apply"])
        return 200, cbor2.dumps({"ledger": self.revision})

    async def _watch(self, query):
        prefix, after = query["prefix"][0], int(query["after"][0])
        end = self._now() + int(query.get("holdMs", ["0"])[0]) / 1000
        while True:
            if not self.outage:
                if after < self.compacted_revision:
                    return 410, b""
                events = [
                    e
                    for revision, e in self.events
                    if revision > after and (e.get("set") or e["drop"]).startswith(prefix)
                ]
                if events or self._now() >= end:
                    return 200, cbor2.dumps({"ledger": self.revision, "events": events})
            changed = self.changed
            try:
                async with asyncio.timeout(0.2 if self.outage else max(0.0, end - self._now())):
                    await changed.wait()
            except TimeoutError:
                pass
