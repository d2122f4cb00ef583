//! Requests of clients on their way to the shard's owner.

use std::sync::Arc;

use super::host::{Host, HostAction, Origin, PeerUse};
use super::message::{PeerCall, PeerReply};
use crate::base::Millis;
use crate::connection::{CallError, FrontReply, FrontRequest};
use crate::platform::{ClientCall, decode_client, encode_backlog, encode_job_state};
use crate::process::shard::{Now, Reply, Request, ShardEvent};

/// Time that a client waits if it names none, in milliseconds.
const DEFAULT_WAIT: Millis = Millis(3_000);
/// Time kept back for the way of the answer to the client, in milliseconds.
const ANSWER_TIME: Millis = Millis(200);
/// Longest time for one try at the owner, in milliseconds. A submission is stored within some
/// 50 ms; a slow store takes a few hundred.
const TRY_TIME: Millis = Millis(1_500);
/// Pause before another try, in milliseconds.
const RETRY_PAUSE: Millis = Millis(80);
/// Seconds after which a client may come back when there is no owner; a new one serves within this.
const OWNER_RETRY: u32 = 1;

/// A request in progress at this host.
#[derive(Debug, Clone)]
pub(super) struct Forward {
    request: Request,
    deadline: Millis,
    /// When the next try is due; `None` while one is under way.
    retry_at: Option<Millis>,
    /// Whether an earlier try may have been carried out.
    is_uncertain: bool,
    arrived: Millis,
}

