//! Counts the workers whose processes end right after they have started a task, and gives up a task
//! that ends them again and again.
//!
//! A run that is lost with its worker soon after its start is suspect. It counts against its task only
//! once the worker's process has certainly ended: it has restarted, or another worker has its address.
//! From the suspicion on, the task runs on trial: none of its workers starts another task until the
//! run has survived its start, so that no other task is blamed for a crash that it causes.

use super::journal::Journal;
use super::shard::{Now, Shard};
use super::worker::{Run, RunState, Worker};
use crate::base::{Millis, Name};
use crate::request::job::{JobId, Outcome, Suspicion, TaskCrashes, TaskKey};
use crate::version::{ShardRecord, StartEvidence, SuspectRecord};

/// Crashed workers after which a task is given up, if each worker had confirmed the start and fell silent
/// during it. Each change of the owner may lose one crash, since starts are not recorded.
const MAX_CRASHES: usize = 2;
/// The same if the start of any of the runs was over before the crash or may have been, so that the crash may
/// have another cause, or was not confirmed, so that the order may never have been carried out.
const MAX_LATE_CRASHES: usize = 3;
/// A worker that reports this long after a start order has survived the start, in milliseconds. The
/// order may take up to 700 ms.
const SURVIVAL_TIME: Millis = Millis(1_000);
/// How long no other task starts on the worker of a run on trial once the start is confirmed, in
/// milliseconds. A task that crashes its workers does so within some 10 ms.
const EXCLUSIVE_TIME: Millis = Millis(200);
/// How long a task on trial waits for a worker without recent starts, in milliseconds; then any worker
/// with room will do.
const QUIET_WAIT: Millis = Millis(2_000);
/// How long a worker that is gone is asked whether its process has ended, in milliseconds. A crashed
/// worker is back after some seconds.
const PROOF_TIME: Millis = Millis(30_000);
/// How long after a start that the worker has not confirmed its task waits for the proof of a crash, in
/// milliseconds. No later owner would know of that crash. A long-running task is to run again 9 s after
/// the loss of its worker; this leaves a second for the start.
const UNCONFIRMED_HOLD: Millis = Millis(8_000);

/// A run that was lost with its worker soon after its start.
#[derive(Debug, Clone, Copy)]
pub struct SuspectRun {
    record: SuspectRecord,
    lost: Millis,
    /// Whether the worker had confirmed the start. Only then do later owners learn of it: without, the
    /// worker may never have got the order.
    is_confirmed: bool,
}

/// A restart of a worker, as seen by the owner.
#[derive(Debug, Clone, Copy)]
pub struct WorkerRestart {
    /// When the first report of the new incarnation arrived.
    pub seen: Millis,
    /// When the last report of the earlier incarnation arrived.
    pub last_report: Option<Millis>,
    /// Since when the earlier incarnation was silent.
    pub silent_since: Millis,
}

impl Shard {
    /// Remembers a lost run if its start may have crashed the worker.
    pub(super) fn suspect_run(&mut self, now: Now, worker_id: &Name, task: TaskKey, run: &Run) {
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        if run.is_adopted || worker.is_draining || worker.has_survived(run) {
            return;
        }
        let record = SuspectRecord {
            task,
            run: run.run,
            incarnation: worker.incarnation_of(run),
            lost: now.wall,
            start: worker.start_evidence(run, now.steady),
        };
        worker.suspects.push(SuspectRun {
            record,
            lost: now.steady,
            is_confirmed: run.is_confirmed,
        });
        let suspicion = Suspicion {
            run: run.run,
            until: now.steady + PROOF_TIME,
            held_until: match run.is_confirmed {
                true => now.steady,
                false => run.started + UNCONFIRMED_HOLD,
            },
        };
        if let Some(job) = self.jobs.get_mut(&task.step.job) {
            job.suspect(task, suspicion, now.steady);
        }
    }

    /// Applies a report to the suspect runs of its worker and to the runs on trial there.
    pub(super) fn check_crashes(&mut self, now: Now, worker_id: &Name) {
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        if worker.suspects.is_empty() && worker.trials.is_empty() {
            return;
        }
        let current = worker.incarnation.unwrap_or(0);
        let suspects = std::mem::take(&mut worker.suspects);
        // The process that has answered is the one that got the other runs: it was only cut off.
        let (proven, disproven): (Vec<SuspectRun>, Vec<SuspectRun>) = suspects
            .into_iter()
            .partition(|suspect| suspect.record.incarnation < current);
        for SuspectRun { record, .. } in disproven {
            if let Some(job) = self.jobs.get_mut(&record.task.step.job) {
                job.clear_suspicion(record.task, record.run);
            }
        }
        self.count_crashes(now, worker_id, &proven);
        self.end_trials(worker_id);
    }

