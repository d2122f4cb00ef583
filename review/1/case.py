"""560 small tasks of one job run on one minion and end within 3 s, while the store is down."""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import sim

TASKS = 560
# The first runs end from END_S to END_S + SPREAD_S after the job was accepted.
END_S, SPREAD_S = 24.0, 3.0
OUTAGE_S = 4.2


async def case(world):
    seen = set()

    def seconds(task, run):
        if task in seen:
            return 1.0
        seen.add(task)
        index = int(task.rsplit(".", 1)[1])
        return world.accepted + END_S + SPREAD_S * index / TASKS - world.record.now()

    # Only one minion is of the kind that the job needs.
    minion = await world.add_minion("i-1", seconds, labels=("b", "r1-1"))
    for name in ("i-2", "i-3", "i-4"):
        await world.add_minion(name, seconds)
    await world.open()
    world.accepted = world.record.now()
    step = {"count": TASKS, "cpu": 20, "memMb": 20, "estRuntimeMs": 24000, "requiredLabel": "b"}
    job = await world.submit("merge", [step])
    await world.wait_until(lambda: len(minion.runs) == TASKS, 22, "the tasks start too slowly")
    await asyncio.sleep(world.accepted + END_S - 0.5 - world.record.now())
    if sim.TROUBLE:
        world.record("the store is down")
        world.store.mode = "reset"
    await asyncio.sleep(OUTAGE_S)
    world.store.mode = "ok"
    world.record("the store is up")
    for _ in range(40):
        await asyncio.sleep(0.5)
        if await world.state("merge", job) == "completed":
            break
    broken = sim.started_after_done(world)
    for task, run, at_minion, at, done_at, on, done_run in broken[:5]:
        world.record.say(f"{task}: run {done_run} ended done on {on} at {done_at:.2f} s, run {run} "
                         f"started on {at_minion} at {at:.2f} s")
    done = len({entry[3] for entry in world.log_runs if entry[1] == "done"})
    world.record.say(f"{done} tasks done; {len(broken)} starts after a run of the task had ended "
                     "done and the end was taken note of")
    return not broken


sim.main(case, __file__)
