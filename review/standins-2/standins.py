"""Stand-ins for the state service, the cloud, the workers and the network, written from the users' protocol page."""

import asyncio
import os
import random
import signal
import socket
import sys
import time
from urllib.parse import parse_qs, urlsplit

import cbor2

ROOT = os.getcwd()  # run.sh changes to the repository's root
HOST = "127.0.0.1"
REPORT_TIMEOUT_S = 4.0


def now():
    return time.monotonic()


def free_ports(count):
    """Return ports that nothing listens on."""
    probes = []
    for _ in range(count):
        probe = socket.socket()
        probe.bind((HOST, 0))
        probes.append(probe)
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started_at = now()

    def __call__(self, *words):
        self.file.write(f"{now() - self.started_at:8.3f} {' '.join(str(word) for word in words)}\n")
        self.file.flush()


# -- HTTP ---------------------------------------------------------------------------------------------


async def read_message(reader):
    """Return the first line, the headers and the body of a request or response; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


async def serve_http(port, handle):
    """Serve HTTP on a port; ``handle(method, path, body)`` returns a status and a body to encode."""

    async def on_connection(reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                method, path, _ = message[0].split(" ", 2)
                status, answer = await handle(method, path, message[2])
                data = b"" if answer is None else cbor2.dumps(answer)
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, HOST, port, backlog=500)


async def _exchange(port, method, path, body):
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        data = b"" if body is None else cbor2.dumps(body)
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}:{port}\r\nContent-Length: {len(data)}\r\n"
            f"Connection: close\r\n\r\n".encode() + data
        )
        message = await read_message(reader)
        if message is None:
            raise ConnectionError("no answer")
        answer = cbor2.loads(message[2]) if message[2] else {}
        return int(message[0].split(" ")[1]), answer
    finally:
        writer.close()


async def call(port, method, path, body=None, timeout=2.0):
    """Send one request on a connection of its own; (0, {}) without an answer."""
    try:
        async with asyncio.timeout(timeout):
            return await _exchange(port, method, path, body)
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        return 0, {}


# -- network ------------------------------------------------------------------------------------------


class Proxy:
    """A TCP relay to one port; while cut it holds what is sent, and delivers it after the cut."""

    def __init__(self, target):
        self.target = target
        self.open = asyncio.Event()
        self.open.set()

    async def start(self, port):
        return await asyncio.start_server(self._relay, HOST, port, backlog=200)

    async def _relay(self, reader, writer):
        if not self.open.is_set():  # an attempt during the cut hangs, and does not complete afterwards
            await self.open.wait()
            writer.close()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(HOST, self.target)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self._pump(reader, target_writer), self._pump(target_reader, writer))

    async def _pump(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                await self.open.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()


# -- state service ------------------------------------------------------------------------------------


class Bucket:
    """The rate limit of the state service: bursts of one second's worth."""

    def __init__(self, rate):
        self.rate, self.tokens, self.at = rate, rate, now()

    def take(self, count):
        self.tokens = min(self.rate, self.tokens + (now() - self.at) * self.rate)
        self.at = now()
        if self.tokens < count:
            return False
        self.tokens -= count
        return True


