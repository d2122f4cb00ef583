//! The task stream: reading it, appending to it, and appending the state of tasks again before
//! their records expire (restating).

use super::action::{Action, Stream};
use super::node::{Identity, Node};
use crate::base::{Millis, Name, Offset};
use crate::connection::Error;
use crate::connection::wire::{LogRecord, ReadReply, RelayedRecord};
use crate::process::{OpenSuspicion, telemetry};
use crate::version::{
    AppendOutcome, Batch, Journal, Record, RequeueReason, TaskChange, TaskResult, decode_bounded,
};

type Result<T> = std::result::Result<T, Error>;

/// Largest age of the last read of the stream at which claims are proposed.
const MAX_READ_AGE: Millis = Millis(2_000);
/// Largest number of tasks restated in one poll; at 10 polls a second, 12,000 tasks take 6 s.
const MAX_RESTATED: usize = 200;
/// Number of raw records kept for peers that cannot read the log.
const MAX_RELAYED: usize = 512;

/// Progress of reading the task stream.
#[derive(Debug, Default)]
pub(super) struct TaskLog {
    /// Time of the last successful read, by this host itself or through a peer.
    pub last_read: Option<Millis>,
    /// Time at which the last successful read by this host itself was sent.
    pub direct_read: Option<Millis>,
    /// End of the stream when this process first read it.
    pub initial_end: Option<Offset>,
    /// Whether everything below `initial_end` was read.
    pub caught_up: bool,
    /// Whether the stream has a batch of an earlier process under this host's name.
    pub had_predecessor: bool,
    /// When a `Started` record was last put into the journal.
    pub last_started: Option<Millis>,
    /// Whether a read of either stream failed since this host last read the task stream itself.
    pub read_failed: bool,
    /// Number of batches that expired before this process read them.
    pub skipped: u64,
    /// Number of batches that could not be decoded.
    pub malformed: u64,
    /// When the process was asked to drain and stop.
    pub drain_time: Option<Millis>,
}

/// Whether new claims may be proposed: the stream was read recently and to its end, appends
/// succeed, and this host is not draining.
pub(super) fn can_claim(now: Millis, log: &TaskLog, journal: &Journal, draining: bool) -> bool {
    let is_fresh = log
        .last_read
        .is_some_and(|read| now.since(read) <= MAX_READ_AGE);
    is_fresh && log.caught_up && journal.is_healthy() && !draining
}

/// Builds the dispatcher's view of the node. A method would borrow the whole node; the macro
/// borrows only the fields that it names, so that the dispatcher can be borrowed mutably beside
/// them.
macro_rules! dispatch_view {
    ($node:ident, $can_claim:expr) => {
        $crate::request::DispatchView {
            ledger: &$node.ledger,
            hosts: &$node.live_hosts,
            services: &$node.worker_services,
            slow_services: &$node.slow_services,
            quotas: &$node.quotas,
            can_claim: $can_claim,
        }
    };
}
pub(super) use dispatch_view;

impl Node {
    pub(super) fn on_stream_read(
        &mut self,
        now: Millis,
        stream: Stream,
        sent: Millis,
        reply: Result<ReadReply>,
        out: &mut Vec<Action>,
    ) {
        let reply = match reply {
            Ok(reply) => reply,
            Err(error) => {
                tracing::debug!(?stream, %error, "cannot read the log");
                self.task_log.read_failed = true;
                return;
            }
        };
        match stream {
            Stream::Contracts => self.on_contracts_read(now, &reply, out),
            Stream::Tasks => self.on_tasks_read(now, sent, reply, out),
        }
    }

    fn on_tasks_read(
        &mut self,
        now: Millis,
        sent: Millis,
        reply: ReadReply,
        out: &mut Vec<Action>,
    ) {
        self.task_log.read_failed = false;
        let initial_end = *self.task_log.initial_end.get_or_insert(reply.next);
        if reply.first > self.ledger.next() {
            self.task_log.skipped += reply.first.0 - self.ledger.next().0;
            self.ledger.reset_to(reply.first);
        }
        for record in reply.records {
            let LogRecord { offset, time, data } = record;
            self.apply(
                now,
                RelayedRecord {
                    offset,
                    time,
                    data: data.into(),
                },
                out,
            );
        }
        self.task_log.last_read = Some(now);
        self.task_log.direct_read = Some(sent);
        if self.ledger.next() >= reply.next {
            self.membership.log_read(now, sent, self.ledger.next());
        }
        if !self.task_log.caught_up && self.ledger.next() >= initial_end {
            tracing::info!(tasks = self.ledger.len(), "read the task stream to its end");
            self.task_log.caught_up = true;
            if !self.task_log.had_predecessor {
                self.urgent.set_first_incarnation();
            }
        }
    }

    /// Applies a batch of the task stream, read by this host itself or through a peer.
    pub(super) fn apply(&mut self, now: Millis, record: RelayedRecord, out: &mut Vec<Action>) {
        if record.offset < self.ledger.next() {
            return;
        }
        match decode_bounded::<Batch>(&record.data) {
            Ok(batch) => {
                self.journal.confirm(&batch);
                self.detect_predecessor(&batch);
                self.track_task_ages(now, record.time, &batch);
                let changes = self.ledger.apply(record.offset, record.time, now, &batch);
                for change in changes {
                    self.on_change(now, &change, out);
                }
            }
            Err(error) => {
                tracing::warn!(offset = record.offset.0, %error, "skipping a malformed batch");
                self.task_log.malformed += 1;
                self.ledger.skip_to(record.offset.next());
            }
        }
        self.recent_records.push_back(record);
        if self.recent_records.len() > MAX_RELAYED {
            self.recent_records.pop_front();
        }
    }

