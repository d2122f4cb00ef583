"""A minion that drains is cut off, with connections refused, and runs on."""

import asyncio
import os
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import sim

MINIONS = 6
TASK_S = 14.0
CUT_S = 5.5
# How long the minion stays after its report `draining`.
STAY_S = 14.0


async def case(world):
    for index in range(MINIONS):
        await world.add_minion(f"i-{index + 1}", lambda task, run: TASK_S)
    await world.open()
    step = {"count": 6, "cpu": 1800, "memMb": 3200, "estRuntimeMs": 14000}
    jobs = [await world.submit("merge", [step]) for _ in range(4)]
    await world.wait_until(lambda: sum(len(m.runs) for m in world.minions) == 24, 10,
                           "the tasks do not start")
    await asyncio.sleep(1.0)
    minion = max(world.minions, key=lambda other: len(other.runs))
    world.record(f"{minion.id} reports that it drains, with {len(minion.runs)} runs")
    minion.state = "draining"
    minion.write_entry()
    await asyncio.sleep(1.0)
    # 1.2 s after a write to the store; the next one would come 0.3 s later.
    await world.wait_until(lambda: time.monotonic() - minion.written >= 1.2, 3, "no write")
    if sim.TROUBLE:
        world.record(f"{minion.id} is cut off; connections are refused")
        minion.cut_off("refuse")
    await asyncio.sleep(CUT_S)
    if sim.TROUBLE:
        world.record(f"{minion.id} can be reached again")
        await minion.heal()
    await asyncio.sleep(STAY_S - CUT_S - 2.0)
    world.record(f"{minion.id} leaves")
    minion.leave()
    for job in jobs:
        for _ in range(60):
            if await world.state("merge", job) == "completed":
                break
            await asyncio.sleep(0.5)
    broken = sim.overlapping(world)
    for task, run, on, since, later, other, at in broken[:5]:
        world.record.say(f"{task}: run {run} on {on} since {since:.2f} s, still there when run {later} "
                         f"started on {other} at {at:.2f} s")
    world.record.say(f"{len(broken)} starts of a task while another run of it was at work on a "
                     "minion that was up")
    return not broken


sim.main(case, __file__)