class Store:
    """The state service: "usually less than 10 ms, and now and then a few hundred"."""

    def __init__(self, settings, rng, slow_share=0.0):
        self.settings, self.rng, self.slow_share = settings, rng, slow_share
        self.data = {}  # key -> [value, stamp, loan]
        self.ledger = 0
        self.events = []
        self.leases = {}  # loan -> [end, life]
        self.next_loan = 1
        self.changed = asyncio.Event()
        self.requests, self.writes = Bucket(settings["rps"]), Bucket(settings["write_rps"])
        self.on_change = lambda key, value: None

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            for loan in [loan for loan, (end, _) in self.leases.items() if end <= now()]:
                self._end(loan)

    def _end(self, loan):
        del self.leases[loan]
        keys = [key for key, entry in self.data.items() if entry[2] == loan]
        if keys:
            self._apply([{"drop": key} for key in keys])

    def _apply(self, operations):
        self.ledger += 1
        for operation in operations:
            if "set" in operation:
                key = operation["set"]
                self.data[key] = [operation["v"], self.ledger, operation.get("loan")]
                self.events.append({"set": key, "v": operation["v"], "stamp": self.ledger})
                self.on_change(key, operation["v"])
            elif self.data.pop(operation["drop"], None) is not None:
                self.events.append({"drop": operation["drop"], "stamp": self.ledger})
                self.on_change(operation["drop"], None)
        del self.events[:-10_000]
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, method, path, body):
        before, after = self.rng.uniform(0.002, 0.0045), self.rng.uniform(0.002, 0.0045)
        if self.rng.random() < self.slow_share:
            slow = self.rng.uniform(0.2, 0.3)
            before, after = (slow, after) if self.rng.random() < 0.5 else (before, slow)
        await asyncio.sleep(before)
        if not self.requests.take(1):
            return 429, {"error": "rate"}
        url = urlsplit(path)
        if url.path == "/changes":
            return await self._watch(parse_qs(url.query))
        answer = self._answer(method, url, body)
        await asyncio.sleep(after)
        return answer

    def _answer(self, method, url, body):
        if url.path == "/kv":
            query = parse_qs(url.query)
            prefix, start, page = query["prefix"][0], query.get("after", [""])[0], int(query["page"][0])
            keys = sorted(key for key in self.data if key.startswith(prefix) and key > start)
            entries = [{"key": key, "v": self.data[key][0], "stamp": self.data[key][1]} for key in keys[:page]]
            return 200, {"entries": entries, "truncated": len(keys) > page, "ledger": self.ledger}
        if url.path.startswith("/kv/"):
            entry = self.data.get(url.path[4:])
            if entry is None:
                return 404, {"ledger": self.ledger}
            return 200, {"key": url.path[4:], "v": entry[0], "stamp": entry[1], "loan": entry[2]}
        if url.path == "/commit":
            return self._commit(cbor2.loads(body))
        if url.path == "/leases":
            life = cbor2.loads(body)["lifeMs"] / 1000
            loan, self.next_loan = self.next_loan, self.next_loan + 1
            self.leases[loan] = [now() + life, life]
            return 200, {"loan": loan}
        if url.path.startswith("/leases/"):
            loan = int(url.path.split("/")[2])
            if loan not in self.leases:
                return 404, {}
            if method == "DELETE":
                self._end(loan)
            else:
                self.leases[loan][0] = now() + self.leases[loan][1]
            return 200, {}
        return 400, {}

    def _commit(self, body):
        operations = body.get("apply") or []
        if len(operations) > self.settings["txn_ops"] or len(body["if"]) > 4 * self.settings["txn_ops"]:
            return 400, {"error": "too large"}
        if not self.writes.take(len(operations)):
            return 429, {"error": "rate"}
        if any(operation.get("loan") is not None and operation["loan"] not in self.leases for operation in operations):
            return 400, {"error": "no such lease"}
        failed = [
            condition["key"]
            for condition in body["if"]
            if self.data.get(condition["key"], (None, 0))[1] != condition["stamp"]
        ]
        if failed:
            return 409, {"failed": failed, "ledger": self.ledger}
        if operations:
            self._apply(operations)
        return 200, {"ledger": self.ledger}

    async def _watch(self, query):
        prefix, after = query["prefix"][0], int(query["after"][0])
        end = now() + int(query.get("holdMs", ["0"])[0]) / 1000
        while True:
            if len(self.events) == 10_000 and after < self.events[0]["stamp"] - 1:
                return 410, {}
            events = []
            for event in reversed(self.events):
                if event["stamp"] <= after:
                    break
                if (event.get("set") or event["drop"]).startswith(prefix):
                    events.append(event)
            if events or now() >= end:
                return 200, {"ledger": self.ledger, "events": events[::-1]}
            changed = self.changed
            try:
                async with asyncio.timeout(max(0.0, end - now())):
                    await changed.wait()
            except TimeoutError:
                pass


