"""Completed jobs are removed after their retention; the owner is killed meanwhile."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
sys.dont_write_bytecode = True
from standin import CannotRun, job, play

JOBS = 400
#: The retention of the deployment, shortened so that it passes within the time of a script.
STATUS_S = 20
#: The owner is killed at most this often, once in each retention time.
KILLS = 3


async def scenario(case):
    def observe(body, status):
        if body["deletes"]:
            case.note("store: removal", status=status, deletes=len(body["deletes"]),
                      writes=len(body["writes"]), last=body["deletes"][-1])
    case.store.observe = observe
    await case.start_all(workers=8, capacity={"cpu": 128000, "memMb": 262144, "gpu": 8})
    # A timed job, due each 100 ms for the whole case: its record changes all the time.
    now = int(time.time() * 1000)
    timed = dict(job(50), firstRunMs=now + 1000, intervalMs=100, repeatCount=900)
    if not await case.submit("0000000000000001", timed):
        raise CannotRun("the timed job is not accepted")
    ids = [f"{number:016x}" for number in range(0x1000, 0x1000 + JOBS)]
    # Many users come at once. Tasks run for six seconds, so that all start before the first ends.
    gate = asyncio.Semaphore(25)
    async def hand_in(id):
        async with gate:
            return await case.submit(id, job(6000))
    accepted = await asyncio.gather(*(hand_in(id) for id in ids))
    if not all(accepted):
        raise CannotRun("not all jobs were accepted")
    completed = {}
    while len(completed) < JOBS:
        for id in ids:
            if id not in completed and await case.state(id) == "completed":
                completed[id] = case.now()
                case.note("shown as completed", id=id)
        if case.now() > 40:
            raise CannotRun(f"only {len(completed)} of {JOBS} jobs completed")
        await asyncio.sleep(0.2)
    before = {task: len(runs) for task, runs in case.starts.items()}
    case.note("all completed", count=JOBS)
    # An update of the owner's machine: SIGTERM, and a new start once the process has ended. Another
    # machine takes the ownership over.
    updated = case.owner()
    case.note("vm stopped (SIGTERM)", vm=updated.name)
    updated.process.terminate()
    while updated.process.poll() is None:
        await asyncio.sleep(0.05)
    await case.await_owner(other_than=updated)
    updated.start()
    case.note("ownership passed on", owner=case.owner().name)
    for _ in range(KILLS):
        # Wait until the first of the jobs that are still known is not known any more, then kill the
        # process that last wrote to the store under a condition.
        owner = await case.await_owner()
        other = next(vm for vm in case.vms if vm not in (owner, updated))
        known = [id for id in ids if await case.state(id, other) == "completed"]
        while await case.state(known[0], other) != 410:
            if case.now() > 100:
                raise CannotRun("completed jobs stay known")
            await asyncio.sleep(0.005)
        case.note("the first completed job is no longer known", id=known[0], of=len(known))
        if case.trouble:
            owner.kill()
            await asyncio.sleep(1)
            owner.start()
        await asyncio.sleep(8)
        for id in ids:
            task = f"{id}.0.0.0"
            again = case.starts[task][before[task]:]
            if again:
                worker, run, at = again[0]
                case.breaks("TWICE", f"{task} was started as run {run} on {worker} at {at:.3f}, "
                            f"after its end was taken note of at {case.noted.get(task, -1):.3f} and its "
                            f"job was shown as completed at {completed[id]:.3f}")
        if case.broken or not case.trouble:
            return


play(__file__, scenario, bounds={"status_s": STATUS_S})
