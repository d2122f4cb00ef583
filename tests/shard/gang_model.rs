//! Model of gangs as the workers treat them: the members work while all are there, end together, and resume from one
//! checkpoint.

use std::collections::BTreeMap;
use std::sync::Arc;

use jayfork::connection::StartOrder;
use jayfork::request::job::{Ending, StepId, StepSpec, TaskKey};

use super::fleet::Fleet;

/// Time that a member waits for the others, in milliseconds.
const GANG_TIME: u64 = 3_000;
/// Work between two checkpoints, in milliseconds.
const SAVE_TIME: u64 = 1_000;

/// One run of a gang.
pub struct Gang {
    count: usize,
    first_start: u64,
    /// When all members were there.
    complete_since: Option<u64>,
    checkpoint: Option<Arc<str>>,
}

/// The runs of all gangs, by step and number of the run.
pub type Gangs = BTreeMap<(StepId, u64), Gang>;

/// The checkpoint of a member after a time of work; each member has another one.
fn saved(task: TaskKey, run: u64, worked: u64) -> Arc<str> {
    format!("{task}/{run}/{worked}").into()
}

impl Fleet {
    /// Notes the start of a member, and reports a violation if it resumes from another checkpoint than the others.
    pub fn note_member(&mut self, now: u64, start: &StartOrder, step: &StepSpec) {
        if !step.gang {
            return;
        }
        let gang = self.gangs.entry((start.task.step, start.run));
        let gang = gang.or_insert_with(|| Gang {
            count: usize::from(step.count),
            first_start: now,
            complete_since: None,
            checkpoint: start.checkpoint.clone(),
        });
        if gang.checkpoint != start.checkpoint {
            let text = format!("{:?} and {:?} in a gang", gang.checkpoint, start.checkpoint);
            self.report_violation(start.task, text);
        }
    }

    /// Ends the members of gangs that have lost one, have one that is done, or wait for too long.
    pub fn advance_gangs(&mut self, now: u64) {
        let mut gangs = std::mem::take(&mut self.gangs);
        gangs.retain(|(step, run), gang| {
            let members: Vec<(usize, TaskKey)> = self.members(*step, *run);
            let is_done = self.done.iter().any(|task| task.step == *step);
            let is_whole = members.len() == gang.count;
            if is_whole {
                gang.complete_since.get_or_insert(now);
            }
            let ending = match gang.complete_since {
                Some(_) if is_done => Ending::Done,
                Some(since) if is_whole => {
                    self.save_members(&members, *run, now - since);
                    return true;
                }
                Some(_) => Ending::GangBroken,
                None if now < gang.first_start + GANG_TIME => return true,
                None => Ending::GangIncomplete,
            };
            let worked = gang.complete_since.map(|since| now - since);
            for (worker, task) in members {
                if ending == Ending::Done {
                    self.done.insert(task);
                }
                if ending == Ending::GangIncomplete {
                    self.alone += 1;
                }
                let worker = &mut self.workers[worker];
                let member = worker.runs.get_mut(&task).expect("a member");
                if let (true, Some(worked)) = (member.saves, worked) {
                    member.checkpoint = Some(saved(task, *run, worked));
                }
                worker.end(task, ending);
            }
            false
        });
        self.gangs = gangs;
    }

    /// Whether all gangs at work have resumed from a checkpoint.
    pub fn have_resumed(&self) -> bool {
        self.gangs.values().all(|gang| gang.checkpoint.is_some())
    }

    /// The members that run, with their workers.
    fn members(&self, step: StepId, run: u64) -> Vec<(usize, TaskKey)> {
        let workers = self.workers.iter().enumerate();
        let runs = workers.flat_map(|(index, worker)| {
            let runs = worker.runs.iter();
            let members = runs.filter(|(task, known)| task.step == step && known.run == run);
            members.map(move |(task, _)| (index, *task))
        });
        runs.collect()
    }

    fn save_members(&mut self, members: &[(usize, TaskKey)], run: u64, worked: u64) {
        let worked = worked / SAVE_TIME * SAVE_TIME;
        for (worker, task) in members.iter().filter(|_| worked > 0) {
            let member = self.workers[*worker].runs.get_mut(task);
            if let Some(member) = member.filter(|member| member.saves) {
                member.checkpoint = Some(saved(*task, run, worked));
            }
        }
    }
}
