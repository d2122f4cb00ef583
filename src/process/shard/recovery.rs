//! Recovery after a claim: loads the records of earlier owners and finds out which runs exist.

use std::collections::BTreeSet;

use super::journal::store_call;
use super::journal::{Appended, Commit};
use super::reports::STOP_ALLOWANCE;
use super::requests::Ended;
use super::shard::{Now, Phase, RegistryChange, Shard, ShardAction, StoreTag};
use super::worker::Worker;
use crate::base::{Millis, Name};
use crate::connection::{CallError, StoreAnswer, StoreRequest};
use crate::platform::{RegistryEntry, WorkerState};
use crate::request::job::{Job, JobId, StartPermit, TaskCrashes, TaskKey};
use crate::version::{
    DetailsRecord, JobStateRecord, LeaseRecord, QueueRecord, ShardRecord, SupersededRecord,
    SuspectRecord, WaitRecord,
};

/// Pause before a failed request for a page is repeated, in milliseconds.
const LOAD_RETRY: Millis = Millis(100);
/// The keys of the records, divided at these keys into ranges that are read at the same time. Over a
/// long distance, one read after the other would take seconds. The keys of jobs begin with `j/`,
/// those of jobs that have not started with `n/` and those of states with `s/`, all followed by
/// hexadecimal digits, and those of workers with `w/`.
const RANGE_STARTS: [&str; 9] = ["", "j/4", "j/8", "j/c", "n/", "n/8", "s/", "s/8", "w/"];
/// How long an owner that reaches neither the store nor a peer keeps renewing leases, in
/// milliseconds: three intervals of its appends. A new owner waits this much longer for a worker that it
/// cannot reach.
pub const ISOLATION_TIME: Millis = Millis(1_500);
/// Longest time that an order can be in transit after its sender stopped, in milliseconds.
pub(super) const TRANSIT_TIME: Millis = Millis(500);

/// Progress of reading one range of keys.
#[derive(Debug)]
pub(super) struct LoadRange {
    /// The last key that was read; the next page starts after it.
    key: Option<String>,
    /// When to repeat the request for a page that failed.
    retry_at: Option<Millis>,
    is_done: bool,
}

impl LoadRange {
    fn new(start: &str) -> Self {
        LoadRange {
            key: (!start.is_empty()).then(|| start.to_owned()),
            retry_at: None,
            is_done: false,
        }
    }
}

impl Shard {
    pub(super) fn handle_append_answer(
        &mut self,
        now: Now,
        answer: Result<StoreAnswer, CallError>,
        out: &mut Vec<ShardAction>,
    ) {
        match self.journal.handle_answer(now.steady, answer) {
            Appended::Committed(commits) => {
                for commit in commits {
                    self.apply_commit(now, commit, out);
                }
            }
            Appended::Superseded => self.step_down(out, "the store has seen a newer owner"),
            Appended::Failed => {
                if self.journal.is_failing(now.steady) {
                    self.refuse_unstored(now, out);
                }
            }
        }
    }

    pub(super) fn step_down(&mut self, out: &mut Vec<ShardAction>, reason: &'static str) {
        if self.is_superseded {
            return;
        }
        self.is_superseded = true;
        tracing::warn!(epoch = self.owner.epoch, reason, "giving up the shard");
        out.push(ShardAction::StepDown);
    }

