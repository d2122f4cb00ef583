//! Filling tasks beside serving tasks: learns their contention and orders their pace.

use super::shard::{Now, Shard, ShardAction, WorkerTag};
use super::worker::{RunState, Worker};
use crate::base::{Millis, Name};
use crate::connection::{Order, WorkerCall};
use crate::request::job::{OVER_BOUND_SHARE, TaskKey};

/// Longest time for an order of pace, in milliseconds.
const PACE_TIME: Millis = Millis(800);
/// Shortest time between two reports that are learned from, in milliseconds; the figures are means
/// over half a second.
const LEARN_TIME: Millis = Millis(250);
/// Time after which all filling tasks beside a serving task that stays over its bound are halted,
/// in milliseconds; well below the shortest time that counts as harm, 4 s.
const HALT_TIME: Millis = Millis(1_500);
/// Paces are ordered in steps of this many percent, so that small changes cause no orders.
const PACE_STEP: u8 = 10;

impl Shard {
    /// Learns from a worker's report and orders the pace of the tasks that fill it.
    pub(super) fn pace(&mut self, now: Now, worker_id: &Name, out: &mut Vec<ShardAction>) {
        let epoch = self.owner.epoch;
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        let serving = worker.serving();
        let filling = worker.filling();
        let is_due = now.steady.since(worker.learned) >= LEARN_TIME;
        if is_due {
            for task in &serving {
                self.contention.observe(now.steady, task, &filling);
            }
        }
        let is_over =
            !filling.is_empty() && serving.iter().any(|task| task.tail >= OVER_BOUND_SHARE);
        let paces = self.contention.speed_limits(now.steady, &serving, &filling);
        let paces: Vec<(Option<Name>, u8)> = filling
            .iter()
            .zip(paces)
            .map(|(other, pace)| (other.image.clone(), percent(pace)))
            .collect();
        if is_due {
            worker.learned = now.steady;
        }
        worker.margins = self.contention.headroom(now.steady, &serving, &filling);
        worker.harmed = match is_over {
            true => worker.harmed.or(Some(now.steady)),
            false => None,
        };
        let halts = worker
            .harmed
            .is_some_and(|since| now.steady.since(since) >= HALT_TIME);
        let mut orders: Vec<(TaskKey, u64, u8)> = Vec::new();
        for (task, run) in &mut worker.runs {
            if !run.fills || !matches!(run.state, RunState::Active { .. }) {
                continue;
            }
            let wanted = match halts {
                true => 0,
                false => paces
                    .iter()
                    .find(|(image, _)| *image == run.image)
                    .map_or(100, |(_, pace)| *pace),
            };
            run.halted = match wanted {
                0 => run.halted.or(Some(now.steady)),
                _ => None,
            };
            if run.pace != wanted {
                run.pace = wanted;
                orders.push((*task, run.run, wanted));
            }
        }
        for (task, run, percent) in orders {
            out.push(pace_order(worker, epoch, task, run, percent));
        }
    }
}

fn percent(pace: f64) -> u8 {
    let steps = (pace * 100.0 / f64::from(PACE_STEP)).floor() as u8;
    steps * PACE_STEP
}

fn pace_order(worker: &Worker, epoch: u64, task: TaskKey, run: u64, percent: u8) -> ShardAction {
    let tag = WorkerTag::Pace {
        worker: worker.id.clone(),
        task,
        percent,
    };
    let call = WorkerCall {
        worker: worker.id.clone(),
        address: worker.address,
        epoch,
        order: Order::Pace { task, run, percent },
        timeout: PACE_TIME,
    };
    ShardAction::Worker(tag, call)
}
