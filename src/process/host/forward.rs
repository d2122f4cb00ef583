//! Client requests, which this host forwards to the shard's owner and answers.

use std::sync::Arc;

use super::host::{Host, HostAction, PeerPurpose};
use super::message::PeerReply;
use super::request_form::SentRequest;
use super::verdict::{Attempts, Verdict, judge};
use crate::base::Millis;
use crate::connection::{CallError, FrontReply, FrontRequest};
use crate::platform::{ClientCall, decode_client, encode_backlog, encode_job_state};
use crate::process::shard::{Now, Reply, Request, ShardEvent};
use crate::process::telemetry;
use crate::version::QueueRef;

/// How long a client waits if its request does not say so, in milliseconds.
const DEFAULT_WAIT_TIME: Millis = Millis(3_000);
/// The longest time that a client can ask for, in milliseconds: a host keeps the request for as long. Clients wait for some
/// seconds.
const MAX_WAIT_TIME: Millis = Millis(30_000);
/// Part of the client's waiting time that is reserved for the answer's way back, in milliseconds; half of a shorter
/// one.
const ANSWER_RESERVE_TIME: Millis = Millis(200);
/// A request whose client waits for less than this is refused at once, in milliseconds: the owner's answer would come
/// too late, and nobody would know whether it was carried out.
const MIN_WAIT_TIME: Millis = Millis(100);
/// Timeout of one attempt to reach the owner, in milliseconds. A submission is stored within some
/// 50 ms, or a few hundred if the store is slow.
const ATTEMPT_TIME: Millis = Millis(1_500);
/// Pause before the next attempt, in milliseconds.
const RETRY_TIME: Millis = Millis(80);
/// Pause before a request is repeated whose earlier attempt is uncertain, after an owner that has not read the records
/// yet, in milliseconds. Reading them takes 50 ms, or a second if the store is slow; each attempt carries the whole job.
const LOADING_RETRY_TIME: Millis = Millis(250);
/// Characters of what a client has sent in a log line.
const MAX_LOGGED: usize = 100;
/// Seconds after which a client should retry if there is no owner. A new owner serves within this
/// time.
const OWNER_RETRY_SECONDS: u32 = 1;

/// Who waits for the shard's answer, with the ticket of the request.
#[derive(Debug, Clone, Copy)]
pub(super) enum Origin {
    Client(u64),
    Peer(u64),
}

/// A client request that this host has not answered.
#[derive(Debug, Clone)]
pub(super) struct PendingRequest {
    request: Request,
    deadline: Millis,
    /// When the next attempt is due; `None` while one is in progress.
    retry_at: Option<Millis>,
    attempts: Attempts,
    arrived: Millis,
}

impl Host {
    pub(super) fn handle_client(
        &mut self,
        now: Now,
        ticket: u64,
        request: &FrontRequest,
        out: &mut Vec<HostAction>,
    ) {
        if self.config.version == 0 {
            let reply = refusal(503, OWNER_RETRY_SECONDS);
            out.push(HostAction::Answer(ticket, reply));
            return;
        }
        let config = self.config.clone();
        let Some((queue, rest)) = config.find(&request.host, &request.path) else {
            out.push(HostAction::Answer(ticket, FrontReply::status(404)));
            return;
        };
        let decoded = match decode_client(request, rest) {
            Ok(decoded) => decoded,
            Err(error) => {
                self.log_invalid(&request.path, &error);
                out.push(HostAction::Answer(ticket, FrontReply::status(400)));
                return;
            }
        };
        let queue = QueueRef::Matched {
            version: config.version,
            queue: Arc::new(queue.clone()),
        };
        let request = match decoded.call {
            ClientCall::Submit(job, spec) => Request::Submit {
                job,
                queue,
                spec: Arc::new(spec),
            },
            ClientCall::State(job) => Request::State { job, queue },
            ClientCall::Cancel(job) => Request::Cancel { job, queue },
            ClientCall::Backlog => Request::Backlog { queue },
            ClientCall::Unknown => {
                out.push(HostAction::Answer(ticket, FrontReply::status(405)));
                return;
            }
        };
        let wait = decoded
            .wait
            .map_or(DEFAULT_WAIT_TIME, Millis)
            .min(MAX_WAIT_TIME);
        if wait < MIN_WAIT_TIME {
            tracing::info!(request = ?describe(&request), wait = wait.0, "request refused: its client waits for too short a time");
            out.push(HostAction::Answer(
                ticket,
                refusal(503, OWNER_RETRY_SECONDS),
            ));
            return;
        }
        let reserve = ANSWER_RESERVE_TIME.min(Millis(wait.0 / 2));
        let pending = PendingRequest {
            request,
            deadline: now.steady + wait.since(reserve),
            retry_at: None,
            attempts: Attempts::default(),
            arrived: now.steady,
        };
        self.pending_requests.insert(ticket, pending);
        self.send_to_owner(now, ticket, out);
    }

