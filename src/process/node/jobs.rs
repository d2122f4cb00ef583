//! Job calls: submission, state, list and cancellation. A job has a home data centre, whose task
//! stream holds it; calls about jobs of other data centres are passed on.

use super::action::Action;
use super::node::Node;
use super::peers::PeerPurpose;
use crate::base::{Millis, Name, Ran, TaskId, rank, top_ranked};
use crate::connection::wire::{
    Answer, JobCall, JobState, JobSubmission, PeerReply, PeerRequest, TaskSummary,
};
use crate::connection::{ApiResponse, ContentKind, Error};
use crate::version::{Class, Phase, Record, Task, TaskResult, TaskSpec, Urgency};

/// Time limit of a job call that is passed on to a peer.
const JOB_CALL_TIMEOUT: Millis = Millis(8_000);
/// Age of the last read of the task stream above which changes to jobs are refused.
const MAX_LOG_AGE: Millis = Millis(5_000);
/// Number of pending tasks in the data centre from which on submissions are refused.
const MAX_PENDING_TASKS: usize = 200_000;
/// Longest job name in bytes.
const MAX_JOB_NAME: usize = 128;

/// A submitted job whose records were not all read back from the log yet.
#[derive(Debug)]
pub(super) struct Submission {
    pub origin: Origin,
    pub customer: Name,
    pub job: Name,
    pub tasks: u32,
    /// Time at which the caller gets an answer even if the log has not confirmed the job.
    pub deadline: Millis,
    /// Whether an append that may contain its records ended with an unknown outcome.
    pub is_uncertain: bool,
}

impl Submission {
    /// Whether the record accepts a task of this job.
    fn owns_record(&self, record: &Record) -> bool {
        match record {
            Record::Accepted(spec) => {
                spec.task.customer == self.customer && spec.task.job == self.job
            }
            _ => false,
        }
    }
}

/// The API call or peer call, by ticket, that waits for the answer to a job call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Origin {
    Api(u64),
    Peer(u64),
}

impl Node {
    /// Handles `POST /v1/jobs`.
    pub(super) fn submit_job(
        &mut self,
        now: Millis,
        ticket: u64,
        body: &[u8],
        out: &mut Vec<Action>,
    ) {
        match serde_json::from_slice::<JobSubmission>(body) {
            Ok(submission) => self.route_job(now, ticket, JobCall::Submit(submission), out),
            Err(error) => {
                let response = ApiResponse::error(400, "bad_job", None, error, Some(Ran::NotRun));
                out.push(Action::Respond { ticket, response });
            }
        }
    }

    /// Handles a job call here if the job's home is this data centre and this host reaches the log,
    /// and passes it to a peer otherwise. If there is no such peer, a host of the home data centre
    /// handles the call itself.
    pub(super) fn route_job(
        &mut self,
        now: Millis,
        ticket: u64,
        call: JobCall,
        out: &mut Vec<Action>,
    ) {
        let home = match self.home_data_centre(&call) {
            Ok(home) => home,
            Err(response) => return out.push(Action::Respond { ticket, response }),
        };
        let is_home = home == self.identity.data_centre;
        if is_home && self.has_log_access(now, MAX_LOG_AGE) {
            return self.handle_job_call(now, Origin::Api(ticket), call, out);
        }
        let Some(host) = self.home_host(now, &home, &call) else {
            if is_home {
                return self.handle_job_call(now, Origin::Api(ticket), call, out);
            }
            let reason = format!("no entry host of the job's data centre {home} is reachable");
            let response =
                ApiResponse::error(503, "home_unreachable", None, reason, Some(Ran::NotRun));
            return out.push(Action::Respond { ticket, response });
        };
        let purpose = PeerPurpose::Job {
            ticket,
            host: host.clone(),
        };
        self.call_peer(host, PeerRequest::Job(call), JOB_CALL_TIMEOUT, purpose, out);
    }

    /// Handles a job call that a peer passed on.
    pub(super) fn on_job_call(
        &mut self,
        now: Millis,
        ticket: u64,
        call: JobCall,
        out: &mut Vec<Action>,
    ) {
        self.handle_job_call(now, Origin::Peer(ticket), call, out);
    }