    fn apply_commit(&mut self, now: Now, commit: Commit, out: &mut Vec<ShardAction>) {
        match commit {
            Commit::Owner => {
                // The claim fences all earlier owners, so the records cannot change while they are
                // read.
                if self.phase == Phase::Claiming {
                    self.phase = Phase::Loading;
                    self.claimed_at = now.steady;
                    self.load(out);
                }
            }
            Commit::Worker(id) => {
                if let Some(worker) = self.workers.get_mut(&id) {
                    worker.is_recording = false;
                    worker.is_recorded = true;
                    worker.has_changed = true;
                    self.needs_placement = true;
                }
            }
            Commit::WaitEnded(id) => {
                if let Some(worker) = self.workers.get_mut(&id) {
                    worker.recorded_wait = None;
                    worker.next_poll = now.steady;
                    worker.has_changed = true;
                    self.needs_placement = true;
                }
            }
            Commit::Resigned => self.apply_resignation(),
            Commit::ResignationEnded => self.apply_resignation_end(now),
            Commit::Reopened(id) => {
                if let Some(worker) = self.workers.get_mut(&id) {
                    worker.reopen();
                    self.needs_placement = true;
                }
            }
            Commit::Accepted(id) => self.commit_accepted(now, id, out),
            Commit::Deferred(_) => {}
            Commit::MayStart(id) => self.commit_may_start(id),
            Commit::Ended(id) => self.commit_ended(now, id, out),
            Commit::LostRuns(changes) => {
                self.lost_runs.note_stored(changes);
                self.needs_placement = true;
            }
            acknowledged @ Commit::Acknowledged { .. } => self.commit_acknowledged(acknowledged),
        }
    }

    /// Requests the first pages of the records.
    fn load(&mut self, out: &mut Vec<ShardAction>) {
        self.loads = RANGE_STARTS.map(LoadRange::new).into();
        for range in 0..self.loads.len() {
            self.load_page(range, out);
        }
    }

    /// Requests the next page of a range.
    fn load_page(&mut self, range: usize, out: &mut Vec<ShardAction>) {
        let Some(load) = self.loads.get_mut(range) else {
            return;
        };
        load.retry_at = None;
        let request = StoreRequest::Newest {
            partition: self.partition.clone(),
            after: load.key.clone(),
        };
        out.push(ShardAction::Store(
            StoreTag::Load { range },
            store_call(request),
        ));
    }

    /// Repeats the requests for pages that failed.
    pub(super) fn retry_loads(&mut self, now: Now, out: &mut Vec<ShardAction>) {
        for range in 0..self.loads.len() {
            let retry_at = self.loads[range].retry_at;
            if retry_at.is_some_and(|at| at <= now.steady) {
                self.load_page(range, out);
            }
        }
    }

    pub(super) fn handle_page(
        &mut self,
        now: Now,
        range: usize,
        answer: Result<StoreAnswer, CallError>,
        out: &mut Vec<ShardAction>,
    ) {
        let Some(load) = self.loads.get_mut(range) else {
            return;
        };
        let page = match answer {
            Ok(StoreAnswer::Page(page)) => page,
            answer => {
                tracing::debug!(?answer, "failed to read a page of records");
                load.retry_at = Some(now.steady + LOAD_RETRY);
                return;
            }
        };
        let end = RANGE_STARTS.get(range + 1).copied();
        load.is_done = !page.has_more;
        let last_key = page.last_key().cloned();
        if page.has_more && last_key <= load.key {
            tracing::error!(after = ?load.key, "cannot read the keys of a page of records");
            load.retry_at = Some(now.steady + LOAD_RETRY);
            return;
        }
        for record in page.records {
            if end.is_some_and(|end| record.key.as_str() > end) {
                load.is_done = true;
                break;
            }
            match ShardRecord::decode(&record.key, &record.value) {
                Ok(decoded) => self.loaded_records.push(decoded),
                Err(error) => tracing::error!(%error, "skipping a record that cannot be decoded"),
            }
        }
        load.key = last_key;
        if !load.is_done {
            self.load_page(range, out);
            return;
        }
        if !self.loads.iter().all(|load| load.is_done) {
            return;
        }
        self.loads.clear();
        self.restore(now);
        self.held_memory = 0;
        for (ticket, request) in std::mem::take(&mut self.held) {
            self.handle_request(now, ticket, request, out);
        }
    }