    /// Logs the first, second, fourth, eighth and so on invalid request, with the beginning of its path.
    fn log_invalid(&self, path: &str, error: &crate::platform::Error) {
        if let Some(count) = self.invalid_requests.add(1) {
            let path: String = path.chars().take(MAX_LOGGED).collect();
            let error: String = error.to_string().chars().take(MAX_LOGGED).collect();
            tracing::info!(path, error, count, "invalid request");
        }
    }

    /// Passes the request to the own shard or sends it to the owner; without an owner, schedules
    /// the next attempt.
    fn send_to_owner(&mut self, now: Now, ticket: u64, out: &mut Vec<HostAction>) {
        let address = self.owner_address();
        let Some(pending) = self.pending_requests.get_mut(&ticket) else {
            return;
        };
        pending.retry_at = None;
        let request = pending.request.clone();
        if self.shard.is_some() {
            self.ask_shard(now, Origin::Client(ticket), request, out);
            return;
        }
        let Some(address) = address else {
            pending.retry_at = Some(now.steady + RETRY_TIME);
            return;
        };
        let left = pending.deadline.since(now.steady);
        let boot = self.owner.as_ref().map_or(0, |owner| owner.boot);
        let (sent, message) = self.request_form.call(now.steady, boot, ticket, request);
        let purpose = PeerPurpose::Forward(sent);
        self.call_peer(purpose, address, message, left.min(ATTEMPT_TIME), out);
    }

    /// Passes a request to the shard that this host owns.
    pub(super) fn ask_shard(
        &mut self,
        now: Now,
        origin: Origin,
        request: Request,
        out: &mut Vec<HostAction>,
    ) {
        let id = self.new_id();
        self.origins.insert(id, origin);
        let epoch = self.shard.as_ref().map_or(0, |shard| shard.epoch());
        self.shard_event(now, epoch, ShardEvent::Request(id, request), out);
    }

    pub(super) fn shard_reply(
        &mut self,
        now: Now,
        id: u64,
        reply: Reply,
        out: &mut Vec<HostAction>,
    ) {
        match self.origins.remove(&id) {
            Some(Origin::Peer(ticket)) => {
                out.push(HostAction::PeerReply(ticket, PeerReply::Shard(reply)));
            }
            Some(Origin::Client(ticket)) => self.answer_client(now, ticket, reply, out),
            None => {}
        }
    }

    pub(super) fn handle_forward_answer(
        &mut self,
        now: Now,
        request: SentRequest,
        answer: Result<PeerReply, CallError>,
        out: &mut Vec<HostAction>,
    ) {
        let SentRequest { ticket, sent, .. } = request;
        match &answer {
            Ok(_) => self.request_form.answered(request),
            Err(CallError::NoAnswer) => self.request_form.closed(now.steady, request),
            Err(_) => {}
        }
        let outcome = match answer {
            Ok(PeerReply::Shard(reply)) => {
                self.answer_client(now, ticket, reply, out);
                return;
            }
            Ok(PeerReply::NotOwner { owner }) => {
                if let Some(reported) = owner {
                    self.update_owner(now, &reported, Some(sent), out);
                }
                Attempts::NotDone
            }
            Err(CallError::NotSent | CallError::Refused) => Attempts::NotDone,
            Ok(_) | Err(CallError::NoAnswer | CallError::Malformed) => Attempts::Uncertain,
        };
        if let Some(pending) = self.pending_requests.get_mut(&ticket) {
            pending.attempts = pending.attempts.and(outcome);
            pending.retry_at = Some(now.steady + RETRY_TIME);
        }
    }