impl Host {
    pub(super) fn client(
        &mut self,
        now: Now,
        ticket: u64,
        request: &FrontRequest,
        out: &mut Vec<HostAction>,
    ) {
        if self.config.version == 0 {
            let reply = refusal(503, OWNER_RETRY);
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
                tracing::info!(path = request.path, %error, "request is not valid");
                out.push(HostAction::Answer(ticket, FrontReply::status(400)));
                return;
            }
        };
        let queue = queue.name.clone();
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
        let wait = decoded.wait.map_or(DEFAULT_WAIT, Millis);
        let forward = Forward {
            request,
            deadline: now.steady + wait.since(ANSWER_TIME),
            retry_at: None,
            is_uncertain: false,
            arrived: now.steady,
        };
        self.forwards.insert(ticket, forward);
        self.try_forward(now, ticket, out);
    }

    fn try_forward(&mut self, now: Now, ticket: u64, out: &mut Vec<HostAction>) {
        let address = self.owner_address();
        let Some(forward) = self.forwards.get_mut(&ticket) else {
            return;
        };
        forward.retry_at = None;
        let request = forward.request.clone();
        if self.shard.is_some() {
            self.ask_shard(now, Origin::Client(ticket), request, out);
            return;
        }
        let Some(address) = address else {
            forward.retry_at = Some(now.steady + RETRY_PAUSE);
            return;
        };
        let left = forward.deadline.since(now.steady);
        let purpose = PeerUse::Forward {
            ticket,
            sent: now.steady,
        };
        let message = PeerCall::Request(request);
        self.call_peer(purpose, address, message, left.min(TRY_TIME), out);
    }

    /// Hands a request to the own shard.
    pub(super) fn ask_shard(
        &mut self,
        now: Now,
        origin: Origin,
        request: Request,
        out: &mut Vec<HostAction>,
    ) {
        let id = self.id();
        self.origins.insert(id, origin);
        let epoch = self.shard.as_ref().map_or(0, |shard| shard.epoch());
        self.shard_event(now, epoch, ShardEvent::Request(id, request), out);
    }

    pub(super) fn shard_reply(&mut self, id: u64, reply: Reply, out: &mut Vec<HostAction>) {
        match self.origins.remove(&id) {
            Some(Origin::Peer(ticket)) => {
                out.push(HostAction::PeerReply(ticket, PeerReply::Shard(reply)));
            }
            Some(Origin::Client(ticket)) => self.finish(ticket, reply, out),
            None => {}
        }
    }

    pub(super) fn forward_answer(
        &mut self,
        now: Now,
        ticket: u64,
        sent: Millis,
        answer: Result<PeerReply, CallError>,
        out: &mut Vec<HostAction>,
    ) {
        let retry_at = now.steady + RETRY_PAUSE;
        match answer {
            Ok(PeerReply::Shard(reply)) => {
                self.finish(ticket, reply, out);
                return;
            }
            Ok(PeerReply::NotOwner { owner }) => {
                if let Some(seen) = owner {
                    self.see_owner(now, &seen, Some(sent), out);
                }
            }
            Ok(PeerReply::Unknown) => {
                if let Some(forward) = self.forwards.get_mut(&ticket) {
                    forward.is_uncertain = true;
                }
            }
            Ok(_) => {}
            Err(error) => {
                let is_sent = error != CallError::NotSent;
                if let Some(forward) = self.forwards.get_mut(&ticket) {
                    forward.is_uncertain |= is_sent;
                }
            }
        }
        if let Some(forward) = self.forwards.get_mut(&ticket) {
            forward.retry_at = Some(retry_at);
        }
    }

    fn finish(&mut self, ticket: u64, reply: Reply, out: &mut Vec<HostAction>) {
        let Some(forward) = self.forwards.remove(&ticket) else {
            return;
        };
        let answer = match reply {
            Reply::Accepted | Reply::Cancelled => FrontReply::status(200),
            // An earlier try may have reached another owner.
            Reply::Refused { .. } if forward.is_uncertain => FrontReply::status(504),
            Reply::Refused { retry_after } => refusal(503, retry_after),
            Reply::State {
                outcome,
                has_started,
            } => FrontReply {
                status: 200,
                body: encode_job_state(outcome, has_started),
                retry_after: None,
            },
            Reply::Gone => FrontReply::status(410),
            Reply::Backlog(waiting) => FrontReply {
                status: 200,
                body: encode_backlog(waiting),
                retry_after: None,
            },
            Reply::Unavailable => refusal(503, OWNER_RETRY),
        };
        if let Request::Submit { job, queue, .. } = &forward.request {
            let status = answer.status;
            tracing::info!(%job, %queue, status, "submission answered");
        }
        out.push(HostAction::Answer(ticket, answer));
    }

    /// The own shard is given up; what it had not answered goes to the next owner.
    pub(super) fn release_origins(&mut self, now: Now, out: &mut Vec<HostAction>) {
        for (_, origin) in std::mem::take(&mut self.origins) {
            match origin {
                Origin::Peer(ticket) => {
                    out.push(HostAction::PeerReply(ticket, PeerReply::Unknown));
                }
                Origin::Client(ticket) => {
                    if let Some(forward) = self.forwards.get_mut(&ticket) {
                        forward.is_uncertain = true;
                        forward.retry_at = Some(now.steady);
                    }
                }
            }
        }
    }

    /// Tries again what is due and answers what has run out of time.
    pub(super) fn poll_forwards(&mut self, now: Now, out: &mut Vec<HostAction>) {
        let mut due = Vec::new();
        let mut late = Vec::new();
        let stops = self.answer_limit().is_some_and(|limit| limit <= now.steady);
        for (ticket, forward) in &self.forwards {
            if stops || forward.deadline <= now.steady {
                late.push(*ticket);
            } else if forward.retry_at.is_some_and(|at| at <= now.steady) {
                due.push(*ticket);
            }
        }
        for ticket in due {
            self.try_forward(now, ticket, out);
        }
        for ticket in late {
            let Some(forward) = self.forwards.remove(&ticket) else {
                continue;
            };
            let may_have_run = forward.is_uncertain || forward.retry_at.is_none();
            let waited = now.steady.since(forward.arrived).0;
            tracing::warn!(request = ?kind(&forward.request), may_have_run, waited, "no owner answered in time");
            let reply = match may_have_run {
                true => FrontReply::status(504),
                false => refusal(503, OWNER_RETRY),
            };
            out.push(HostAction::Answer(ticket, reply));
        }
    }
}

fn kind(request: &Request) -> (&'static str, String) {
    match request {
        Request::Submit { job, .. } => ("submit", job.to_string()),
        Request::State { job, .. } => ("state", job.to_string()),
        Request::Cancel { job, .. } => ("cancel", job.to_string()),
        Request::Backlog { queue } => ("backlog", queue.to_string()),
    }
}

fn refusal(status: u16, retry_after: u32) -> FrontReply {
    FrontReply {
        status,
        retry_after: Some(retry_after),
        ..FrontReply::default()
    }
}