    /// Counts all suspect runs of a worker whose process has ended for good.
    pub(super) fn prove_crashes(&mut self, now: Now, worker_id: &Name) {
        if let Some(worker) = self.workers.get_mut(worker_id) {
            let proven = std::mem::take(&mut worker.suspects);
            self.count_crashes(now, worker_id, &proven);
        }
    }

    /// Counts the crash of a worker against the tasks whose runs have caused it, as far as is known.
    fn count_crashes(&mut self, now: Now, worker_id: &Name, proven: &[SuspectRun]) {
        // Most likely the newest run has crashed the worker.
        let is_recent = |suspect: &SuspectRecord| suspect.start != StartEvidence::Over;
        let has_recent = proven.iter().any(|suspect| is_recent(&suspect.record));
        let is_blamed = |suspect: &SuspectRecord| is_recent(suspect) || !has_recent;
        let records = proven.iter().map(|suspect| &suspect.record);
        let blamed = records.filter(|record| is_blamed(record)).count();
        for SuspectRun {
            record: suspect,
            is_confirmed,
            ..
        } in proven
        {
            let id = suspect.task.step.job;
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            if !is_blamed(suspect) {
                job.clear_suspicion(suspect.task, suspect.run);
                continue;
            }
            let is_sure = suspect.start == StartEvidence::Interrupted && *is_confirmed;
            let (crashes, sure) = job.count_crash(suspect.task, suspect.run, is_sure, now.steady);
            if crashes == 0 {
                continue;
            }
            let (task, run) = (suspect.task, suspect.run);
            tracing::warn!(%task, run, worker = %worker_id, crashes, sure, blamed, "worker crashed after the start of a run");
            if sure >= MAX_CRASHES || crashes >= MAX_LATE_CRASHES {
                tracing::warn!(%task, run, worker = %worker_id, crashes, sure, "giving up a task that crashes its workers");
                self.end_job(now, id, Outcome::Failed);
            } else {
                self.record_crashes(id);
            }
        }
    }

    /// Whether a task on trial should still wait for a worker without recent starts; `None` if it is
    /// not on trial.
    pub(super) fn trial_needs_quiet(&self, now: Now, task: TaskKey) -> Option<bool> {
        let since = self.jobs.get(&task.step.job)?.trial_since(task)?;
        Some(now.steady.since(since) < QUIET_WAIT)
    }

    /// Whether a task is not to start yet because it is most likely to crash the next worker too.
    pub(super) fn awaits_proof(&self, now: Now, task: TaskKey) -> bool {
        let job = self.jobs.get(&task.step.job);
        job.is_some_and(|job| job.awaits_proof(task, now.steady))
    }

    /// Ends the trials of the runs that have survived their start.
    fn end_trials(&mut self, worker_id: &Name) {
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        let mut survived = Vec::new();
        let mut trials = std::mem::take(&mut worker.trials);
        trials.retain(|task| match worker.runs.get(task) {
            Some(run) if worker.has_survived(run) => {
                survived.push(*task);
                false
            }
            run => run.is_some(),
        });
        worker.trials = trials;
        for task in survived {
            let job = self.jobs.get_mut(&task.step.job);
            let was_recorded = job.is_some_and(|job| job.end_trial(task));
            if was_recorded {
                self.record_crashes(task.step.job);
            }
        }
    }

    /// Restores the crashes that earlier owners recorded.
    pub(super) fn restore_crashes(&mut self, now: Now, recorded: Vec<(JobId, Vec<TaskCrashes>)>) {
        for (id, crashes) in recorded {
            match self.jobs.get_mut(&id) {
                Some(job) => job.restore_crashes(&crashes, now.steady),
                None => self.journal.push(&ShardRecord::Crashes(id, None), None),
            }
        }
    }

    /// Restores the suspect runs that earlier owners recorded.
    pub(super) fn restore_suspects(&mut self, now: Now, recorded: Vec<(Name, Vec<SuspectRecord>)>) {
        for (id, records) in recorded {
            let Some(worker) = self.workers.get_mut(&id) else {
                let record = ShardRecord::Suspects(id, None);
                self.journal.push(&record, None);
                continue;
            };
            worker.recorded_suspects.clone_from(&records);
            for record in records {
                let age = Millis(now.wall.saturating_sub(record.lost));
                let lost = now.steady.since(age);
                worker.suspects.push(SuspectRun {
                    record,
                    lost,
                    is_confirmed: true,
                });
                let suspicion = Suspicion {
                    run: record.run,
                    until: lost + PROOF_TIME,
                    held_until: lost,
                };
                if let Some(job) = self.jobs.get_mut(&record.task.step.job) {
                    job.suspect(record.task, suspicion, now.steady);
                }
            }
        }
    }

