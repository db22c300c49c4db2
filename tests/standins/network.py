"""The simulated network between workers, users and controllers: delays, partitions, late and duplicate messages."""

import asyncio

import cbor2

from passrock.io.http_server import Request


class SimulatedNetwork:
    """The part of the simulated cluster that carries requests.

    ``network_faults`` holds (kind, name, until), where ``name`` depends on the kind:

    * ``peers``: a controller without links to its peers, or ``all``
    * ``machine``: a machine without any connection; heartbeats that it sends meanwhile arrive later
    * ``zone``: a zone between which and the other zones no heartbeat passes
    * ``workers``: a controller that no worker reaches
    * ``worker_link``: a pair of worker and controller between which no heartbeat passes
    * ``unreachable_inbound``: a machine whose heartbeats leave while nothing reaches it
    * ``unreachable_outbound``: a machine that opens no connection
    * ``slow_answer``: a machine to which answers arrive seconds late
    """

    def peers_partitioned(self, node, other):
        return any(
            kind == "peers" and until > self.now() and name in (node, other, "all")
            for kind, name, until in self.network_faults
        )

    def partitioned_until(self, worker):
        ends = [until for kind, name, until in self.network_faults if kind == "machine" and name == worker.name]
        return max(ends, default=0.0)

    def has_network_fault(self, kind, name):
        """Whether a fault of this kind is in force for a machine, zone or link."""
        return any(
            active_kind == kind and target == name and until > self.now()
            for active_kind, target, until in self.network_faults
        )

    async def send_heartbeat(self, worker, name, body, timeout):
        """Send a worker's heartbeat to a controller and return the status and body of the answer."""
        async with asyncio.timeout(timeout):
            await asyncio.sleep(self.rng.uniform(0.001, 0.01))
            if self.has_network_fault("zone", worker.zone) != self.has_network_fault("zone", self.nodes[name].zone):
                await asyncio.Event().wait()  # one of the two is in a zone that is partitioned from the others
            if self.has_network_fault("unreachable_outbound", worker.name):
                raise ConnectionError(f"{worker.name} can't open connections")
            if any(
                kind == "workers" and target == name and end > self.now() for kind, target, end in self.network_faults
            ):
                await asyncio.Event().wait()  # this node is unreachable from all workers
            if self.has_network_fault("worker_link", (worker.name, name)):
                await asyncio.Event().wait()  # only this worker can't reach this node
            until = self.partitioned_until(worker)
            if until > self.now():  # delayed, and delivered after the worker's request has timed out
                asyncio.get_running_loop().call_at(
                    until + self.rng.uniform(0, 1), self.deliver_late_heartbeat, name, body
                )
                await asyncio.Event().wait()
            if self.duplicate_share and self.rng.random() < self.duplicate_share:
                # a duplicate arrives half a second to almost four leases later, perhaps at another node or process
                delay = self.rng.choice([1.0, 5.0, 2.5 * self.limits["lease_s"]]) * self.rng.uniform(0.5, 1.5)
                target = self.rng.choice([name, *self.nodes])
                asyncio.get_running_loop().call_later(delay, self.deliver_late_heartbeat, target, body)
            response = await self._send(name, Request("POST", "/checkin", body))
            await asyncio.sleep(self.rng.uniform(0.001, 0.01))
            if self.has_network_fault("slow_answer", worker.name):
                await asyncio.sleep(self.rng.uniform(2.0, 3.8))
            if self.partitioned_until(worker) > self.now() or self.has_network_fault(
                "unreachable_inbound", worker.name
            ):
                await asyncio.Event().wait()
            return response.status, cbor2.loads(response.body) if response.body else {}

    def on_answer_accepted(self, worker, answer):
        """Let copies of a share of the accepted answers reach their workers again, up to three leases later."""
        if self.repeated_answer_share and self.rng.random() < self.repeated_answer_share:
            delay = self.rng.choice([0.4, 1.5, 2.5, 2.0 * self.limits["lease_s"]]) * self.rng.uniform(0.5, 1.5)
            asyncio.get_running_loop().call_later(delay, worker.receive_copy, answer)

    def repeat_some(self, deliver, *arguments):
        """Call ``deliver`` up to half a minute later, for the share of requests that arrive once more."""
        if self.repeated_request_share and self.rng.random() < self.repeated_request_share:
            delay = self.rng.choice([0.5, 3.0, 20.0]) * self.rng.uniform(0.5, 1.5)
            asyncio.get_running_loop().call_later(delay, deliver, *arguments)

    def deliver_late_heartbeat(self, name, body):
        if name in self.nodes and self.nodes[name].alive:
            self.spawn(self.nodes[name].answer(Request("POST", "/checkin", body)))

    async def _send(self, name, request):
        controller = self.nodes.get(name)
        if controller is None or not controller.alive:
            raise ConnectionError(f"no process of {name} is running")
        # the handler continues after the user's request has timed out
        response = await asyncio.shield(self.spawn(controller.answer(request)))
        if not controller.alive:
            raise ConnectionError(f"the process of {name} ended before the answer")
        return response

    async def request(self, method, path, body=b"", timeout=2.0, node=None):
        """Send a user's request through the load balancer; the status is 0 when no answer came."""
        alive = [name for name, controller in self.nodes.items() if controller.alive]
        if not alive:
            return 0, {}
        try:
            async with asyncio.timeout(timeout):
                response = await self._send(node or self.rng.choice(alive), Request(method, path, body))
        except (TimeoutError, ConnectionError):
            return 0, {}
        if method == "POST" and self.repeated_request_share and self.rng.random() < self.repeated_request_share:
            self.spawn(self._request_again(Request(method, path, body)))
        return response.status, cbor2.loads(response.body) if response.body else {}

    async def _request_again(self, request):
        """Deliver copies of a user's request that was answered, at any controllers; nobody hears the answers."""
        for longest_delay_s in (1.0, 10.0, 60.0):
            await asyncio.sleep(self.rng.uniform(0.0, longest_delay_s))
            alive = [name for name, controller in self.nodes.items() if controller.alive]
            if alive:
                self.spawn(self.nodes[self.rng.choice(alive)].answer(request))
