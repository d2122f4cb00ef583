//! The owner's side: replies of relays, and what their loss means for the orders.

use super::links::{BATCH_TIMEOUT, SentBatch};
use super::{OrderOrigin, SessionId};
use crate::base::Millis;
use crate::connection::{CallError, WorkerAnswer};
use crate::process::host::host::{Host, HostAction, PeerPurpose};
use crate::process::host::message::{PeerCall, PeerReply};
use crate::process::shard::{Now, ShardEvent, WorkerTag};

/// Most questions for the reply to one batch; they also end with the time of the batch.
const MAX_QUESTIONS: u32 = 3;

impl Host {
    /// Passes the answer of a worker that this host has called to whoever gave the order.
    pub(in crate::process::host) fn handle_worker_answer(
        &mut self,
        now: Now,
        origin: OrderOrigin,
        answer: Result<WorkerAnswer, CallError>,
        out: &mut Vec<HostAction>,
    ) {
        match origin {
            OrderOrigin::Shard { epoch, tag } => self.order_answered(now, epoch, tag, answer, out),
            OrderOrigin::Relayed(order) => self.relay_sessions.add_answer(order, answer),
        }
    }

    pub(in crate::process::host) fn handle_batch_answer(
        &mut self,
        now: Now,
        sent: SentBatch,
        answer: Result<PeerReply, CallError>,
        out: &mut Vec<HostAction>,
    ) {
        let Some(epoch) = self.shard.as_ref().map(|shard| shard.epoch()) else {
            return;
        };
        let error = match answer {
            Ok(PeerReply::Answers { clock, answers }) => {
                for answer in answers {
                    let Some(link) = self.order_links.link(&sent.host, sent.session) else {
                        return;
                    };
                    if let Some(order) = link.pending.remove(&answer.order) {
                        self.order_answered(now, epoch, order.tag, answer.answer, out);
                    }
                }
                if let Some(link) = self.order_links.link(&sent.host, sent.session) {
                    if link.clock.is_none_or(|(known, _)| known < clock) {
                        link.clock = Some((clock, now.steady));
                    }
                    link.open_batches.remove(&sent.number);
                }
                return;
            }
            Ok(PeerReply::NotTaken) if sent.questions > 0 => {
                self.batch_not_taken(now, epoch, &sent, out);
                return;
            }
            Ok(PeerReply::NotOwner { owner }) => {
                if let Some(reported) = owner {
                    self.update_owner(now, &reported, Some(sent.sent), out);
                }
                CallError::Refused
            }
            Ok(_) => CallError::Malformed,
            Err(error) => {
                if self.ask_for_reply(now, epoch, &sent, error, out) {
                    return;
                }
                error
            }
        };
        self.batch_failed(now, epoch, &sent, error, out);
    }

    /// Asks for the reply to a batch whose connection has ended, within the time of the batch. Returns
    /// whether it has.
    fn ask_for_reply(
        &mut self,
        now: Now,
        epoch: u64,
        sent: &SentBatch,
        error: CallError,
        out: &mut Vec<HostAction>,
    ) -> bool {
        let is_unknown = match error {
            CallError::NoAnswer => true,
            // The batch itself did not leave.
            CallError::NotSent => sent.questions > 0,
            CallError::Refused | CallError::Malformed => false,
        };
        let rest = BATCH_TIMEOUT.since(now.steady.since(sent.sent));
        if !is_unknown || rest == Millis(0) || sent.questions >= MAX_QUESTIONS {
            return false;
        }
        let link = self.order_links.link(&sent.host, sent.session);
        let Some(link) = link.filter(|link| link.keeps_replies()) else {
            return false;
        };
        tracing::info!(host = %sent.host, batch = sent.number, "asking a relay for a lost reply");
        let address = link.address;
        let message = PeerCall::BatchOutcome {
            session: SessionId {
                epoch,
                number: sent.session,
            },
            number: sent.number,
        };
        let purpose = PeerPurpose::Orders(SentBatch {
            questions: sent.questions + 1,
            ..sent.clone()
        });
        self.call_peer(purpose, address, message, rest, out);
        true
    }

    /// Gives the orders of a batch that the relay has not got back to the shard as not sent.
    fn batch_not_taken(
        &mut self,
        now: Now,
        epoch: u64,
        sent: &SentBatch,
        out: &mut Vec<HostAction>,
    ) {
        let Some(link) = self.order_links.link(&sent.host, sent.session) else {
            return;
        };
        link.open_batches.remove(&sent.number);
        let pending = link.pending.iter();
        let orders = pending.filter(|(_, order)| order.batch == Some(sent.number));
        let orders: Vec<u64> = orders.map(|(order, _)| *order).collect();
        let orders = orders.iter().filter_map(|order| link.pending.remove(order));
        let tags: Vec<WorkerTag> = orders.map(|order| order.tag).collect();
        for tag in tags {
            self.order_answered(now, epoch, tag, Err(CallError::NotSent), out);
        }
    }

    /// Ends the session with a relay.
    fn batch_failed(
        &mut self,
        now: Now,
        epoch: u64,
        sent: &SentBatch,
        error: CallError,
        out: &mut Vec<HostAction>,
    ) {
        let orders = self
            .order_links
            .end_session(now.steady, &sent.host, sent.session, error);
        if !orders.is_empty() {
            tracing::warn!(host = %sent.host, orders = orders.len(), %error, "a relay does not answer");
        }
        // The refusal of a question says nothing of the batch.
        let is_unsent =
            sent.questions == 0 && matches!(error, CallError::NotSent | CallError::Refused);
        for order in orders {
            // The shard gives an order that was not sent anew: since then, the worker may have restarted.
            let error = match order.batch {
                None => CallError::NotSent,
                Some(number) if number == sent.number && is_unsent => CallError::NotSent,
                Some(_) => CallError::NoAnswer,
            };
            self.order_answered(now, epoch, order.tag, Err(error), out);
        }
    }

    pub(super) fn order_answered(
        &mut self,
        now: Now,
        epoch: u64,
        tag: WorkerTag,
        answer: Result<WorkerAnswer, CallError>,
        out: &mut Vec<HostAction>,
    ) {
        self.shard_event(now, epoch, ShardEvent::Worker(tag, answer), out);
    }
}