    /// Records the crashes that count against the tasks of a job, for later owners.
    fn record_crashes(&mut self, id: JobId) {
        if self.ending.contains_key(&id) {
            return;
        }
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let crashes = job.crashes();
        let value = (!crashes.is_empty()).then_some(crashes);
        self.journal.push(&ShardRecord::Crashes(id, value), None);
    }
}

impl Worker {
    /// Records its suspect runs if the record is outdated.
    pub(super) fn record_suspects(&mut self, journal: &mut Journal) {
        let confirmed = self.suspects.iter().filter(|suspect| suspect.is_confirmed);
        let records: Vec<SuspectRecord> = confirmed.map(|suspect| suspect.record).collect();
        if records == self.recorded_suspects {
            return;
        }
        self.recorded_suspects.clone_from(&records);
        let value = (!records.is_empty()).then_some(records);
        journal.push(&ShardRecord::Suspects(self.id.clone(), value), None);
    }

    /// Start of the incarnation that got a run; 0 if a later one has reported.
    fn incarnation_of(&self, run: &Run) -> u64 {
        match self.restart {
            Some(restart) if run.started < restart.seen => 0,
            _ => self.incarnation.unwrap_or(u64::MAX),
        }
    }

    /// When the incarnation of a run last reported.
    fn last_report_with(&self, run: &Run) -> Option<Millis> {
        match self.restart {
            Some(restart) if run.started < restart.seen => restart.last_report,
            _ => self.last_report,
        }
    }

    /// Since when the incarnation of a run has been silent, as far as is known.
    fn silent_since_with(&self, run: &Run, now: Millis) -> Millis {
        match self.restart {
            Some(restart) if run.started < restart.seen => restart.silent_since,
            _ => self.silence.since.unwrap_or(now),
        }
    }

    /// What is known of the start of a run that is lost now.
    fn start_evidence(&self, run: &Run, now: Millis) -> StartEvidence {
        if self.is_past_start(run) {
            StartEvidence::Over
        } else if self.silent_since_with(run, now) < run.started + SURVIVAL_TIME {
            StartEvidence::Interrupted
        } else {
            StartEvidence::Unknown
        }
    }

    /// Whether a report has shown that the process survived the start of a run.
    fn has_survived(&self, run: &Run) -> bool {
        let last_report = self.last_report_with(run);
        last_report.is_some_and(|at| at >= run.started + SURVIVAL_TIME)
    }

    /// Whether a run has been reported long enough after its start for other tasks to start here.
    fn is_past_start(&self, run: &Run) -> bool {
        match run.state {
            RunState::Active { since } => {
                let last_report = self.last_report_with(run);
                run.is_adopted || last_report.is_some_and(|at| at >= since + EXCLUSIVE_TIME)
            }
            _ => self.has_survived(run),
        }
    }

    /// Whether all its runs are past their starts, so that a crash would be the doing of the next.
    pub(super) fn is_quiet(&self) -> bool {
        self.runs.values().all(|run| self.is_past_start(run))
    }

    /// The runs on trial here that are not past their starts.
    fn exclusive_runs(&self) -> impl Iterator<Item = &Run> {
        let on_trial = self.trials.iter().filter_map(|task| self.runs.get(task));
        on_trial.filter(|run| !self.is_past_start(run))
    }

    /// Whether a run on trial here keeps other tasks from starting.
    pub(super) fn is_exclusive(&self) -> bool {
        self.exclusive_runs().next().is_some()
    }

    /// Whether a report requested now would end this, but not the pending one, sent at `waiting`.
    pub(super) fn may_end_exclusion(&self, now: Millis, waiting: Millis) -> bool {
        self.exclusive_runs().any(|run| match run.state {
            RunState::Active { since } => {
                since + EXCLUSIVE_TIME >= waiting && now > since + EXCLUSIVE_TIME
            }
            _ => false,
        })
    }

    /// Whether it is still to be asked whether its process has ended.
    pub(super) fn awaits_proof(&self, now: Millis) -> bool {
        let newest = self.suspects.iter().map(|suspect| suspect.lost).max();
        newest.is_some_and(|lost| now.since(lost) < PROOF_TIME)
    }
}