# -- cloud --------------------------------------------------------------------------------------------


class Cloud:
    """The cloud; each controller reaches it on a port of its own, so that the record names the caller."""

    def __init__(self, cluster, machine_type, list_lag_s):
        self.cluster, self.type, self.list_lag_s = cluster, machine_type, list_lag_s
        self.machines = {}  # name -> entry of the list, with the time of the request
        self.history = []  # (time, list)
        self.rentals = {}
        self.count = 0
        self.capacity = {}  # (zone, spot) -> machines left; missing: none
        self.boot_s = lambda name: machine_type["bootS"]
        self.on_delete = lambda node, name: None

    def add(self, zone, spot, boot_s):
        name = f"host-{self.count:06d}"
        self.count += 1
        self.machines[name] = {
            "ref": name, "addr": f"{HOST}:9", "binding": self.type["sku"], "branch": zone, "loaners": spot,
            "status": "starting", "at": now(),
        }  # fmt: skip
        asyncio.get_running_loop().call_later(boot_s, self._up, name)
        return name

    def _up(self, name):
        if name in self.machines:
            self.machines[name]["status"] = "running"
            self.cluster.machine_up(self.machines[name])

    async def snapshots(self):
        while True:
            self.history.append((now(), [dict(machine) for machine in self.machines.values()]))
            del self.history[:-200]
            await asyncio.sleep(0.2)

    def handler(self, node):
        async def handle(method, path, body):
            await asyncio.sleep(0.1)
            return self._answer(node, method, urlsplit(path), body)

        return handle

    def _answer(self, node, method, url, body):
        record = self.cluster.record
        if url.path == "/machine_types":
            return 200, {"bindings": [self.type]}
        if url.path == "/rentals/delete":
            names = cbor2.loads(body)["stacks"]
            record(node, "-> cloud: delete", *names)
            for name in names:
                if self.machines.pop(name, None) is not None:
                    self.on_delete(node, name)
                    self.cluster.machine_gone(name)
            return 200, {}
        if url.path == "/rentals" and method == "POST":
            request = cbor2.loads(body)
            if request["requisition"] not in self.rentals:
                kind = (request["branch"], request["loaners"])
                count = min(request["count"], self.capacity.get(kind, 0))
                if count == 0:
                    return 503, {"error": "no capacity"}
                self.capacity[kind] -= count
                names = []
                for _ in range(count):
                    names.append(self.add(*kind, self.boot_s(f"host-{self.count:06d}")))
                self.rentals[request["requisition"]] = names
                record(node, "-> cloud: rent", request["requisition"], *kind, "->", *names)
            return 200, {"stacks": self.rentals[request["requisition"]]}
        query = parse_qs(url.query)
        lists = [machines for at, machines in self.history if at <= now() - self.list_lag_s]
        rows = [dict(row, ageS=now() - self.list_lag_s - row["at"]) for row in (lists[-1] if lists else [])]
        rows = [row for row in rows if row["ref"] > query.get("after", [""])[0]]
        for row in rows:
            row["ageS"] = max(0.0, row["ageS"])
            del row["at"]
        page = int(query["page"][0])
        return 200, {"stacks": rows[:page], "truncated": len(rows) > page}


# -- workers ------------------------------------------------------------------------------------------


class Task:
    def __init__(self, key, spec):
        self.key, self.spec = key, spec  # key: job, index, renewal
        self.status, self.why, self.kept = "fetching", None, False
        self.timers = []

    @property
    def on_machine(self):
        return self.status in ("gathering", "running", "flushing")

    def encode(self):
        fields = {"volume": f"{self.key[0]}/{self.key[1]}", "renewal": self.key[2], "status": self.status}
        if self.status == "exited":
            fields.update(remark=self.why, kept=self.kept)
        return fields


