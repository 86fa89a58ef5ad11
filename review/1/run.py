"""Many short tasks end on one worker while the store is down."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
sys.dont_write_bytecode = True
from standin import CannotRun, job, play

#: Tasks of a tenth of a core, so that a worker of 128 cores runs 1,280 at a time.
JOBS, TASKS, TASK_CPU, TASK_MS = 18, 50, 100, 9000
DOWN_S = 4.5


async def scenario(case):
    await case.start_all(workers=1, capacity={"cpu": 128000, "memMb": 262144, "gpu": 8})
    draw = random.Random()
    ids = [f"{draw.getrandbits(64):016x}" for _ in range(JOBS)]
    for id in ids:
        if not await case.submit(id, job(TASK_MS, cpu=TASK_CPU, count=TASKS)):
            raise CannotRun("a job is not accepted")
        await asyncio.sleep(0.2)
    while len(case.starts) < JOBS * TASKS:
        if case.now() > 30:
            raise CannotRun(f"only {len(case.starts)} tasks have started")
        await asyncio.sleep(0.05)
    case.note("all tasks run", count=len(case.starts))
    # The outage begins with the first ends.
    while not case.ends:
        await asyncio.sleep(0.02)
    if case.trouble:
        case.store.down = True
        case.note("store down")
    await asyncio.sleep(DOWN_S)
    case.store.down = False
    case.note("store up", ended=len(case.ends))
    await asyncio.sleep(20)
    for id in ids:
        case.note("shown", id=id, state=await case.state(id))
    count = 0
    for task, runs in case.starts.items():
        done, noted = case.ended_at.get(task), case.noted.get(task)
        for worker, run, at in runs[1:]:
            if done is not None and noted is not None and at > done:
                count += 1
                if count <= 20:
                    case.breaks("TWICE", f"{task} ended done at {done:.3f} and was started again as "
                                f"run {run} at {at:.3f}; the end was taken note of at {noted:.3f}")
    case.note("tasks started after they had ended done", count=count)


play(__file__, scenario)
