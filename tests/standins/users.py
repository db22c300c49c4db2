"""Simulated users: the specs of their jobs, and how they submit, query and cancel them."""

import asyncio

import cbor2

from standins.deployment import TEAMS


class SimulatedUsers:
    """The part of the simulated cluster that acts for its users."""

    def job(self, number, **fields):
        """Return a job spec with default values, which ``fields`` override."""
        spec = {
            "ref": f"wk-{number:06d}",
            "shelfmark": "x",
            "desk": f"t{number % TEAMS}",
            "format": "batch",
            "precedence": "standard",
            "volumes": 1,
            "cores": 5.0,
            "cards": 1.0,
            "ramGb": 20.0,
            "edition": f"img-{number % 4}",
            "imageGb": 2.0,
            "bindings": None,
            "branch": None,
            "samePlace": False,
            "spread": False,
            "loaners": False,
            "loanS": 10.0,
            "bookmarkS": 0.0,
            "shelveS": 0.0,
            "dueS": None,
        }
        return {**spec, **fields}

    def random_job(self, number):
        """Return the spec of a random batch job, gang or service."""
        rng = self.rng
        kind = rng.choice(["batch", "batch", "group", "group", "service"])
        fields = {"format": kind, "loaners": kind != "service" and rng.random() < 0.6}
        if kind == "batch":
            fields.update(volumes=rng.randint(1, 5), bookmarkS=5.0, shelveS=2.0)
        elif kind == "group":
            fields.update(volumes=rng.choice([1, 2, 3]), samePlace=rng.random() < 0.7, precedence="high")
            fields.update(bookmarkS=5.0, shelveS=2.0, cards=rng.choice([1.0, 2.0]))
        else:
            spread = len(self.zones) > 1  # otherwise refused, as one zone may have half of the tasks only
            fields.update(volumes=rng.choice([1, 3]), spread=spread, precedence="prod", loanS=0.0)
        return self.job(number, **fields)

    def random_job_of_any_size(self, number, largest_gang):
        """Return the spec of a random job; gangs have up to ``largest_gang`` tasks that each need a whole machine."""
        rng = self.rng
        kind = rng.choice(["batch", "batch", "group", "service"])
        fields = {"format": kind, "branch": rng.choice([None, None, None, rng.choice(self.zones)])}
        fields["cards"] = rng.choice([0.0, 1.0, 2.0])
        if kind == "service":
            fields.update(volumes=rng.randint(1, 3), precedence="prod", loanS=0.0)
            fields["spread"] = rng.random() < 0.5 and fields["branch"] is None and len(self.zones) > 1
            return self.job(number, **fields)
        fields.update(loaners=rng.random() < 0.6, precedence=rng.choice(["standard", "high"]))
        fields.update(bookmarkS=5.0, shelveS=2.0, loanS=rng.uniform(10.0, 200.0))
        if kind == "batch":
            fields.update(volumes=rng.randint(1, 2 * largest_gang))
        else:
            fields.update(volumes=rng.randint(2, largest_gang), samePlace=rng.random() < 0.5, cards=2.0)
        return self.job(number, **fields)

    async def simulate_user(self, spec, run_s=8.0, cancel_after_s=None):
        """Submit a job, query it until it is done or cancelled, and then query it five more times."""
        job = spec["ref"]
        self.specs[job], self.run_times[job] = spec, run_s
        body = cbor2.dumps(spec)
        while True:
            sent_at = self.now()
            status, answer = await self.request("POST", "/v2/runs", body, 5.0)
            if status:
                self.checker.on_answer(job, sent_at, status, answer, submission=True)
            if status in (200, 201):
                break
            assert status not in (400, 422), (status, answer)
            await asyncio.sleep(1.0)
        accepted_at = self.now()
        while True:
            await asyncio.sleep(self.rng.uniform(1.0, 3.0))
            sent_at = self.now()
            self.checker.on_query(job)
            if cancel_after_s is not None and sent_at - accepted_at > cancel_after_s:
                self.checker.cancel_requested.add(job)
                status, answer = await self.request("POST", f"/v2/runs/{job}/withdraw", b"", 2.0)
            else:
                status, answer = await self.request("GET", f"/v2/runs/{job}", b"", 2.0)
            if status:
                self.checker.on_answer(job, sent_at, status, answer)
            if status in (200, 201) and answer["status"] in ("done", "cancelled"):
                break
        self.done_users += 1
        for _ in range(5):  # the final state must stay
            await asyncio.sleep(self.rng.uniform(5.0, 15.0))
            sent_at = self.now()
            status, answer = await self.request("GET", f"/v2/runs/{job}")
            if status:
                self.checker.on_answer(job, sent_at, status, answer)

    async def cancel(self, job, node=None):
        """Send one cancellation request; return whether the cancellation was confirmed."""
        self.checker.cancel_requested.add(job)
        sent_at = self.now()
        status, answer = await self.request("POST", f"/v2/runs/{job}/withdraw", node=node)
        if status:
            self.checker.on_answer(job, sent_at, status, answer)
        return status == 200 and answer["status"] == "cancelled"

    async def cancel_until_confirmed(self, job):
        """Repeat the cancellation request until the job is confirmed as cancelled or done."""
        while not await self.cancel(job) and self.checker.confirmed_states.get(job, (0, ""))[1] != "done":
            await asyncio.sleep(1.0)
