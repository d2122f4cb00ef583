//! Requests of clients: submission, state and cancellation of jobs, and the length of the backlog.

use std::collections::BTreeSet;

use super::journal::Commit;
use super::shard::{Now, Phase, Reply, Request, Shard, ShardAction};
use crate::base::{Millis, Name};
use crate::process::telemetry;
use crate::request::job::{
    EndStatus, Job, JobId, JobSpec, OVERDUE_FACTOR, Outcome, StartPermit, objective,
};
use crate::version::{JobRecord, JobStateRecord, Queue, QueueRef, ShardRecord};

/// Seconds after which a client may try again while the store cannot be written to. Short outages
/// end within a few seconds.
const OUTAGE_RETRY: u32 = 1;
/// Seconds after which a client may submit a job again that a host with an earlier configuration has sent.
const CONFIG_RETRY: u32 = 1;
/// Seconds after which a client may submit a job again for which the owner has no memory. Others have to end first.
const MEMORY_RETRY: u32 = 2;
/// Most requests that are held while the records are loaded; further ones get `Unavailable`.
const MAX_HELD_REQUESTS: usize = 4_096;

/// An ended job whose outcome can still be queried.
#[derive(Debug, Clone)]
pub(super) struct Ended {
    /// Id of its queue.
    pub queue: Name,
    pub outcome: Outcome,
    /// Unix milliseconds.
    pub at: u64,
}

impl Shard {
    pub(super) fn handle_request(
        &mut self,
        now: Now,
        ticket: u64,
        request: Request,
        out: &mut Vec<ShardAction>,
    ) {
        if self.phase < Phase::Recovering {
            let memory = match &request {
                Request::Submit { spec, .. } => spec.memory(),
                _ => 0,
            };
            let has_room = self.held_memory + memory <= self.settings.job_memory;
            match has_room && self.held.len() < MAX_HELD_REQUESTS {
                true => {
                    self.held_memory += memory;
                    self.held.push((ticket, request));
                }
                false => out.push(ShardAction::Reply(ticket, Reply::Unavailable)),
            }
            return;
        }
        match request {
            // A repeated submission creates no second job.
            Request::Submit { job, queue, spec } => {
                if self.jobs.contains_key(&job) && !self.accepted.contains(&job) {
                    self.tickets.entry(job).or_default().push(ticket);
                    return;
                }
                if self.jobs.contains_key(&job) || self.ended.contains_key(&job) {
                    out.push(ShardAction::Reply(ticket, Reply::Accepted));
                    return;
                }
                if self.journal.is_failing(now.steady) {
                    let found = self.queues.find(&queue);
                    let lasting = found.and_then(|found| worth_time(&found.queue, &spec));
                    let retry_after = self.outage_retry(now, job, lasting);
                    out.push(ShardAction::Reply(ticket, Reply::Refused { retry_after }));
                    return;
                }
                if self.lacks_memory(&spec) {
                    telemetry::count_refusal("memory");
                    let (memory, open) = (spec.memory(), self.jobs.len());
                    tracing::info!(%job, memory, open, "submission refused: the open jobs take up the memory for them");
                    let retry_after = MEMORY_RETRY;
                    out.push(ShardAction::Reply(ticket, Reply::Refused { retry_after }));
                    return;
                }
                let Some(found) = self.queues.find(&queue) else {
                    // The client finds the newer configuration when it tries again.
                    telemetry::count_refusal("queue");
                    tracing::info!(%job, queue = %queue.name(), "submission refused: the configuration has no such queue");
                    let retry_after = CONFIG_RETRY;
                    out.push(ShardAction::Reply(ticket, Reply::Refused { retry_after }));
                    return;
                };
                let queue = found.queue.name.clone();
                let forecast = self.forecast(now, &found.queue, &spec);
                let (end, limit) = forecast.map(|it| (it.end, it.limit)).unzip();
                if let Some(retry_after) = forecast.and_then(|it| it.retry_after()) {
                    telemetry::count_refusal("backlog");
                    tracing::info!(%job, %queue, retry_after, end, limit, "submission refused: the job would end too late");
                    out.push(ShardAction::Reply(ticket, Reply::Refused { retry_after }));
                    return;
                }
                let (id, queue_record) = self.queues.assign(found);
                if let Some(record) = queue_record {
                    self.journal.push(&record, None);
                }
                tracing::info!(%job, %queue, %id, end, limit, "job accepted");
                let record = JobRecord {
                    queue: id.clone(),
                    accepted: now.wall,
                    spec: (*spec).clone(),
                };
                let record = ShardRecord::Job(job, Some(record));
                self.journal.push(&record, Some(Commit::Accepted(job)));
                let mut accepted = Job::new(job, id, spec, now.wall);
                if self.has_backlog() {
                    self.defer(&mut accepted);
                }
                self.note_accepted(&accepted);
                self.jobs.insert(job, accepted);
                self.tickets.entry(job).or_default().push(ticket);
            }
            Request::State { job, queue } => {
                let reply = self.reply_state(job, &queue);
                out.push(ShardAction::Reply(ticket, reply));
            }
            Request::Cancel { job, queue } => self.cancel_job(now, ticket, job, &queue, out),
            Request::Backlog { queue } => {
                let queues = self.queues.ids(&queue);
                let waiting = self
                    .accepted
                    .iter()
                    .filter_map(|id| self.jobs.get(id))
                    .filter(|job| queues.contains(&job.queue) && !job.has_run)
                    .count();
                out.push(ShardAction::Reply(ticket, Reply::Backlog(waiting as u64)));
            }
        }
    }