class Worker:
    """One machine's worker: reports, executes the answers' commands and keeps its lease."""

    def __init__(self, cluster, machine):
        self.cluster, self.machine, self.name, self.zone = cluster, machine, machine["ref"], machine["branch"]
        self.limits = cluster.workers_settings
        self.shift, self.accession, self.warrant = 1, 0, 0
        self.tasks, self.images = {}, set()
        self.lease_from = now()
        self.alive = True
        self.change = asyncio.Event()
        self.first_node = cluster.rng.randrange(len(cluster.ports))
        self.node = None  # the node whose answer it accepted last
        self.jobs = [cluster.spawn(self._report()), cluster.spawn(self._watch_lease())]

    def stop(self):
        """The machine is gone, with all that is on it."""
        self.alive = False
        for job in self.jobs:
            job.cancel()
        self._kill_all("the machine is gone")

    def _kill_all(self, why):
        tasks, self.tasks = self.tasks, {}
        for task in tasks.values():
            self._exit(task, "killed", detail=why)

    async def _watch_lease(self):
        while True:
            await asyncio.sleep(0.05)
            if now() - self.lease_from > self.limits["lease_s"]:
                self._kill_all("lease over")
                self.shift += 1
                self.lease_from = now()
                self.change.set()

    async def _report(self):
        nodes, rng = list(self.cluster.ports), self.cluster.rng
        current = self.first_node
        while True:
            node, sent_at, shift = nodes[current], now(), self.shift
            self.change.clear()
            self.accession += 1
            body = {
                "stack": self.name, "addr": self.machine["addr"], "binding": self.machine["binding"],
                "branch": self.zone, "loaners": self.machine["loaners"], "shift": shift,
                "accession": self.accession, "warrant": self.warrant, "recallS": None,
                "volumes": [task.encode() for task in self.tasks.values()],
            }  # fmt: skip
            status, answer = await call(self.cluster.ports[node], "POST", "/checkin", body, REPORT_TIMEOUT_S)
            if status == 200:
                if shift == self.shift and answer.get("warrant", -1) >= self.warrant:
                    self.lease_from = max(self.lease_from, sent_at)
                    self.warrant, self.node = answer["warrant"], node
                    for slip in answer["slips"]:
                        self._execute(slip)
                wait = self.limits["report_s"] * rng.uniform(0.75, 1.25)
                await asyncio.sleep(0.5)
                try:
                    async with asyncio.timeout(max(0.01, wait - 0.5)):
                        await self.change.wait()
                except TimeoutError:
                    pass
            elif status == 421 and answer.get("returnDesk") in nodes and answer["returnDesk"] != node:
                current = nodes.index(answer["returnDesk"])
                await asyncio.sleep(rng.uniform(0.0, 0.5))
            else:
                current = (current + 1) % len(nodes)
                await asyncio.sleep(1.0)

    def _execute(self, slip):
        job, _, index = slip["volume"].rpartition("/")
        key = (job, int(index), slip["renewal"])
        task = self.tasks.get(key)
        if slip["slipKind"] == "launch" and task is None:
            self._launch(key)
        elif slip["slipKind"] == "halt" and task is not None and task.status != "exited":
            spec = task.spec
            if task.status == "running" and spec["bookmarkS"] > 0 and slip["graceS"] >= spec["shelveS"]:
                task.status = "flushing"
                self._later(task, spec["shelveS"], lambda: self._exit(task, "stopped", kept=True))
                self.change.set()
            elif task.status != "flushing" or slip["graceS"] == 0:
                self._exit(task, "stopped")
        elif slip["slipKind"] == "clear" and task is not None and task.status == "exited":
            del self.tasks[key]

    def _launch(self, key):
        spec = self.cluster.specs.get(key[0])
        task = self.tasks[key] = Task(key, spec)
        others = [other for other in self.tasks.values() if other is not task and other.status != "exited"]
        machine_type = self.cluster.cloud.type
        if spec is None:
            self._exit(task, "unknown")
        elif any(other.key[:2] == key[:2] for other in others):
            self._exit(task, "in_use")
        elif any(
            sum(other.spec[field] for other in others) + spec[field] > machine_type[field] + 1e-6
            for field in ("cores", "cards", "ramGb")
        ):
            self._exit(task, "full")
        else:
            self.change.set()
            fetch_s = 0.05 if spec["edition"] in self.images else spec["imageGb"] / machine_type["fetchGbPerS"]
            self._later(task, fetch_s, lambda: self._fetched(task))

    def _later(self, task, delay, action):
        def fire():
            if self.alive and self.tasks.get(task.key) is task and task.status != "exited":
                action()

        task.timers.append(asyncio.get_running_loop().call_later(delay, fire))

    def _fetched(self, task):
        self.images.add(task.spec["edition"])
        self.cluster.on_start(self, task)
        if task.key[:2] in self.cluster.completed:  # the result is kept
            self._exit(task, "done")
            return
        if task.spec["format"] != "group":
            self.run(task)
            return
        task.status = "gathering"
        self.change.set()
        self._later(task, self.limits["gang_wait_s"], lambda: task.status == "gathering" and self._exit(task, "incomplete"))
        members = self.cluster.gang(task)
        if {member.key[1] for _, member in members if member.status == "gathering"} == set(range(task.spec["volumes"])):
            for worker, member in members:
                worker.run(member)

    def run(self, task):
        task.status = "running"
        self.change.set()
        run_s = self.cluster.run_s.get(task.key[0])
        if run_s is not None:
            self._later(task, run_s, lambda: self._done(task))

    def _done(self, task):
        members = [(self, task)]
        if task.spec["format"] == "group":
            members = self.cluster.gang(task)
            if {member.key[1] for _, member in members if member.status == "running"} != set(range(task.spec["volumes"])):
                return  # a task is gone: the others will notice
        for worker, member in members:
            self.cluster.completed.add(member.key[:2])
            worker._exit(member, "done")

    def _exit(self, task, why, kept=False, detail=""):
        if task.status == "exited":
            return
        was_running = task.status in ("running", "flushing")
        was_on = task.on_machine
        task.status, task.why, task.kept = "exited", why, kept
        for timer in task.timers:
            timer.cancel()
        if was_on:
            self.cluster.on_end(self, task, why, detail)
        self.change.set()
        if was_running and why != "done" and task.spec["format"] == "group":
            for worker, member in self.cluster.gang(task):
                if member.status == "running":
                    worker._later(
                        member, self.limits["gang_peer_s"] / 2, lambda w=worker, m=member: w._exit(m, "mates_gone")
                    )