    fn on_change(&mut self, now: Millis, change: &TaskChange, out: &mut Vec<Action>) {
        match change {
            TaskChange::Accepted { task } => self.on_task_accepted(now, task, out),
            TaskChange::Pending { task, reason } => {
                tracing::info!(%task, ?reason, "attempt ended; the task is pending again");
                if matches!(reason, RequeueReason::Checkpointed) {
                    telemetry::count_eviction("checkpoint");
                }
                if matches!(reason, RequeueReason::WatcherEnded) {
                    tracing::warn!(%task, "the watcher stopped; starting it again");
                }
            }
            TaskChange::Done { task, result } => {
                self.retained_tasks.forget(task);
                tracing::info!(%task, ?result, "task ended");
                self.on_task_done(now, task, *result);
            }
            TaskChange::Claimed { .. } | TaskChange::CancelRequested { .. } => {}
        }
    }

    fn on_task_done(&mut self, now: Millis, task: &crate::base::TaskId, result: TaskResult) {
        let Some(class) = self.ledger.task(task).map(|task| task.spec.class.clone()) else {
            return;
        };
        if result != TaskResult::Cancelled {
            let is_good = result == TaskResult::Succeeded;
            self.burn.observe(now, &task.customer, &class, is_good);
        }
    }

    pub(super) fn on_append_result(
        &mut self,
        now: Millis,
        stream: Stream,
        sequence: u64,
        sent: Millis,
        result: Result<Offset>,
        out: &mut Vec<Action>,
    ) {
        let outcome = match &result {
            Ok(_) => AppendOutcome::Done,
            Err(error) if error.is_without_effect() => AppendOutcome::Refused,
            Err(_) => AppendOutcome::Unknown,
        };
        let label = match outcome {
            AppendOutcome::Done => "done",
            AppendOutcome::Refused => "refused",
            AppendOutcome::Unknown => "unknown",
        };
        telemetry::record_append(label, now.since(sent));
        if let Err(error) = &result {
            tracing::warn!(?stream, %error, label, "append failed");
        }
        match stream {
            Stream::Tasks => {
                if outcome == AppendOutcome::Unknown {
                    self.mark_submissions_uncertain();
                }
                self.journal.appended(now, sequence, outcome);
            }
            Stream::Contracts => self.on_contract_append(now, sequence, outcome, out),
        }
    }

    /// Checks whether the batch is of an earlier process under this host's name.
    fn detect_predecessor(&mut self, batch: &Batch) {
        let Identity {
            host, incarnation, ..
        } = &self.identity;
        self.task_log.had_predecessor |= batch.host == *host && batch.incarnation != *incarnation;
    }

    /// Records on the log that this process runs, so that a later process under the same name finds
    /// out. Repeated at half the retention, before the record expires.
    fn record_started(&mut self, now: Millis) {
        if self
            .task_log
            .last_started
            .is_none_or(|recorded| now.since(recorded) >= Millis(self.retention.0 / 2))
        {
            self.task_log.last_started = Some(now);
            self.journal.push(Record::Started);
        }
    }

    /// Records, for each task whose whole state is in the batch, when it was written.
    fn track_task_ages(&mut self, now: Millis, time: u64, batch: &Batch) {
        let age = Millis(self.wall_time(now).saturating_sub(time));
        for record in &batch.records {
            match record {
                Record::Accepted(spec) => self.retained_tasks.written(now, &spec.task, age),
                Record::Restated(restated) => {
                    self.retained_tasks.written(now, &restated.spec.task, age);
                }
                _ => {}
            }
        }
    }

    /// Restates tasks whose records are about to expire.
    fn restate_tasks(&mut self, now: Millis) {
        let mut due = Vec::new();
        self.retained_tasks
            .poll(now, &self.live_hosts, MAX_RESTATED, &mut due);
        for id in due {
            match self.ledger.restate(&id) {
                Some(restated) => self.journal.push(Record::Restated(Box::new(restated))),
                None => self.retained_tasks.forget(&id),
            }
        }
    }

    /// Issues the starts and commands that are due, queues records (claims, suspicions,
    /// restatements), and issues the next append.
    pub(super) fn poll_tasks(&mut self, now: Millis, out: &mut Vec<Action>) {
        let can_claim = can_claim(now, &self.task_log, &self.journal, self.draining);
        let view = dispatch_view!(self, can_claim);
        let mut actions = Vec::new();
        self.dispatcher.poll(now, &view, &mut actions);
        self.run_dispatch_actions(now, actions, out);
        self.poll_suspicions(now);
        if can_claim {
            self.restate_tasks(now);
            self.record_started(now);
        }
        if let Some(batch) = self.journal.poll(now) {
            match bincode::serde::encode_to_vec(&batch, bincode::config::standard()) {
                Ok(data) => out.push(Action::Append {
                    stream: Stream::Tasks,
                    sequence: batch.sequence,
                    data,
                }),
                Err(error) => tracing::error!(%error, "cannot encode a batch"),
            }
        }
    }

    /// Queues the records about workers that may be lost.
    fn poll_suspicions(&mut self, now: Millis) {
        if !can_claim(now, &self.task_log, &self.journal, self.draining) {
            return;
        }
        let mut records: Vec<Record> = Vec::new();
        let open: Vec<OpenSuspicion> = self
            .ledger
            .open_suspicions()
            .map(|(worker, suspicion)| OpenSuspicion {
                worker: worker.clone(),
                host: suspicion.host.clone(),
                offset: suspicion.offset,
                read_at: suspicion.read_time,
            })
            .collect();
        let claimed: Vec<Name> = self.ledger.claimed_workers().cloned().collect();
        self.suspicions.poll(
            now,
            &self.membership,
            &self.leases,
            &open,
            &claimed,
            &mut records,
        );
        for record in records {
            self.journal.push(record);
        }
    }
}