    /// Whether there is no memory for another job.
    fn lacks_memory(&self, spec: &JobSpec) -> bool {
        let jobs: u64 = self.jobs.values().map(|job| job.memory).sum();
        let held = jobs + self.further_turn_memory();
        held.saturating_add(spec.memory()) > self.settings.job_memory
    }

    fn reply_state(&self, id: JobId, queue: &QueueRef) -> Reply {
        if let Some(reply) = self.deny(id, queue) {
            return reply;
        }
        if let Some(ended) = self.ended.get(&id) {
            return Reply::State {
                outcome: Some(ended.outcome),
                has_started: true,
            };
        }
        match self.jobs.get(&id) {
            Some(job) => Reply::State {
                outcome: None,
                has_started: job.has_run,
            },
            None => Reply::Gone,
        }
    }

    /// The reply to a request for a job that does not belong to the queue that was asked: there is no such job, unless
    /// the hosts have different configurations and it may belong to that queue all the same.
    fn deny(&self, id: JobId, asked: &QueueRef) -> Option<Reply> {
        let ended = self.ended.get(&id).map(|ended| &ended.queue);
        let queue = ended.or_else(|| self.jobs.get(&id).map(|job| &job.queue))?;
        if self.queues.ids(asked).contains(queue) {
            return None;
        }
        let is_certain = self.queues.is_certain(asked, queue);
        tracing::info!(job = %id, %queue, asked = %asked.name(), is_certain, "the job belongs to another queue than the one that was asked");
        Some(match is_certain {
            true => Reply::Gone,
            false => Reply::Unavailable,
        })
    }

    /// Ids of the queues that jobs belong to.
    pub(super) fn used_queues(&self) -> BTreeSet<Name> {
        let open = self.jobs.values().map(|job| &job.queue);
        let ended = self.ended.values().map(|ended| &ended.queue);
        let mut used = BTreeSet::new();
        for id in open.chain(ended) {
            if !used.contains(id) {
                used.insert(id.clone());
            }
        }
        used
    }

    fn cancel_job(
        &mut self,
        now: Now,
        ticket: u64,
        id: JobId,
        queue: &QueueRef,
        out: &mut Vec<ShardAction>,
    ) {
        if let Some(reply) = self.deny(id, queue) {
            out.push(ShardAction::Reply(ticket, reply));
            return;
        }
        if self.ended.contains_key(&id) {
            out.push(ShardAction::Reply(ticket, Reply::Cancelled));
            return;
        }
        if !self.jobs.contains_key(&id) {
            out.push(ShardAction::Reply(ticket, Reply::Gone));
            return;
        }
        if self.journal.is_failing(now.steady) {
            out.push(ShardAction::Reply(ticket, Reply::Unavailable));
            return;
        }
        self.tickets.entry(id).or_default().push(ticket);
        self.end_job(now, id, Outcome::Cancelled);
    }