    /// Answers the caller of a job call that was passed to a peer.
    pub(super) fn on_job_answer(
        &mut self,
        ticket: u64,
        result: Result<PeerReply, Error>,
        out: &mut Vec<Action>,
    ) {
        let response = match result {
            Ok(PeerReply::Answer(answer)) => ApiResponse {
                status: answer.status,
                kind: ContentKind::Json,
                body: answer.body,
            },
            Err(error) if error.is_without_effect() => {
                ApiResponse::error(503, "home_unreachable", None, error, Some(Ran::NotRun))
            }
            Ok(_) => {
                let reason = "the entry host at the job's data centre is not serving";
                ApiResponse::error(503, "home_unreachable", None, reason, Some(Ran::NotRun))
            }
            Err(error) => {
                let reason = format!("{error}; send the same job again to learn its state");
                ApiResponse::error(504, "unknown_outcome", None, reason, Some(Ran::Unknown))
            }
        };
        out.push(Action::Respond { ticket, response });
    }

    /// The data centre whose task stream holds the job. A list covers the local data centre only.
    fn home_data_centre(&self, call: &JobCall) -> Result<Name, ApiResponse> {
        let (customer, job) = match call {
            JobCall::Submit(submission) => (&submission.customer, &submission.job),
            JobCall::State { customer, job } | JobCall::Cancel { customer, job } => (customer, job),
            JobCall::List { .. } => return Ok(self.identity.data_centre.clone()),
        };
        let Some(current) = self.contracts.get(customer) else {
            let reason = format!("customer {customer:?} has no contract in force");
            let ran = Some(Ran::NotRun);
            return Err(ApiResponse::error(
                404,
                "unknown_customer",
                Some("customer"),
                reason,
                ran,
            ));
        };
        let key = format!("{customer}/{job}");
        let home = top_ranked(&key, &current.contract.data_centres);
        Ok(home.unwrap_or(&self.identity.data_centre).clone())
    }

    /// A live entry host of `home` other than this one; equal calls go to the same host.
    fn home_host(&self, now: Millis, home: &Name, call: &JobCall) -> Option<Name> {
        let key = format!("{call:?}");
        let hosts = if *home == self.identity.data_centre {
            self.membership.up_to_date_hosts(now)
        } else {
            self.live_in(now, home)
        };
        let others: Vec<Name> = hosts
            .into_iter()
            .filter(|host| *host != self.identity.host)
            .collect();
        rank(&key, &others).first().map(|host| (*host).clone())
    }

    fn handle_job_call(
        &mut self,
        now: Millis,
        origin: Origin,
        call: JobCall,
        out: &mut Vec<Action>,
    ) {
        match call {
            JobCall::Submit(submission) => match self.accept_job(now, &submission) {
                Ok(()) => {
                    let JobSubmission {
                        customer,
                        job,
                        tasks,
                        ..
                    } = submission;
                    let deadline = now + self.timing.append_timeout;
                    let pending = Submission {
                        origin,
                        customer,
                        job,
                        tasks,
                        deadline,
                        is_uncertain: false,
                    };
                    self.submissions.push(pending);
                    self.answer_accepted(now, out);
                }
                Err(response) => send_answer(origin, response, out),
            },
            JobCall::State { customer, job } => {
                let response = self.job_response(now, 200, &customer, &job);
                send_answer(origin, response, out);
            }
            JobCall::Cancel { customer, job } => {
                let response = self.cancel_job(now, &customer, &job);
                send_answer(origin, response, out);
            }
            JobCall::List { customer } => {
                let response = ApiResponse::json(200, &self.job_list(now, &customer));
                send_answer(origin, response, out);
            }
        }
    }

    /// Checks a submission and queues a record for each task that the ledger does not have yet.
    fn accept_job(&mut self, now: Millis, submission: &JobSubmission) -> Result<(), ApiResponse> {
        let class = self.check_submission(submission)?;
        if self.draining {
            return Err(refuse(503, "draining", None, "this host is stopping"));
        }
        if !self.has_read_log(now, MAX_LOG_AGE) || !self.task_log.caught_up {
            let reason = "the log cannot be reached; the job was not accepted";
            return Err(refuse(503, "log_unavailable", None, reason));
        }
        if self.ledger.pending_count() >= MAX_PENDING_TASKS {
            let reason = format!("{MAX_PENDING_TASKS} tasks are waiting in this data centre");
            return Err(refuse(429, "too_many_tasks", None, reason));
        }
        let accepted = self.wall_time(now);
        for index in 0..submission.tasks {
            let task = TaskId::new(submission.customer.clone(), submission.job.clone(), index);
            if self.ledger.task(&task).is_some() {
                continue;
            }
            let spec = TaskSpec {
                task,
                class: class.name.clone(),
                size: submission.size,
                run: submission.run,
                priority: priority(class.urgency),
                max_attempts: class.max_attempts,
                at_most_once: class.at_most_once,
                watcher: class.urgency == Urgency::Watcher,
                accepted,
            };
            self.journal.push(Record::Accepted(Box::new(spec)));
        }
        Ok(())
    }