    /// Rebuilds the state from the loaded records.
    fn restore(&mut self, now: Now) {
        let records = std::mem::take(&mut self.loaded_records);
        let mut states: Vec<(JobId, JobStateRecord)> = Vec::new();
        let mut details: Vec<(JobId, u32, DetailsRecord)> = Vec::new();
        let mut queues: Vec<(Name, QueueRecord)> = Vec::new();
        let mut deferred: Vec<JobId> = Vec::new();
        let mut crashes: Vec<(JobId, Vec<TaskCrashes>)> = Vec::new();
        let mut leases: Vec<(Name, LeaseRecord)> = Vec::new();
        let mut waits: Vec<(Name, WaitRecord)> = Vec::new();
        let mut suspects: Vec<(Name, Vec<SuspectRecord>)> = Vec::new();
        let mut remaining: Vec<(Name, Vec<TaskKey>)> = Vec::new();
        let mut superseded: Vec<(Name, SupersededRecord)> = Vec::new();
        let mut resignation = None;
        let mut last_owner = None;
        for record in records {
            match record {
                ShardRecord::Job(id, Some(job)) => {
                    let job = Job::new(id, job.queue, job.spec.into(), job.accepted);
                    self.jobs.insert(id, job);
                    self.accepted.insert(id);
                }
                ShardRecord::State(id, Some(state)) => states.push((id, state)),
                ShardRecord::Details(id, part, Some(record)) => details.push((id, part, record)),
                ShardRecord::Queue(id, Some(queue)) => queues.push((id, queue)),
                ShardRecord::Deferred(id, true) => deferred.push(id),
                ShardRecord::Crashes(id, Some(counted)) => crashes.push((id, counted)),
                ShardRecord::Contention(learned) => self.contention.restore(&learned),
                ShardRecord::Worker(id, Some(record)) => {
                    // An entry in the registry that this owner has seen is newer than the record.
                    let worker = self.workers.get_or_insert(&id, || {
                        let address = record.address;
                        let mut worker =
                            Worker::new(id.clone(), address, record.service, now.steady);
                        worker.is_draining = record.is_leaving;
                        worker
                    });
                    worker.reported_address = Some(record.address);
                    worker.is_recorded = true;
                    worker.is_recovered = true;
                    worker.recorded_leaving = record.is_leaving;
                }
                ShardRecord::Lease(id, Some(lease)) => leases.push((id, lease)),
                ShardRecord::Wait(id, Some(wait)) => waits.push((id, wait)),
                ShardRecord::Suspects(id, Some(runs)) => suspects.push((id, runs)),
                ShardRecord::Resignation(Some(record)) => resignation = Some(record),
                ShardRecord::Remaining(id, Some(tasks)) => remaining.push((id, tasks)),
                ShardRecord::Superseded(id, Some(runs)) => superseded.push((id, runs)),
                ShardRecord::Owner(owner) => last_owner = Some(owner.epoch),
                ShardRecord::Lease(_, None)
                | ShardRecord::Queue(_, None)
                | ShardRecord::Job(_, None)
                | ShardRecord::State(_, None)
                | ShardRecord::Details(_, _, None)
                | ShardRecord::Deferred(_, false)
                | ShardRecord::Crashes(_, None)
                | ShardRecord::Suspects(_, None)
                | ShardRecord::Wait(_, None)
                | ShardRecord::Remaining(_, None)
                | ShardRecord::Superseded(_, None)
                | ShardRecord::Resignation(None)
                | ShardRecord::Worker(_, None) => {}
            }
        }
        self.restore_leases(leases);
        self.lost_runs.restore(now.steady, superseded);
        let has_resigned = self.end_resignation(now, resignation);
        self.restore_waits(waits, has_resigned);
        self.apply_handover(now, last_owner);
        self.restore_remaining(remaining);
        for (id, state) in states {
            match state {
                JobStateRecord::Open(progress) => {
                    if let Some(job) = self.jobs.get_mut(&id) {
                        job.restore(&progress);
                    }
                }
                JobStateRecord::Ended { queue, outcome, at } => {
                    self.jobs.remove(&id);
                    self.accepted.remove(&id);
                    self.ended.insert(id, Ended { queue, outcome, at });
                }
            }
        }
        self.restore_details(details);
        let used = self.used_queues();
        for record in self.queues.restore(queues, &used) {
            self.journal.push(&record, None);
        }
        self.recovered = self.jobs.keys().copied().collect();
        for id in deferred {
            match self.jobs.get_mut(&id) {
                Some(job) => {
                    job.start_permit = StartPermit::Deferred;
                    self.recovered.remove(&id);
                }
                None => self.journal.push(&ShardRecord::Deferred(id, false), None),
            }
        }
        self.phase = Phase::Recovering;
        let ids: Vec<JobId> = self.jobs.keys().copied().collect();
        for id in ids {
            self.open_turns(now, id);
        }
        self.restore_crashes(now, crashes);
        self.restore_suspects(now, suspects);
        tracing::info!(
            epoch = self.owner.epoch,
            jobs = self.jobs.len(),
            ended = self.ended.len(),
            workers = self.workers.len(),
            took = now.steady.since(self.claimed_at).0,
            "records of the shard are read"
        );
        self.needs_placement = true;
    }

