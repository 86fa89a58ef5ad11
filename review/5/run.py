"""Jobs whose clients leave and cancel them, while the store loses the answers of some writes."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
sys.dont_write_bytecode = True
from standin import job, play

#: Bounds of the site, in seconds.
CANCEL_S, CONTACT_S = 3.0, 4.0
#: The disruption as in the site file: share of the writes, length.
LOST_SHARE, LOST_S = 0.35, 4.5
#: Share of the clients that leave early and the time within which they do, as in the site file.
LEAVE_SHARE, LEAVE_S = 0.4, 0.9
#: Time budget of the site's clients.
BUDGET_S = 3.0
JOBS_PER_S = 30


async def scenario(case):
    await case.start_all(workers=8, capacity={"cpu": 128000, "memMb": 262144, "gpu": 8})
    draw = random.Random()
    cancelled = {}
    shown, ends = {}, []
    lost_until = 0.0

    def lose(body):
        if case.now() >= lost_until or draw.random() >= LOST_SHARE:
            return None
        delay = draw.uniform(1, 6)
        keys = " ".join(row["key"] for row in body["writes"])
        case.note("store: write unanswered", keys=keys, done_after_s=f"{delay:.3f}")
        return delay
    case.store.lose_write = lose

    async def client():
        id = f"{draw.getrandbits(64):016x}"
        if draw.random() >= LEAVE_SHARE:
            await case.submit(id, job(8000))
            return
        # It leaves early, without an answer if there is trouble. It no longer wants the job then,
        # and says so until that is acknowledged.
        leave = draw.uniform(LEAVE_S / 3, LEAVE_S) if case.trouble else BUDGET_S
        await case.call(draw.choice(case.vms), "POST", id, job(8000), wait_s=leave,
                        budget_s=BUDGET_S)
        for _ in range(10):
            status, _ = await case.call(draw.choice(case.vms), "DELETE", id)
            if status is not None and (200 <= status < 300 or status == 410):
                cancelled[id] = case.now()
                return
            await asyncio.sleep(0.3)

    clients = []
    for round in range(3):
        if case.trouble:
            lost_until = case.now() + LOST_S
            ends.append(lost_until)
            case.note("store: loses answers", share=LOST_SHARE, for_s=LOST_S)
        for _ in range(int(JOBS_PER_S * LOST_S)):
            clients.append(asyncio.ensure_future(client()))
            await asyncio.sleep(1 / JOBS_PER_S)
        await asyncio.sleep(12)
    await asyncio.gather(*clients)
    for id in cancelled:
        shown[id] = await case.state(id)
    case.note("cancels acknowledged", count=len(cancelled), jobs=len(clients))
    for id, at in cancelled.items():
        for worker, run, start in case.starts.get(f"{id}.0.0.0", []):
            calm = all(not end - LOST_S <= start < end + CONTACT_S for end in ends)
            if start > at + CANCEL_S:
                text = (f"{id}: cancelling acknowledged at {at:.3f}, started as run {run} on "
                        f"{worker} at {start:.3f}, shown as {shown[id]}")
                if calm:
                    case.breaks("UNASKED", text)
                else:
                    case.note(f"late start near the disruption, not counted: {text}")


play(__file__, scenario)
