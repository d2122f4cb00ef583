//! Which form of a client's request the owner understands.

use super::message::{NamedRequest, PeerCall};
use crate::base::Millis;
use crate::process::shard::Request;

/// An owner that cannot read a call ends it within this time, in milliseconds.
const REFUSAL_TIME: Millis = Millis(500);
/// How long the earlier form is used after that, in milliseconds. The connection may have broken for another reason.
const NAMED_TIME: Millis = Millis(30_000);

/// What is known of the owner's process. One of an earlier version of the program understands only requests that name
/// their queue.
#[derive(Debug, Default)]
pub(super) struct RequestForm {
    /// Incarnation of the owner's process.
    boot: u64,
    /// Whether it has answered a request in the current form.
    is_proven: bool,
    named_until: Option<Millis>,
}

/// A request that has been sent to the owner.
#[derive(Debug, Clone, Copy)]
pub(super) struct SentRequest {
    pub ticket: u64,
    pub sent: Millis,
    boot: u64,
    is_named: bool,
}

impl RequestForm {
    /// The call for the owner with this incarnation.
    pub fn call(
        &mut self,
        now: Millis,
        boot: u64,
        ticket: u64,
        request: Request,
    ) -> (SentRequest, PeerCall) {
        if self.boot != boot {
            *self = RequestForm {
                boot,
                ..RequestForm::default()
            };
        }
        let is_named = self.named_until.is_some_and(|until| now < until);
        let sent = SentRequest {
            ticket,
            sent: now,
            boot,
            is_named,
        };
        let call = match is_named {
            true => PeerCall::Request(NamedRequest::from(request)),
            false => PeerCall::QueueRequest(request),
        };
        (sent, call)
    }

    pub fn answered(&mut self, sent: SentRequest) {
        self.is_proven |= sent.boot == self.boot && !sent.is_named;
    }

    /// Notes that the connection was closed before the answer.
    pub fn closed(&mut self, now: Millis, sent: SentRequest) {
        let is_refusal = now.since(sent.sent) <= REFUSAL_TIME;
        if sent.boot == self.boot && !sent.is_named && !self.is_proven && is_refusal {
            self.named_until = Some(now + NAMED_TIME);
        }
    }
}
