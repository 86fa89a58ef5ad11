"""Workers crash and start again, a fifth of them at a time; no task ever fails."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
sys.dont_write_bytecode = True
from standin import job, play

WORKERS = 10
#: Share of the workers that crash at a time: the default of the bench.
SHARE = 0.2
#: Time between crashes, and until a crashed worker starts again.
GAP_S, DOWN_S = 5.0, 1.0
ROUNDS = 10


async def scenario(case):
    await case.start_all(workers=WORKERS, capacity={"cpu": 128000, "memMb": 262144, "gpu": 8})
    draw = random.Random()
    ids = []

    async def restart(worker, port):
        await asyncio.sleep(DOWN_S)
        await worker.start(port)
        case.note("worker started again", worker=worker.id, born=worker.born)

    async def hand_in(id):
        if await case.submit(id, job(6500, cpu=11000, count=4)):
            ids.append(id)

    hands = []
    for _ in range(ROUNDS):
        for _ in range(int(2 * GAP_S)):
            hands.append(asyncio.ensure_future(hand_in(f"{draw.getrandbits(64):016x}")))
            await asyncio.sleep(0.5)
        if case.trouble:
            for worker in draw.sample(case.workers, int(WORKERS * SHARE)):
                case.note("worker crashes", worker=worker.id)
                asyncio.ensure_future(restart(worker, await worker.crash()))
    await asyncio.gather(*hands)
    await asyncio.sleep(20)
    for id in ids:
        state = await case.state(id)
        case.note("shown", id=id, state=state)
        failed = sum(how == "failed" for task, how in case.ends if task.startswith(id))
        if state == "failed":
            lost = [row for row in case.lost if row[0].startswith(id)]
            case.breaks("LOST", f"{id} is shown as failed with {failed} ends `failed` of its tasks "
                        f"(maxAttempts is 4); runs lost with their worker: {lost}")
    case.note("jobs", count=len(ids))


play(__file__, scenario)
