"""Stand-ins for the review scripts: the platform's store, workers, clients, and the harness that
starts the project's own program as separate processes. Python's standard library only."""

import asyncio
import base64
import json
import os
import random
import re
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "basilrackd")
TEMPLATE = os.path.join(ROOT, "deploy", "settings.jsonc")

#: Returned by a handler instead of an answer: the connection stays open and silent.
SILENT = object()

#: Largest value that the store takes.
VALUE_BYTES = 1048576
#: Memory of a process of the system; one that exceeds it does not go on.
MEMORY_BYTES = 260 << 20
#: Bounds of the site gt-basilrack that the settings template uses.
BOUNDS = {"configApplyMs": 3000, "graceS": 6, "holdMaxMs": 6000, "stopTimeoutMs": 200,
          "status_s": 120}


class CannotRun(Exception):
    """The case could not run; says nothing about the rule."""


async def read_message(reader):
    """Reads one HTTP/1.1 message; returns the first line, the headers and the body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


class Server:
    """HTTP/1.1 server whose `handle` returns (status, value), or SILENT."""

    def __init__(self):
        self.server = None
        self.writers = set()
        self.port = 0

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ")
                answer = await self.handle(method, target, headers, body)
                if answer is SILENT:
                    await asyncio.sleep(3600)
                status, value = answer
                data = b"" if value is None else json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def break_connections(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def close(self):
        if self.server:
            self.server.close()
        self.break_connections()


class Store(Server):
    """The platform's store: items with revisions, leases, watches, transactions."""

    def __init__(self, answer_s=0.004):
        super().__init__()
        self.answer_s = answer_s
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.last_lease = 1000
        self.changed = asyncio.Event()
        #: While it is down, it answers each call with 503, and leases pause.
        self.down = False
        #: Called with the body of each transaction; returns None, or the seconds after which the
        #: transaction is carried out without an answer.
        self.lose_write = None
        #: Called after each transaction with its body and the status of the answer.
        self.observe = None

    def put(self, key, value):
        """Writes as the operator or a worker does."""
        self.revision += 1
        self._write(key, base64.b64encode(json.dumps(value).encode()).decode(), 0)
        self._wake()

    def remove(self, key):
        self.revision += 1
        self._remove(key)
        self._wake()

    def value(self, key):
        item = self.items.get(key)
        return None if item is None else base64.b64decode(item["value"])

    def _wake(self):
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def _write(self, key, value, lease):
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": value, "revision": self.revision, "created": created,
                "lease": lease}
        self.items[key] = item
        self.history.append((self.revision, key, item))

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            gone = {"key": key, "revision": self.revision, "removed": True}
            self.history.append((self.revision, key, gone))

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._remove(key)
            self._wake()

    async def expire(self):
        """Ends the leases that have run out, for as long as the store runs."""
        last = time.monotonic()
        while True:
            now = time.monotonic()
            if self.down:
                self.leases = {lease: (ttl, end + now - last)
                               for lease, (ttl, end) in self.leases.items()}
            last = now
            for lease in [l for l, (_, end) in self.leases.items() if end <= now]:
                self._end_lease(lease)
            await asyncio.sleep(0.01)

    def transact(self, body):
        conditions, writes = body.get("precondition", []), body.get("writes", [])
        deletes = body.get("deletes", [])
        if len(conditions) + len(writes) + len(deletes) > 32:
            return 400, None
        if any(len(row["value"]) * 3 // 4 > VALUE_BYTES for row in writes):
            return 400, None
        current = lambda key: self.items[key]["revision"] if key in self.items else 0
        if any(row["revision"] != current(row["key"]) for row in conditions):
            held = [self.items[row["key"]] for row in conditions if row["key"] in self.items]
            return 412, {"items": held}
        if any(row.get("lease") and row["lease"] not in self.leases for row in writes):
            return 404, None
        keys = [row["key"] for row in writes] + deletes
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, None
        self.revision += 1
        for row in writes:
            self._write(row["key"], row["value"], row.get("lease") or 0)
        for key in deletes:
            self._remove(key)
        self._wake()
        return 200, {"revision": self.revision}

    async def _carry_out_later(self, body, delay):
        await asyncio.sleep(delay)
        status, _ = self.transact(body)
        if self.observe:
            self.observe(body, f"{status} late")

    async def handle(self, method, target, headers, body):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        path = url.path
        if self.down:
            await asyncio.sleep(self.answer_s)
            return 503, None
        if path == "/-/kv-txn":
            parsed = json.loads(body)
            delay = self.lose_write(parsed) if self.lose_write else None
            if delay is not None:
                asyncio.ensure_future(self._carry_out_later(parsed, delay))
                return SILENT
            await asyncio.sleep(self.answer_s)
            answer = self.transact(parsed)
            if self.observe:
                self.observe(parsed, answer[0])
            return answer
        await asyncio.sleep(self.answer_s)
        if path == "/-/kv-key":
            item = self.items.get(query["key"])
            return (404, None) if item is None else (200, dict(item, storeRevision=self.revision))
        if path == "/-/kv-range":
            prefix, after = query["prefix"], query.get("after")
            keys = sorted(key for key in self.items
                          if key.startswith(prefix) and (after is None or key > after))
            page = [self.items[key] for key in keys[:500]]
            return 200, {"items": page, "hasMore": len(keys) > 500, "storeRevision": self.revision}
        if path == "/-/kv-watch":
            prefix, after = query["prefix"], int(query["after"])
            end = time.monotonic() + int(query["waitMs"]) / 1000
            while True:
                if self.down:
                    return 503, None
                events = [event for revision, key, event in self.history
                          if revision > after and key.startswith(prefix)]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "storeRevision": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/-/kv-lease":
            ttl = max(1000, int(json.loads(body)["ttlMs"]))
            self.last_lease += 1
            self.leases[self.last_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.last_lease, "ttlMs": ttl}
        if path.startswith("/-/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, None
            ttl, _ = self.leases[lease]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttlMs": ttl}
        if path.startswith("/-/kv-lease-end/"):
            self._end_lease(int(path.rsplit("/", 1)[1]))
            return 200, None
        return 404, None


class Worker(Server):
    """One worker. A task's duration in ms is what its job's `spec` says after `ms=`."""

    def __init__(self, case, number, capacity, zone="zemgale-a", kind="a", id=None):
        super().__init__()
        self.case, self.number, self.zone = case, number, zone
        self.id = id or f"i-{number:04x}"
        self.capacity, self.kind = dict(capacity), kind
        self.running = {}
        self.tasks = []
        self.alive = False

    async def start(self, port=0):
        """Begins a lifetime: it holds and knows nothing of an earlier one."""
        self.born = int(time.time() * 1000)
        self.origin = time.monotonic()
        self.token = self.deadline = self.ends_count = self.sequence = 0
        self.running, self.highest, self.finished = {}, {}, []
        self.ended = asyncio.Event()
        self.alive = True
        await self.listen(port)
        self.tasks = [asyncio.ensure_future(self.beat()), asyncio.ensure_future(self.lapse())]

    async def crash(self):
        """Ends the lifetime: everything that runs is lost and nothing is sent any more."""
        port = self.port
        self.alive = False
        for task in self.tasks:
            task.cancel()
        for name, run in self.running.items():
            run["timer"].cancel()
            self.case.note("run lost", worker=self.id, task=name, run=run["run"])
        self.running = {}
        await self.close()
        return port

    def clock(self):
        return int((time.monotonic() - self.origin) * 1000)

    async def beat(self):
        while True:
            self.sequence += 1
            self.case.store.put(f"servers/{self.id}", {
                "service": "ticket-hub", "address": self.address, "zone": self.zone,
                "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
                "capacity": self.capacity, "labels": [self.kind, f"r1-{self.number // 8}"],
                "clockMs": self.clock(), "sequence": self.sequence, "born": self.born})
            await asyncio.sleep(1.5)

    async def lapse(self):
        while True:
            if self.running and self.clock() > self.deadline:
                for name in list(self.running):
                    self.end(name, "lapsed")
            await asyncio.sleep(0.01)

    def end(self, name, how):
        run = self.running.pop(name)
        run["timer"].cancel()
        self.highest[name] = max(self.highest.get(name, 0), run["run"])
        self.ends_count += 1
        self.finished.append([self.ends_count, name, run["run"], how, ""])
        self.case.note("end", worker=self.id, task=name, run=run["run"], how=how)
        self.case.ends.append((name, how))
        if how == "done":
            self.case.ended_at[name] = self.case.now()
        event, self.ended = self.ended, asyncio.Event()
        event.set()

    def extend(self, body):
        if "deadlineMs" in body:
            most = self.clock() + self.case.bounds["holdMaxMs"]
            self.deadline = max(self.deadline, min(int(body["deadlineMs"]), most))

    def begin(self, body):
        """Carries out a start; returns the answer."""
        name, number = body["task"], int(body["run"])
        clock = {"clockMs": self.clock()}
        if int(body.get("fencingToken", 0)) < self.token:
            return 409, dict(clock, reason="fence")
        self.token = int(body.get("fencingToken", 0))
        if name in self.running and self.running[name]["run"] == number:
            self.extend(body)
            return 200, clock
        if number <= self.highest.get(name, 0) or name in self.running:
            self.extend(body)
            return 409, dict(clock, reason="old")
        if int(body["deadlineMs"]) <= self.clock():
            return 409, dict(clock, reason="late")
        self.extend(body)
        ms = int(re.search(r"ms=(\d+)", body["spec"]).group(1))
        timer = asyncio.get_event_loop().call_later(ms / 1000, self.end, name, "done")
        self.running[name] = {"run": number, "timer": timer, "at": time.monotonic(), "ms": ms,
                              "spec": body["spec"]}
        self.case.started(self, name, number)
        return 200, clock

    async def stop_run(self, name, number):
        await asyncio.sleep(0.05)
        if name in self.running and self.running[name]["run"] == number:
            self.end(name, "stopped")

    async def handle(self, method, target, headers, body):
        if headers.get("x-basilrack-expect-instance", self.id) != self.id:
            return 421, {"clockMs": self.clock()}
        body = json.loads(body) if body else {}
        if target == "/-/run-start":
            return self.begin(body)
        token = int(body.get("fencingToken", 0))
        if token < self.token:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.token = token
        if target == "/-/run-stop":
            name, number = body["task"], int(body["run"])
            if name in self.running and self.running[name]["run"] <= number:
                asyncio.ensure_future(self.stop_run(name, self.running[name]["run"]))
            self.highest[name] = max(self.highest.get(name, 0), number)
            return 200, {"clockMs": self.clock()}
        if target == "/-/hold":
            self.extend(body)
            seen = int(body.get("lastSeen", 0))
            for row in self.finished:
                if row[0] <= seen:
                    self.case.note("end acknowledged", worker=self.id, task=row[1], run=row[2],
                                   how=row[3])
                    self.case.acknowledged(row)
            self.finished = [row for row in self.finished if row[0] > seen]
            wait = int(body.get("waitMs", 0)) / 1000
            if wait and not self.finished:
                try:
                    await asyncio.wait_for(self.ended.wait(), wait)
                except asyncio.TimeoutError:
                    pass
            now = time.monotonic()
            rows = [[name, run["run"], "", min(99, int((now - run["at"]) * 1e5 / run["ms"])), 0]
                    for name, run in self.running.items()]
            return 200, {"clockMs": self.clock(), "born": self.born, "running": rows,
                         "finished": self.finished[:500]}
        return 404, None


class Vm:
    """One entry VM: the project's own program as a separate process."""

    def __init__(self, case, number, store_address):
        self.case, self.number, self.store_address = case, number, store_address
        self.name = f"front-zemgale-a-{number}"
        self.process = None
        self.configure()

    def configure(self):
        """Writes the settings, with ports that are free."""
        case = self.case
        self.front, self.ready, self.peers, self.metrics = (free_port() for _ in range(4))
        fields = {
            "nodeName": self.name, "zone": "zemgale-a", "region": "zemgale", "ip": "127.0.0.1",
            "listenAddrs.front": f"127.0.0.1:{self.front}",
            "listenAddrs.ready": f"127.0.0.1:{self.ready}",
            "internalPorts.0": self.peers, "internalPorts.1": self.metrics,
            "platform.address": self.store_address, "limits.cpuShare": 0.25,
            "limits.linkMbps": 1000.0,
        }
        fields.update({f"bounds.{name}": value for name, value in case.bounds.items()})
        with open(TEMPLATE) as file:
            text = re.sub(r"\{\{#advice\}\}.*?\{\{/advice\}\}", "", file.read())
        text = re.sub(r"\{\{([\w.]+)\}\}", lambda found: str(fields[found.group(1)]), text)
        self.settings = os.path.join(case.folder, f"{self.name}.jsonc")
        with open(self.settings, "w") as file:
            file.write(text)

    def start(self):
        log = open(os.path.join(self.case.folder, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen(
            [PROGRAM, "host", "--settings", self.settings], cwd=ROOT, stdin=subprocess.DEVNULL,
            stdout=log, stderr=log, env={"PATH": os.environ.get("PATH", ""),
                                         "HOME": self.case.folder,
                                         "BASILRACK_SETTINGS": self.settings},
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_DATA,
                                                  (MEMORY_BYTES, MEMORY_BYTES)))
        self.case.note("vm started", vm=self.name, pid=self.process.pid)

    def kill(self):
        self.case.note("vm killed (SIGKILL)", vm=self.name, pid=self.process.pid)
        self.process.kill()
        self.process.wait()


def free_port():
    with socket.socket() as found:
        found.bind(("127.0.0.1", 0))
        return found.getsockname()[1]


HOST = "queue.example"
KEY = "d4a3hwrr6x73d3zji9n7"
PREFIX = "/lot930/"


class Case:
    """Harness of one case: the stand-ins, the VMs, the record and the rules."""

    def __init__(self, where, vms=3, bounds=None, answer_s=0.004):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = open(os.path.join(where, "record.txt"), "w")
        self.origin = time.monotonic()
        self.bounds = dict(BOUNDS, **(bounds or {}))
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store(answer_s)
        self.count = vms
        self.vms, self.workers, self.background = [], [], []
        self.broken = []
        #: Ends `done` that were acknowledged, by task: time.
        self.noted = {}
        #: All ends: task, how.
        self.ends = []
        #: Number of processes of the system that ended by themselves, if supervised.
        self.exits = 0
        #: When a task ended `done`.
        self.ended_at = {}
        #: Runs per task: worker, run, time.
        self.starts = {}

    def now(self):
        return time.monotonic() - self.origin

    def note(self, what, **fields):
        rest = " ".join(f"{name}={value}" for name, value in fields.items())
        self.record.write(f"{self.now():9.3f} {what} {rest}\n")

    def breaks(self, rule, text):
        self.broken.append(rule)
        self.note(f"RULE BROKEN {rule}: {text}")

    # Hooks of the stand-ins.

    def acknowledged(self, row):
        if row[3] == "done":
            self.noted.setdefault(row[1], self.now())

    def started(self, worker, task, run):
        self.note("start", worker=worker.id, task=task, run=run)
        self.starts.setdefault(task, []).append((worker.id, run, self.now()))

    # Parts of a scenario.

    def configuration(self, version=7, routes=("r-lot", "r-sort")):
        prefixes = {"r-lot": PREFIX, "r-sort": "/sort418/"}
        return {
            "version": version,
            "routes": [{"name": name, "host": HOST, "prefix": prefixes[name],
                        "type": "non_idempotent", "timeoutMs": 3000, "targetDurationMs": 1500,
                        "priority": 1, "service": "ticket-hub", "maxAttempts": 4, "stretch": 3.0,
                        "public": False} for name in routes],
            "services": [{"name": "ticket-hub", "healthPath": "/health", "maxConnections": 64,
                          "protocol": "h1", "tls": False, "enforcesCapacity": False,
                          "spare": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": [{"name": "kaje80", "apiKeys": [KEY], "priority": 1,
                         "guaranteed": {"gpu": 4}}]}

    async def start_all(self, workers, capacity):
        if not os.path.exists(PROGRAM):
            raise CannotRun(f"{PROGRAM} is missing; run the build of the deploy file")
        await self.store.listen()
        self.background.append(asyncio.ensure_future(self.store.expire()))
        self.store.put("op/config", self.configuration())
        for number in range(workers):
            worker = Worker(self, number, capacity)
            self.workers.append(worker)
            await worker.start()
        self.vms = [Vm(self, number, self.store.address) for number in range(1, self.count + 1)]
        for vm in self.vms:
            vm.start()
        end = time.monotonic() + 15
        while True:
            for vm in self.vms:
                if vm.process.poll() is not None:
                    # Another program has taken one of its ports in the meantime.
                    vm.configure()
                    vm.start()
            states = [await self.http(vm.ready, "GET", "/-/readiness") for vm in self.vms]
            if all(status == 200 for status, _ in states) and self.owner():
                break
            if time.monotonic() > end:
                raise CannotRun(f"the VMs do not become ready: {states}")
            await asyncio.sleep(0.1)
        self.note("ready", owner=self.owner().name)
        await asyncio.sleep(2)

    def owner(self):
        """The VM that holds the owner's key in the store."""
        name = self.store.value("owner")
        return next((vm for vm in self.vms if name and vm.name == name.decode()), None)

    async def await_owner(self, other_than=None):
        """Waits until a VM, another one than that named, holds the owner's key."""
        end = time.monotonic() + 20
        while self.owner() in (None, other_than):
            if time.monotonic() > end:
                raise CannotRun("no VM takes the ownership over")
            await asyncio.sleep(0.02)
        return self.owner()

    async def http(self, port, method, path, body=None, wait_s=3.0, budget_s=None):
        """One call on a connection of its own; (None, b"") if no answer arrives in `wait_s`.

        A client that leaves early has stated a longer time, `budget_s`."""
        async def exchange():
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                data = b"" if body is None else json.dumps(body).encode()
                head = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Api-Key: {KEY}",
                        f"X-Basilrack-Deadline-Ms: {int((budget_s or wait_s) * 1000)}",
                        "Content-Type: application/json", f"Content-Length: {len(data)}"]
                writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + data)
                line, _, answer = await read_message(reader)
                return int(line.split(" ")[1]), answer
            finally:
                writer.close()
        try:
            return await asyncio.wait_for(exchange(), wait_s)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return None, b""

    async def call(self, vm, method, id, body=None, wait_s=3.0, budget_s=None, quiet=False):
        status, answer = await self.http(vm.front, method, PREFIX + id, body, wait_s, budget_s)
        if not quiet:
            self.note(f"client {method}", id=id, vm=vm.name, status=status,
                      body=answer.decode() or "-")
        return status, answer

    async def submit(self, id, job, attempts=5):
        """Hands a job in as a client does: again, at any VM, until it is accepted."""
        for _ in range(attempts):
            vm = random.choice([vm for vm in self.vms if vm.process.poll() is None])
            status, _ = await self.call(vm, "POST", id, job)
            if status == 200:
                return True
            await asyncio.sleep(0.3)
        return False

    async def state(self, id, vm=None):
        vm = vm or random.choice([vm for vm in self.vms if vm.process.poll() is None])
        status, answer = await self.call(vm, "GET", id, quiet=True)
        return json.loads(answer)["state"] if status == 200 else status

    async def supervise(self):
        """Starts processes again that end by themselves, as the platform does."""
        while True:
            for vm in self.vms:
                code = vm.process.poll()
                if code is not None:
                    self.exits += 1
                    self.note("vm ended by itself", vm=vm.name, code=code)
                    vm.start()
            await asyncio.sleep(0.5)

    async def end_all(self):
        for vm in self.vms:
            if vm.process and vm.process.poll() is None:
                vm.process.send_signal(signal.SIGCONT)
                vm.process.kill()
                vm.process.wait()
        for worker in self.workers:
            if worker.alive:
                for task in worker.tasks:
                    task.cancel()
                await worker.close()
        for task in self.background:
            task.cancel()
        await self.store.close()
        for worker in self.workers:
            for run in worker.running.values():
                run["timer"].cancel()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def job(ms, cpu=1000, count=1, **step):
    """A job of one step whose tasks take `ms` each."""
    return {"spec": f"ms={ms}", "steps": [dict({"count": count, "cpu": cpu, "memMb": 256,
                                                "estimateMs": ms}, **step)]}


def play(where, scenario, **settings):
    """Plays a scenario; exits with 1 if a rule was broken, 0 if all held, 2 if it could not run."""
    async def run():
        # An interrupted case ends its processes as well.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM,
                                                      asyncio.current_task().cancel)
        case = Case(os.path.dirname(os.path.abspath(where)), **settings)
        case.note("trouble" if case.trouble else "no trouble")
        try:
            await asyncio.wait_for(scenario(case), 112)
            code = 1 if case.broken else 0
        except (Exception, asyncio.CancelledError) as error:
            case.note(f"could not run: {error!r}")
            code = 2
        finally:
            await case.end_all()
        case.note("exit", code=code)
        case.record.close()
        return code
    sys.exit(asyncio.run(run()))
