//! The task stream: reading, appending, claiming and restating.

use super::action::{Action, Stream};
use super::node::{Identity, Node};
use crate::base::{Millis, Name, Offset};
use crate::connection::Error;
use crate::connection::wire::{LogRecord, ReadReply, RelayedRecord};
use crate::process::{OpenSuspicion, telemetry};
use crate::version::{
    AppendOutcome, Batch, Journal, Record, RequeueReason, TaskChange, TaskResult,
};

type Result<T> = std::result::Result<T, Error>;

/// Claims are proposed only if the stream was read this recently.
const FRESH: Millis = Millis(2_000);
/// Tasks stated again per poll; 12,000 tasks take 6 s at 10 polls a second.
const MAX_RESTATED: usize = 200;
/// Raw records kept for peers that cannot read the log.
const MAX_RELAYED: usize = 512;

/// Progress of reading the task stream.
#[derive(Debug, Default)]
pub(super) struct Tail {
    /// Time of the last successful read, direct or through a peer.
    pub read: Option<Millis>,
    /// Time before the last successful read without a peer was sent.
    pub direct: Option<Millis>,
    /// End of the stream when this process first read it.
    pub target: Option<Offset>,
    /// Whether everything below `target` was read.
    pub caught_up: bool,
    /// Whether the stream names a former process of this host.
    pub had_former: bool,
    /// When the journal last took a `Started` record.
    pub told: Option<Millis>,
    /// Whether the last read failed.
    pub failing: bool,
    /// Offsets that expired before this process read them.
    pub skipped: u64,
    /// Batches that could not be decoded.
    pub malformed: u64,
    /// When the process was asked to stop.
    pub drained: Option<Millis>,
}

/// Whether new claims may be proposed.
pub(super) fn can_claim(now: Millis, tail: &Tail, journal: &Journal, draining: bool) -> bool {
    let is_fresh = tail.read.is_some_and(|read| now.since(read) <= FRESH);
    is_fresh && tail.caught_up && journal.is_healthy() && !draining
}

/// Borrows only the fields of the node that the dispatcher reads beside its own.
macro_rules! dispatch_view {
    ($node:ident, $can_claim:expr) => {
        $crate::request::DispatchView {
            ledger: &$node.ledger,
            hosts: &$node.live,
            services: &$node.services,
            slow_services: &$node.slow,
            quotas: &$node.quotas,
            can_claim: $can_claim,
        }
    };
}
pub(super) use dispatch_view;