    /// Ends the recovery once the runs of every worker of an earlier owner are known, or it has left,
    /// or can hold no lease any more. Workers whose runs are recorded hold up these tasks alone.
    pub(super) fn finish_recovery(&mut self, now: Now) {
        if self.phase != Phase::Recovering {
            return;
        }
        let stop_time = self.settings.stop_time + STOP_ALLOWANCE;
        let missing_workers = self
            .workers
            .iter()
            .filter(|worker| !worker.is_settled(now.steady, stop_time))
            .filter(|worker| !worker.has_left && worker.unheard.is_none());
        let (mut silent, mut is_over) = (BTreeSet::new(), true);
        for worker in missing_workers {
            silent.insert(worker.id.clone());
            is_over &= self.has_waited(now.steady, worker);
        }
        if !is_over {
            return;
        }
        let missing = silent.len();
        tracing::info!(
            epoch = self.owner.epoch,
            missing,
            inherited = self.recovered.len(),
            took = now.steady.since(self.claimed_at).0,
            "runs of earlier owners are known"
        );
        self.phase = Phase::Active;
        let recovered = std::mem::take(&mut self.recovered);
        self.note_unheard(silent, recovered.iter().copied());
        for id in recovered {
            self.add_interrupted(now.steady, id, missing > 0);
        }
        self.needs_placement = true;
    }

    /// Updates a worker from its entry in the registry.
    pub(super) fn apply_registry_change(&mut self, now: Now, change: RegistryChange) {
        match change {
            RegistryChange::Set(id, entry) => {
                if self.is_foreign(&id, &entry) {
                    tracing::debug!(worker = %id, service = %entry.service, "entry of a worker names no known service");
                    return;
                }
                let worker = self.workers.get_or_insert(&id, || {
                    Worker::new(id.clone(), entry.address, entry.service.clone(), now.steady)
                });
                worker.list_at(now.steady, entry.address);
                worker.service = entry.service;
                worker.is_evacuated = self.evacuations.covers(Some(&entry.data_centre));
                worker.data_centre = Some(entry.data_centre);
                worker.capacity = entry.capacity;
                worker.listed_start = entry.start_time;
                worker.labels = entry.labels;
                let was_listed = std::mem::replace(&mut worker.is_listed, true);
                worker.is_draining = entry.state == WorkerState::Draining;
                worker.has_left = false;
                worker.has_changed = true;
                let was_ready = worker.is_ready;
                worker.is_ready = entry.state == WorkerState::Ready;
                if was_listed && was_ready != worker.is_ready {
                    let (worker, is_ready) = (&worker.id, worker.is_ready);
                    tracing::info!(%worker, is_ready, "worker changed its state");
                }
            }
            RegistryChange::Removed(id) => {
                if let Some(worker) = self.workers.get_mut(&id) {
                    tracing::info!(worker = %id, runs = worker.runs.len(), "worker left the registry");
                    worker.is_listed = false;
                    worker.is_ready = false;
                }
            }
        }
    }

    /// Whether another program has written the entry of a known worker: no worker changes to a service
    /// that does not exist.
    fn is_foreign(&mut self, id: &Name, entry: &RegistryEntry) -> bool {
        let known = self.workers.get_mut(id);
        known.is_some_and(|worker| worker.service != entry.service)
            && !self.queues.has_service(&entry.service)
    }
}
