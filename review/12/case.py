"""One of eight minions crashes again and again; a standing job that had a task there is given up."""

import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-3"))
import lab  # noqa: E402

JOB = "5c0e7a21d94b36f8"
# The minion is down and up by turns, whatever it runs.
DOWN_S = 1.0
UP_S = 1.0
CRASHES = 6
# Time in which nothing else happens, before the job is asked for.
CALM_S = 10


def starts(env):
    return [event for event in env.read_events() if event["event"] == "start"]


def scenario(env, trouble):
    body = {"spec": '{"lasts":true}', "steps": [{"count": 1, "cpu": 500, "memMb": 256, "longRunning": True}]}
    if env.submit(JOB, body)[-1] != 200:
        raise lab.CannotRun("the job was not accepted")
    env.wait_for("the first start", lambda: starts(env), 20)
    minion = starts(env)[0]["minion"]
    # The first crash comes soon after the start, as if this machine didn't bear the load.
    time.sleep(0.5)
    for _ in range(CRASHES):
        if trouble:
            env.say(f"minion {minion} crashes; it is back after {DOWN_S} s")
            env.signal(minion, signal.SIGKILL)
        time.sleep(DOWN_S)
        if trouble:
            env.start_minion(minion)
        time.sleep(UP_S)
    time.sleep(CALM_S)
    states = [env.state(JOB, host) for host in env.hosts]
    env.say_events(JOB)
    ends = [event for event in env.read_events() if event["event"] == "end"]
    env.say(f"states: {states}; ends `failed` that minions have listed: {sum(end['how'] == 'failed' for end in ends)}")
    return "failed" not in states


if __name__ == "__main__":
    sys.exit(lab.run(HERE, scenario))