    /// Validates a submission against the contract and the ledger; returns its class.
    fn check_submission(&self, submission: &JobSubmission) -> Result<Class, ApiResponse> {
        let JobSubmission {
            customer,
            class,
            job,
            tasks,
            size,
            ..
        } = submission;
        if !is_job_name(job) {
            let reason = format!(
                "a job name has 1 to {MAX_JOB_NAME} letters, digits, dots, dashes or underscores"
            );
            return Err(refuse(400, "bad_job", Some("job"), reason));
        }
        let Some(current) = self.contracts.get(customer) else {
            let reason = format!("customer {customer:?} has no contract in force");
            return Err(refuse(404, "unknown_customer", Some("customer"), reason));
        };
        let classes = &current.contract.classes;
        let Some(found) = classes.iter().find(|known| known.name == *class) else {
            let reason = format!("the contract of {customer:?} has no class {class:?}");
            return Err(refuse(404, "unknown_class", Some("class"), reason));
        };
        if found.service.is_some() {
            let reason = format!("class {class:?} is answered by a service; send it as a request");
            return Err(refuse(400, "not_batch", Some("class"), reason));
        }
        let limit = self.limits.tasks;
        if *tasks == 0 || *tasks > limit {
            let reason = format!("{tasks} is not in 1..={limit}");
            return Err(refuse(400, "bad_job", Some("tasks"), reason));
        }
        if size.processors == 0 && size.memory == 0 && size.accelerators == 0 {
            return Err(refuse(400, "bad_job", Some("size"), "the size is zero"));
        }
        let quota = self
            .quotas
            .get(customer)
            .copied()
            .unwrap_or(current.contract.quota);
        if !size.fits(&quota) {
            let reason = format!("one task of {size:?} exceeds the quota {quota:?} here");
            return Err(refuse(400, "over_quota", Some("size"), reason));
        }
        let known = self.ledger.job(customer, job).next();
        if known.is_some_and(|(_, task)| task.spec.class != *class || task.spec.size != *size) {
            let reason = format!("job {job:?} exists with another class or size");
            return Err(refuse(409, "job_exists", Some("job"), reason));
        }
        Ok(found.clone())
    }

    pub(super) fn on_task_accepted(&mut self, now: Millis, task: &TaskId, out: &mut Vec<Action>) {
        let is_awaited = self
            .submissions
            .iter()
            .any(|pending| pending.customer == task.customer && pending.job == task.job);
        if is_awaited {
            self.answer_accepted(now, out);
        }
    }

    /// Answers the submissions whose tasks were all read back from the log.
    fn answer_accepted(&mut self, now: Millis, out: &mut Vec<Action>) {
        let ledger = &self.ledger;
        let (done, pending) = std::mem::take(&mut self.submissions).into_iter().partition(
            |submission: &Submission| {
                ledger.job(&submission.customer, &submission.job).count()
                    >= submission.tasks as usize
            },
        );
        self.submissions = pending;
        let done: Vec<Submission> = done;
        for submission in done {
            let response = self.job_response(now, 202, &submission.customer, &submission.job);
            send_answer(submission.origin, response, out);
        }
    }

    /// Answers the submissions that the log did not confirm in time.
    pub(super) fn poll_jobs(&mut self, now: Millis, out: &mut Vec<Action>) {
        while let Some(index) = self
            .submissions
            .iter()
            .position(|submission| self.is_late(now, submission))
        {
            let submission = self.submissions.swap_remove(index);
            let response = self.expire_submission(&submission);
            send_answer(submission.origin, response, out);
        }
    }

    /// Whether a submission has to be answered now. If an append may contain its records, the
    /// deadline moves by the longest time that an append takes, so that its outcome counts.
    fn is_late(&self, now: Millis, submission: &Submission) -> bool {
        let is_appending = || {
            self.journal
                .may_be_logged(|record| submission.owns_record(record))
        };
        let last = submission.deadline + self.timing.append_timeout;
        submission.deadline <= now && (last <= now || !is_appending())
    }

    /// Marks all submissions after an append with an unknown outcome, which may contain any of
    /// their records.
    pub(super) fn mark_submissions_uncertain(&mut self) {
        for submission in &mut self.submissions {
            submission.is_uncertain = true;
        }
    }

