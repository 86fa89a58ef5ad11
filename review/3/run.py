"""One job that can never be done comes among jobs that can."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
sys.dont_write_bytecode = True
from standin import job, play

JOBS = 30
#: The job that can never be done: each task needs more cores than any worker has.
TASKS, TASK_CPU = 1_000_000, 200_000
FINISH_S = 14


async def scenario(case):
    await case.start_all(workers=8, capacity={"cpu": 128000, "memMb": 262144, "gpu": 8})
    case.background.append(asyncio.ensure_future(case.supervise()))
    draw = random.Random()
    ids = []
    for number in range(JOBS):
        if number == 5 and case.trouble:
            hopeless = f"{draw.getrandbits(64):016x}"
            accepted = await case.submit(hopeless, job(2000, cpu=TASK_CPU, count=TASKS))
            case.note("the job that can never be done", id=hopeless, accepted=accepted)
        id = f"{draw.getrandbits(64):016x}"
        if await case.submit(id, job(1000, cpu=4000, count=3)):
            ids.append(id)
        await asyncio.sleep(0.5)
    await asyncio.sleep(FINISH_S)
    running = sum(len(worker.running) for worker in case.workers)
    case.note("at the end", accepted=len(ids), running=running, ended_by_themselves=case.exits)
    for id in ids:
        state = await case.state(id)
        started = [task for task in case.starts if task.startswith(id)]
        case.note("shown", id=id, state=state, started_tasks=len(started))
        if not started and running == 0:
            case.breaks("LOST", f"{id} was accepted; {FINISH_S} s after the end of the traffic none "
                        f"of its tasks has started, and no worker runs anything; it is shown as "
                        f"{state}; processes ended by themselves {case.exits} times")


play(__file__, scenario)