impl Node {
    pub(super) fn stream_read(
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
                self.tail.failing = true;
                return;
            }
        };
        match stream {
            Stream::Contracts => self.contracts_read(now, &reply, out),
            Stream::Tasks => self.tasks_read(now, sent, reply, out),
        }
    }

    fn tasks_read(&mut self, now: Millis, sent: Millis, reply: ReadReply, out: &mut Vec<Action>) {
        self.tail.failing = false;
        let target = *self.tail.target.get_or_insert(reply.next);
        if reply.first > self.ledger.next() {
            self.tail.skipped += reply.first.0 - self.ledger.next().0;
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
        self.tail.read = Some(now);
        self.tail.direct = Some(sent);
        if self.ledger.next() >= reply.next {
            self.membership.log_read(now, sent, self.ledger.next());
        }
        if !self.tail.caught_up && self.ledger.next() >= target {
            tracing::info!(tasks = self.ledger.len(), "read the task stream to its end");
            self.tail.caught_up = true;
            if !self.tail.had_former {
                self.urgent.set_first_incarnation();
            }
        }
    }

    /// Applies a batch of the task stream, read directly or through a peer.
    pub(super) fn apply(&mut self, now: Millis, record: RelayedRecord, out: &mut Vec<Action>) {
        if record.offset < self.ledger.next() {
            return;
        }
        match bincode::serde::decode_from_slice::<Batch, _>(
            &record.data,
            bincode::config::standard(),
        ) {
            Ok((batch, _)) => {
                self.journal.confirm(&batch);
                self.note_former(&batch);
                self.retain_tasks(now, record.time, &batch);
                let changes = self.ledger.apply(record.offset, record.time, now, &batch);
                for change in changes {
                    self.changed(now, &change, out);
                }
            }
            Err(error) => {
                tracing::warn!(offset = record.offset.0, %error, "skipping a malformed batch");
                self.tail.malformed += 1;
                self.ledger.skip_to(record.offset.next());
            }
        }
        self.relayed.push_back(record);
        if self.relayed.len() > MAX_RELAYED {
            self.relayed.pop_front();
        }
    }

    fn changed(&mut self, now: Millis, change: &TaskChange, out: &mut Vec<Action>) {
        match change {
            TaskChange::Accepted { task } => self.task_accepted(now, task, out),
            TaskChange::Pending { task, reason } => {
                tracing::info!(%task, ?reason, "attempt ended, the task waits again");
                if matches!(reason, RequeueReason::Checkpointed) {
                    telemetry::evicted("checkpoint");
                }
                if matches!(reason, RequeueReason::WatcherEnded) {
                    tracing::warn!(%task, "a watcher stopped and is started again");
                }
            }
            TaskChange::Done { task, result } => {
                self.retained_tasks.forget(task);
                tracing::info!(%task, ?result, "task ended");
                self.task_done(now, task, *result);
            }
            TaskChange::Claimed { .. } | TaskChange::CancelRequested { .. } => {}
        }
    }

    fn task_done(&mut self, now: Millis, task: &crate::base::TaskId, result: TaskResult) {
        let Some(class) = self.ledger.task(task).map(|task| task.spec.class.clone()) else {
            return;
        };
        if result != TaskResult::Cancelled {
            let good = result == TaskResult::Succeeded;
            self.burn.observe(now, &task.customer, &class, good);
        }
    }

    pub(super) fn appended(
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
        telemetry::appended(label, now.since(sent));
        if let Err(error) = &result {
            tracing::warn!(?stream, %error, label, "append failed");
        }
        match stream {
            Stream::Tasks => {
                if outcome == AppendOutcome::Unknown {
                    self.doubt_submissions();
                }
                self.journal.appended(now, sequence, outcome);
            }
            Stream::Contracts => self.contract_appended(now, sequence, outcome, out),
        }
    }

    /// Takes note of a former process under this host's name.
    fn note_former(&mut self, batch: &Batch) {
        let Identity {
            host, incarnation, ..
        } = &self.identity;
        self.tail.had_former |= batch.host == *host && batch.incarnation != *incarnation;
    }

    /// Tells on the log that this process runs, at half the retention again.
    fn tell_started(&mut self, now: Millis) {
        if self
            .tail
            .told
            .is_none_or(|told| now.since(told) >= Millis(self.retention.0 / 2))
        {
            self.tail.told = Some(now);
            self.journal.push(Record::Started);
        }
    }

    /// Takes note of when the whole state of a task was last written.
    fn retain_tasks(&mut self, now: Millis, time: u64, batch: &Batch) {
        let age = Millis(self.wall(now).saturating_sub(time));
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

    /// States tasks again whose records are about to expire.
    fn restate_tasks(&mut self, now: Millis) {
        let mut due = Vec::new();
        self.retained_tasks
            .poll(now, &self.live, MAX_RESTATED, &mut due);
        for id in due {
            match self.ledger.restate(&id) {
                Some(restated) => self.journal.push(Record::Restated(Box::new(restated))),
                None => self.retained_tasks.forget(&id),
            }
        }
    }

    /// Starts, claims, suspicions and restatements that are due, then the next append.
    pub(super) fn poll_tasks(&mut self, now: Millis, out: &mut Vec<Action>) {
        let can_claim = can_claim(now, &self.tail, &self.journal, self.draining);
        let view = dispatch_view!(self, can_claim);
        let mut actions = Vec::new();
        self.dispatcher.poll(now, &view, &mut actions);
        self.dispatch(now, actions, out);
        self.poll_suspicions(now);
        if can_claim {
            self.restate_tasks(now);
            self.tell_started(now);
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

    fn poll_suspicions(&mut self, now: Millis) {
        if !can_claim(now, &self.tail, &self.journal, self.draining) {
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