    /// Records the end of a job; clients see the outcome once the record is stored.
    pub(super) fn end_job(&mut self, now: Now, id: JobId, outcome: Outcome) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        // A cancellation has no effect while another end of the job is being stored.
        if self.ending.contains_key(&id) {
            return;
        }
        let state = JobStateRecord::Ended {
            queue: job.queue.clone(),
            outcome,
            at: now.wall,
        };
        self.ending.insert(id, outcome);
        self.journal.clear_dirty(id);
        self.journal.push(
            &ShardRecord::State(id, Some(state)),
            Some(Commit::Ended(id)),
        );
        self.journal.push(&ShardRecord::Job(id, None), None);
        if job.start_permit != StartPermit::Granted {
            self.journal.push(&ShardRecord::Deferred(id, false), None);
        }
        if !job.trials.is_empty() {
            self.journal.push(&ShardRecord::Crashes(id, None), None);
        }
        let open = now.wall.saturating_sub(job.accepted);
        let objective = self.job_objective(job);
        let status = EndStatus::of(open, objective);
        telemetry::count_ended_job(outcome.label(), status.label());
        tracing::info!(job = %id, ?outcome, open, objective, ?status, "job ends");
        self.delete_details(id, 0);
    }

    /// Time in which a job is to end, in milliseconds from its acceptance, if it has one as a whole.
    fn job_objective(&self, job: &Job) -> Option<u64> {
        let lasts = job.spec.steps.iter().any(|step| step.lasts);
        let is_timed = job.spec.turns == 0 && !lasts;
        is_timed.then(|| objective(self.queues.get(&job.queue), &job.spec))
    }

    /// Applies the acceptance of a job once it is stored.
    pub(super) fn commit_accepted(&mut self, now: Now, id: JobId, out: &mut Vec<ShardAction>) {
        self.accepted.insert(id);
        // If the job was cancelled meanwhile, `commit_ended` answers all its tickets.
        if !self.ending.contains_key(&id) {
            for ticket in self.tickets.remove(&id).unwrap_or_default() {
                out.push(ShardAction::Reply(ticket, Reply::Accepted));
            }
        }
        self.open_turns(now, id);
    }

    /// Applies the end of a job once it is stored.
    pub(super) fn commit_ended(&mut self, now: Now, id: JobId, out: &mut Vec<ShardAction>) {
        let Some(outcome) = self.ending.remove(&id) else {
            return;
        };
        self.lost_runs.end_job(id);
        for ticket in self.tickets.remove(&id).unwrap_or_default() {
            out.push(ShardAction::Reply(ticket, Reply::Cancelled));
        }
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        self.forget_job(id);
        let ended = Ended {
            queue: job.queue,
            outcome,
            at: now.wall,
        };
        self.ended.insert(id, ended);
        self.stop_job(now, id, out);
    }

    /// Removes a job from every index.
    pub(super) fn forget_job(&mut self, id: JobId) {
        self.accepted.remove(&id);
        self.recovered.remove(&id);
        self.journal.clear_dirty(id);
        self.ready.retain(|key| key.step.job != id);
        self.upcoming_turns.retain(|(_, job)| *job != id);
    }

    /// Seconds after which a client is to submit a job again that cannot be stored; `lasting` is the time for which
    /// somebody waits for its result.
    fn outage_retry(&mut self, now: Now, job: JobId, lasting: Option<Millis>) -> u32 {
        let Some(lasted) = self.journal.failing_for(now.steady) else {
            return OUTAGE_RETRY;
        };
        if !self.settings.adapts_retry {
            return OUTAGE_RETRY;
        }
        let retry_after = self.outages.refuse(now.steady, job, lasted, lasting);
        telemetry::count_refusal("outage");
        tracing::info!(%job, retry_after, lasted = lasted.0, "submission refused: the store is away");
        retry_after
    }

    /// Notes how long the store has been away.
    pub(super) fn note_outage(&mut self, now: Now) {
        let lasted = self.journal.failing_for(now.steady);
        if let Some(length) = self.outages.note(now.steady, lasted) {
            let refused = self.outages.refused();
            tracing::info!(length = length.0, refused, "the store is back");
        }
    }

    /// Refuses the submissions that are certainly not stored.
    pub(super) fn refuse_unstored(&mut self, now: Now, out: &mut Vec<ShardAction>) {
        for id in self.journal.withdraw() {
            let job = self.jobs.remove(&id);
            let lasting = job.and_then(|job| {
                let queue = self.queues.get(&job.queue);
                worth_time(queue, &job.spec)
            });
            for ticket in self.tickets.remove(&id).unwrap_or_default() {
                let retry_after = self.outage_retry(now, id, lasting);
                out.push(ShardAction::Reply(ticket, Reply::Refused { retry_after }));
            }
        }
    }
}

/// Time from the submission of a job for which somebody waits for its result, if its queue sets one.
fn worth_time(queue: &Queue, spec: &JobSpec) -> Option<Millis> {
    let is_timed = spec.turns == 0 && !spec.has_long_running_step();
    is_timed.then(|| Millis(objective(queue, spec).saturating_mul(OVERDUE_FACTOR)))
}
