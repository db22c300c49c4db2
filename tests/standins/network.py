"""The simulated network between workers, users and controllers: delays, partitions, late and repeated messages."""

import asyncio

import cbor2

from passrock.io.http_server import Request


class SimulatedNetwork:
    """The part of the simulated cluster that carries requests.

    A partition in ``cuts`` is (kind, name, until); for ``link`` the name is a pair of worker and controller.
    """

    def peers_cut(self, one, other):
        return any(
            kind == "peers" and until > self.now() and name in (one, other, "all")
            for kind, name, until in self.network_faults
        )

    def cut_until(self, worker):
        ends = [until for kind, name, until in self.network_faults if kind == "machine" and name == worker.name]
        return max(ends, default=0.0)

    def is_cut(self, what, name):
        """Whether a cut of this kind holds for a machine.

        ``unreachable_inbound``: its heartbeats leave, nothing reaches it. ``unreachable_outbound``: it opens no
        connection. ``slow_answer``: answers reach it seconds late.
        """
        return any(kind == what and cut == name and until > self.now() for kind, cut, until in self.network_faults)

    async def send_heartbeat(self, worker, name, body, timeout):
        """A worker's heartbeat and its answer."""
        async with asyncio.timeout(timeout):
            await asyncio.sleep(self.rng.uniform(0.001, 0.01))
            if self.is_cut("zone", worker.zone) != self.is_cut("zone", self.nodes[name].zone):
                await asyncio.Event().wait()  # one of the two is in a zone that is cut off
            if self.is_cut("unreachable_outbound", worker.name):
                raise ConnectionError("no connection opens")
            if any(kind == "workers" and cut == name and end > self.now() for kind, cut, end in self.network_faults):
                await asyncio.Event().wait()  # this node is cut off from all workers
            if self.is_cut("worker_link", (worker.name, name)):
                await asyncio.Event().wait()  # this worker alone can't reach this node
            until = self.cut_until(worker)
            if until > self.now():  # held back, and delivered after the worker has given it up
                asyncio.get_running_loop().call_at(
                    until + self.rng.uniform(0, 1), self.deliver_late_heartbeat, name, body
                )
                await asyncio.Event().wait()
            if self.duplicate_share and self.rng.random() < self.duplicate_share:
                # a copy comes later, from a second to well over a lease, perhaps to another node or process
                delay = self.rng.choice([1.0, 5.0, 2.5 * self.limits["lease_s"]]) * self.rng.uniform(0.5, 1.5)
                target = self.rng.choice([name, *self.nodes])
                asyncio.get_running_loop().call_later(delay, self.deliver_late_heartbeat, target, body)
            response = await self._send(name, Request("POST", "/checkin", body))
            await asyncio.sleep(self.rng.uniform(0.001, 0.01))
            if self.is_cut("slow_answer", worker.name):
                await asyncio.sleep(self.rng.uniform(2.0, 3.8))
            if self.cut_until(worker) > self.now() or self.is_cut("unreachable_inbound", worker.name):
                await asyncio.Event().wait()
            return response.status, cbor2.loads(response.body) if response.body else {}

    def deliver_late_heartbeat(self, name, body):
        if name in self.nodes and self.nodes[name].alive:
            self.spawn(self.nodes[name].answer(Request("POST", "/checkin", body)))

    async def _send(self, name, request):
        sim = self.nodes.get(name)
        if sim is None or not sim.alive:
            raise ConnectionError("no process")
        # a handler goes on when its user has given up
        response = await asyncio.shield(self.spawn(sim.answer(request)))
        if not sim.alive:
            raise ConnectionError("process ended")
        return response

    async def request(self, method, path, body=b"", timeout=2.0, node=None):
        """A user's request through the load balancer; status 0 when nothing came back."""
        up = [name for name, sim in self.nodes.items() if sim.alive]
        if not up:
            return 0, {}
        try:
            async with asyncio.timeout(timeout):
                response = await self._send(node or self.rng.choice(up), Request(method, path, body))
        except (TimeoutError, ConnectionError):
            return 0, {}
        return response.status, cbor2.loads(response.body) if response.body else {}