# -- the deployment -----------------------------------------------------------------------------------


def quote(value):
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return f'"{value}"'
    if isinstance(value, list):
        return "[" + ", ".join(quote(item) for item in value) + "]"
    return repr(value)


class Cluster:
    """Controllers as processes, started with the command of the deploy file, among the stand-ins."""

    def __init__(self, folder, record, *, zones, node_zones, teams, workers, state, cloud, machine_type, seed, slow_share=0.0):
        self.folder, self.record, self.rng = folder, record, random.Random(seed)
        self.zones, self.node_zones, self.teams = zones, node_zones, teams
        self.workers_settings, self.state_settings, self.cloud_settings = workers, state, cloud
        self.names = [f"stacker-{number}" for number in range(len(node_zones))]
        self.store = Store(state, self.rng, slow_share)
        self.cloud = Cloud(self, machine_type, cloud["list_lag_s"])
        self.specs, self.run_s, self.workers = {}, {}, {}
        self.completed = set()  # (job, index) of the tasks that ran to their end
        self.processes, self.configs, self.ports = {}, {}, {}
        self.background = set()
        self.on_start = lambda worker, task: None
        self.on_end = lambda worker, task, why, detail: None
        self.links = {}  # (from, to) -> proxy; to is a node or "state"

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.background.add(task)
        task.add_done_callback(self.background.discard)
        return task

    async def serve(self, proxies=False):
        """Serve the stand-ins and write the settings files."""
        self.spawn(self.store.expire())
        self.spawn(self.cloud.snapshots())
        names = self.names
        links = [(a, b) for a in names for b in [*names, "state"] if a != b]
        ports = free_ports(1 + 3 * len(names) + len(links))
        store_port = ports.pop()
        await serve_http(store_port, self.store.handle)
        cloud_ports = {name: ports.pop() for name in names}
        peer_ports = {name: ports.pop() for name in names}
        self.ports = {name: ports.pop() for name in names}
        targets = {**peer_ports, "state": store_port}
        link_ports = {}
        for link in links:
            link_ports[link] = targets[link[1]]
            if proxies:
                link_ports[link] = ports.pop()
                self.links[link] = Proxy(targets[link[1]])
                await self.links[link].start(link_ports[link])
        for name, zone in zip(names, self.node_zones, strict=True):
            await serve_http(cloud_ports[name], self.cloud.handler(name))
            peers = "".join(
                f'[[peers]]\nnode = "{peer}"\narea = "{peer_zone}"\nendpoint = "{HOST}:{link_ports[(name, peer)]}"\n\n'
                for peer, peer_zone in zip(names, self.node_zones, strict=True)
                if peer != name
            )
            tables = {
                "workers": self.workers_settings, "state": self.state_settings, "cloud": self.cloud_settings,
                "resources": {"cpu": 0.36, "mem_mb": 146.0, "fd_limit": 900},
            }  # fmt: skip
            teams = "".join(
                "[[deployment.teams]]\n" + "".join(f"{key} = {quote(value)}\n" for key, value in team.items()) + "\n"
                for team in self.teams
            )
            text = (
                f'node = "{name}"\narea = "{zone}"\nclient_listen = "{HOST}:{self.ports[name]}"\n'
                f'peer_listen = "{HOST}:{peer_ports[name]}"\n\n{peers}'
                f'[outside]\ncloud = "{HOST}:{cloud_ports[name]}"\nstate = "{HOST}:{link_ports[(name, "state")]}"\n\n'
                f"[deployment]\nnodes = {len(names)}\nzones = {quote(self.zones)}\ntime_bound_ms = 5.0\n\n{teams}"
                '[[deployment.objectives]]\nkind = "guarantee"\nwithin_s = 60.0\nshare = 0.93\n\n'
                + "".join(
                    f"[deployment.{table}]\n" + "".join(f"{key} = {quote(value)}\n" for key, value in fields.items()) + "\n"
                    for table, fields in tables.items()
                )
            )
            self.configs[name] = os.path.join(self.folder, f"{name}.toml")
            with open(self.configs[name], "w", encoding="utf-8") as file:
                file.write(text)

    async def start(self, name):
        """Start a controller with the command of deploy/service.toml."""
        with open(os.path.join(self.folder, f"{name}.log"), "ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                "python3", "-S", "target/service/serve.py", "--config", self.configs[name],
                cwd=ROOT, stdout=log, stderr=log, env={**CLEAN_ENV, "LOG_LEVEL": "info"},
            )  # fmt: skip

    async def kill(self, name):
        process = self.processes.pop(name, None)
        if process is not None and process.returncode is None:
            process.send_signal(signal.SIGKILL)
            await process.wait()

    async def kill_all(self):
        """End all controllers; a stopped one ends too."""
        for name in list(self.processes):
            await self.kill(name)

    def leader(self):
        """Return the holder of the leader key, as the state service shows it."""
        entry = self.store.data.get("p/lead")
        return entry[0]["node"] if entry is not None else None

    def cut(self, name, targets):
        """Cut a node from peers and state service, in both directions; what is sent is held."""
        for (source, target), proxy in self.links.items():
            if (source == name and target in targets) or (target == name and source in targets):
                proxy.open.clear()

    def heal(self):
        for proxy in self.links.values():
            proxy.open.set()

    def machine_up(self, machine):
        self.workers[machine["ref"]] = Worker(self, machine)

    def machine_gone(self, name):
        worker = self.workers.pop(name, None)
        if worker is not None:
            worker.stop()

    def gang(self, task):
        return [
            (worker, other)
            for worker in self.workers.values()
            for other in worker.tasks.values()
            if other.key[0] == task.key[0] and other.key[2] == task.key[2] and other.status != "exited"
        ]

    def job(self, number, **fields):
        """Return a job as users describe it, and upload its description."""
        spec = {
            "ref": f"wk-{number:06d}", "shelfmark": "train", "desk": self.teams[0]["name"], "format": "batch",
            "precedence": "standard", "volumes": 1, "cores": 1.0, "cards": 0.0, "ramGb": 3.0, "edition": "img-1",
            "imageGb": 1.0, "bindings": None, "branch": None, "samePlace": False, "spread": False, "loaners": False,
            "loanS": 600.0, "bookmarkS": 0.0, "shelveS": 0.0, "dueS": None, **fields,
        }  # fmt: skip
        self.specs[spec["ref"]] = spec
        return spec

    async def submit(self, spec, node=None):
        """Submit a job until it is accepted; a user tries for 60 s."""
        end = now() + 60.0
        while now() < end:
            name = node or self.rng.choice(self.names)
            status, answer = await call(self.ports[name], "POST", "/v2/runs", spec, 5.0)
            if status in (200, 201):
                return status, answer
            if status in (400, 422):
                return status, answer
            await asyncio.sleep(1.0)
        return 0, {}

    async def wait_ready(self, timeout_s=20.0):
        """Wait until a leader is known and all nodes answer their health check; return the leader."""
        end = now() + timeout_s
        while now() < end:
            up = [(await call(port, "GET", "/up", timeout=1.0))[0] for port in self.ports.values()]
            if self.leader() is not None and all(status == 200 for status in up):
                return self.leader()
            await asyncio.sleep(0.2)
        raise NotRunError("no leader, or a controller is not healthy")

    def log_lines(self, words):
        """Return the controllers' log lines that contain one of the words."""
        lines = []
        for name in self.names:
            try:
                with open(os.path.join(self.folder, f"{name}.log"), encoding="utf-8", errors="replace") as file:
                    lines += [f"{name}: {line.rstrip()}" for line in file if any(word in line for word in words)]
            except OSError:
                pass
        return lines


class NotRunError(Exception):
    """The case could not run."""


CLEAN_ENV = {key: value for key, value in os.environ.items() if key not in ("PYTHONPATH", "TROUBLE")}


def main(case):
    """Run ``case(folder, record, trouble)``, which returns the list of violations, and exit with its result."""
    import tempfile

    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(sys.argv[1])
    record("disruption:", "on" if trouble else "off")

    async def limited(folder):
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: None)  # of tasks that are cut off at the end
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)  # so that the controllers end too
        async with asyncio.timeout(115.0):
            return await case(folder, record, trouble)

    with tempfile.TemporaryDirectory() as folder:
        try:
            violations = asyncio.run(limited(folder))
        except (NotRunError, TimeoutError, OSError, asyncio.CancelledError) as exc:
            record("the case could not run:", repr(exc))
            sys.exit(2)
    for violation in violations:
        record("RULE BROKEN:", violation)
    record("result:", f"broken, {len(violations)} times" if violations else "the rule held")
    sys.exit(1 if violations else 0)