    /// Answers the client if the owner's reply tells what became of all attempts, or plans the next attempt.
    fn answer_client(&mut self, now: Now, ticket: u64, reply: Reply, out: &mut Vec<HostAction>) {
        let Some(pending) = self.pending_requests.get_mut(&ticket) else {
            return;
        };
        let answer = match judge(pending.attempts, reply) {
            Verdict::Holds => front_reply(reply),
            Verdict::Unknown => FrontReply::status(504),
            Verdict::AskAgain => {
                telemetry::count_asked_again();
                pending.retry_at = Some(now.steady + LOADING_RETRY_TIME);
                return;
            }
        };
        if let Request::Submit { job, queue, .. } = &pending.request {
            let status = answer.status;
            tracing::info!(%job, queue = %queue.name(), status, "submission answered");
        }
        self.pending_requests.remove(&ticket);
        out.push(HostAction::Answer(ticket, answer));
    }

    /// Called when this host gives up the shard: requests that the shard has not answered go to the
    /// next owner. Their outcome is unknown.
    pub(super) fn release_requests(&mut self, now: Now, out: &mut Vec<HostAction>) {
        for (_, origin) in std::mem::take(&mut self.origins) {
            match origin {
                Origin::Peer(ticket) => {
                    out.push(HostAction::PeerReply(ticket, PeerReply::Unknown));
                }
                Origin::Client(ticket) => {
                    if let Some(pending) = self.pending_requests.get_mut(&ticket) {
                        pending.attempts = Attempts::Uncertain;
                        pending.retry_at = Some(now.steady);
                    }
                }
            }
        }
    }

    /// Retries the requests that are due and answers those whose deadline has passed.
    pub(super) fn poll_pending_requests(&mut self, now: Now, out: &mut Vec<HostAction>) {
        let mut due = Vec::new();
        let mut expired = Vec::new();
        let must_answer_all = self
            .answer_deadline()
            .is_some_and(|limit| limit <= now.steady);
        for (ticket, pending) in &self.pending_requests {
            if must_answer_all || pending.deadline <= now.steady {
                expired.push(*ticket);
            } else if pending.retry_at.is_some_and(|at| at <= now.steady) {
                due.push(*ticket);
            }
        }
        for ticket in due {
            self.send_to_owner(now, ticket, out);
        }
        for ticket in expired {
            let Some(pending) = self.pending_requests.remove(&ticket) else {
                continue;
            };
            let is_open = pending.retry_at.is_none();
            let may_have_run = is_open || pending.attempts == Attempts::Uncertain;
            let waited = now.steady.since(pending.arrived).0;
            tracing::warn!(request = ?describe(&pending.request), may_have_run, waited, "no owner answered in time");
            let reply = match may_have_run {
                true => FrontReply::status(504),
                false => refusal(503, OWNER_RETRY_SECONDS),
            };
            out.push(HostAction::Answer(ticket, reply));
        }
    }
}

/// The answer to a client for whom the owner's reply is true.
fn front_reply(reply: Reply) -> FrontReply {
    let with_body = |body| FrontReply {
        status: 200,
        body,
        retry_after: None,
    };
    match reply {
        Reply::Accepted | Reply::Cancelled => FrontReply::status(200),
        Reply::Refused { retry_after } => refusal(503, retry_after),
        Reply::State {
            outcome,
            has_started,
        } => with_body(encode_job_state(outcome, has_started)),
        Reply::Gone => FrontReply::status(410),
        Reply::Backlog(waiting) => with_body(encode_backlog(waiting)),
        Reply::Unavailable => refusal(503, OWNER_RETRY_SECONDS),
    }
}

/// Name of the request and the job or queue that it is about, for the log.
fn describe(request: &Request) -> (&'static str, String) {
    match request {
        Request::Submit { job, .. } => ("submit", job.to_string()),
        Request::State { job, .. } => ("state", job.to_string()),
        Request::Cancel { job, .. } => ("cancel", job.to_string()),
        Request::Backlog { queue } => ("backlog", queue.name().to_string()),
    }
}

fn refusal(status: u16, retry_after: u32) -> FrontReply {
    FrontReply {
        status,
        retry_after: Some(retry_after),
        ..FrontReply::default()
    }
}