    /// Withdraws the queued records of a submission and returns its answer. The answer is "not run"
    /// only if no append that may have taken effect contained a record of the job.
    fn expire_submission(&mut self, submission: &Submission) -> ApiResponse {
        let withdrawn = self
            .journal
            .withdraw(|record| submission.owns_record(record));
        if withdrawn == submission.tasks as usize && !submission.is_uncertain {
            let reason = "the log does not accept records; the job was not accepted";
            return refuse(503, "log_unavailable", None, reason);
        }
        let reason = "the log did not confirm the job in time; send it again to learn its state";
        ApiResponse::error(504, "unknown_outcome", None, reason, Some(Ran::Unknown))
    }

    fn cancel_job(&mut self, now: Millis, customer: &Name, job: &Name) -> ApiResponse {
        let tasks: Vec<TaskId> = self
            .ledger
            .job(customer, job)
            .filter(|(_, task)| !task.is_done() && !task.cancelled)
            .map(|(id, _)| id.clone())
            .collect();
        if !tasks.is_empty() && !self.has_read_log(now, MAX_LOG_AGE) {
            let reason = "the log cannot be reached; the job was not cancelled";
            return ApiResponse::error(503, "log_unavailable", None, reason, None);
        }
        for task in tasks {
            self.journal.push(Record::CancelRequested { task });
        }
        self.job_response(now, 202, customer, job)
    }

    fn job_response(&self, now: Millis, status: u16, customer: &Name, job: &Name) -> ApiResponse {
        match self.job_state(now, customer, job) {
            Some(state) => ApiResponse::json(status, &state),
            None => {
                let reason = format!("customer {customer:?} has no job {job:?}");
                ApiResponse::error(404, "unknown_job", Some("job"), reason, None)
            }
        }
    }

    fn job_list(&self, now: Millis, customer: &Name) -> Vec<JobState> {
        let mut jobs: Vec<Name> = Vec::new();
        for (id, _) in self
            .ledger
            .iter()
            .filter(|(id, _)| id.customer == *customer)
        {
            if jobs.last() != Some(&id.job) {
                jobs.push(id.job.clone());
            }
        }
        jobs.iter()
            .filter_map(|job| self.job_state(now, customer, job))
            .collect()
    }

    fn job_state(&self, now: Millis, customer: &Name, job: &Name) -> Option<JobState> {
        let tasks: Vec<(&TaskId, &Task)> = self.ledger.job(customer, job).collect();
        let class = tasks.first()?.1.spec.class.clone();
        let tasks = tasks
            .into_iter()
            .map(|(id, task)| self.task_summary(now, id, task))
            .collect();
        Some(JobState {
            customer: customer.clone(),
            job: job.clone(),
            class,
            tasks,
        })
    }

    fn task_summary(&self, now: Millis, id: &TaskId, task: &Task) -> TaskSummary {
        let (attempt, state, worker) = match &task.phase {
            Phase::Pending { next } => (*next, "pending", None),
            Phase::Claimed {
                attempt, worker, ..
            } => (*attempt, "claimed", Some(worker.clone())),
            Phase::Done { attempt, result } => (*attempt, result_name(*result), None),
        };
        let reason = self.blocked_reason(now, id);
        TaskSummary {
            index: id.index,
            attempt,
            state: state.into(),
            worker,
            reason,
        }
    }
}

/// Sends the answer to a job call to whoever made it.
fn send_answer(origin: Origin, response: ApiResponse, out: &mut Vec<Action>) {
    match origin {
        Origin::Api(ticket) => out.push(Action::Respond { ticket, response }),
        Origin::Peer(ticket) => {
            let answer = Answer {
                status: response.status,
                ran: None,
                body: response.body,
            };
            out.push(Action::ReplyPeer {
                ticket,
                reply: PeerReply::Answer(answer),
            });
        }
    }
}

fn refuse(status: u16, error: &str, field: Option<&str>, reason: impl ToString) -> ApiResponse {
    ApiResponse::error(status, error, field, reason, Some(Ran::NotRun))
}

/// Priority of the tasks of a class; lower ones run first.
fn priority(urgency: Urgency) -> u8 {
    match urgency {
        Urgency::Urgent => 0,
        Urgency::Watcher => 1,
        Urgency::Deferrable => 2,
        Urgency::Background => 3,
    }
}

fn result_name(result: TaskResult) -> &'static str {
    match result {
        TaskResult::Succeeded => "succeeded",
        TaskResult::Failed => "failed",
        TaskResult::Cancelled => "cancelled",
        TaskResult::Unknown => "unknown",
    }
}

fn is_job_name(name: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '-' | '_');
    !name.is_empty() && name.len() <= MAX_JOB_NAME && name.chars().all(is_allowed)
}
