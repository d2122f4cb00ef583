//! One service instance.

use std::time::Duration;

use jayfork::base::{Millis, Name, Token};
use jayfork::connection::wire::{InstanceReport, LeaseRefusal, LeaseReply, LeaseRequest};

use crate::lease::ControlLease;
use crate::recorder::{EventKind, Record, Recorder};
use crate::switches::FaultTrigger;

#[derive(Debug, Clone, Copy)]
pub struct Limits {
    pub slots: u32,
    pub connections: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    StaleToken,
    Busy,
    Leaving,
    /// The host crashed before it handled the request.
    Crashed,
}

/// Faults of the answer to a request that has run.
#[derive(Debug, Clone, Copy)]
pub struct AnswerFaults {
    pub truncated: bool,
    pub delay: Duration,
    /// Number of answers to collect and send in reverse order.
    pub reorder: usize,
}

/// Switches of one instance.
#[derive(Debug, Default)]
pub struct Switches {
    pub busy: bool,
    pub service_ms: Option<u64>,
    pub truncate: FaultTrigger,
    pub delay_answers: Duration,
    pub reorder: usize,
}

#[derive(Debug)]
pub struct Instance {
    pub name: Name,
    pub switches: Switches,
    limits: Limits,
    incarnation: u64,
    lease: ControlLease,
    /// Running requests, each with the lease token that it was sent with.
    running: Vec<(Name, Token)>,
    leaving: bool,
    crashed: bool,
}

impl Instance {
    pub fn new(now: Millis, name: Name, limits: Limits) -> Self {
        Instance {
            name,
            switches: Switches::default(),
            limits,
            incarnation: now.0,
            lease: ControlLease::new(now.0),
            running: Vec::new(),
            leaving: false,
            crashed: false,
        }
    }

    /// Grants or renews the control lease.
    pub fn lease(
        &mut self,
        now: Millis,
        request: &LeaseRequest,
        recorder: &mut Recorder,
    ) -> Result<LeaseReply<InstanceReport>, LeaseRefusal> {
        let token = self.lease.grant_or_renew(now, request)?;
        if request.token.is_none() {
            let granted = Record::new(now, &self.name, EventKind::Granted, &request.holder);
            recorder.push(granted.with_token(token));
        }
        Ok(LeaseReply {
            token,
            incarnation: self.incarnation,
            leaving: self.leaving,
            report: InstanceReport {
                slots: self.limits.slots,
                connections: self.limits.connections,
                running: self.running.iter().map(|(id, _)| id.clone()).collect(),
            },
        })
    }

    pub fn release(&mut self, now: Millis, token: Token, recorder: &mut Recorder) -> bool {
        let released = self.lease.release(token);
        if released {
            let record = Record::new(now, &self.name, EventKind::Released, "");
            recorder.push(record.with_token(token));
        }
        released
    }

    /// Occupies a slot; returns the incarnation in which the request runs.
    pub fn start(
        &mut self,
        now: Millis,
        id: &str,
        token: Token,
        recorder: &mut Recorder,
    ) -> Result<u64, Refusal> {
        if let Err(refusal) = self.check_start(token) {
            let is_full = refusal == Refusal::Busy && !self.switches.busy;
            let record = Record::new(now, &self.name, EventKind::Refused, id);
            recorder.record_refusal(
                record.with_token(token).with_state(refusal.kind()),
                is_full.then_some("over_slots"),
            );
            return Err(refusal);
        }
        self.running.push((id.into(), token));
        let record = Record::new(now, &self.name, EventKind::Started, id);
        recorder.record_start(record.with_token(token).with_state("running"));
        Ok(self.incarnation)
    }

    /// Frees the slot; returns `None` if the host has crashed since the request started.
    pub fn finish(
        &mut self,
        now: Millis,
        id: &str,
        incarnation: u64,
        recorder: &mut Recorder,
    ) -> Option<AnswerFaults> {
        if self.crashed || self.incarnation != incarnation {
            return None;
        }
        let slot = self
            .running
            .iter()
            .position(|(running, _)| **running == *id)?;
        let (_, token) = self.running.swap_remove(slot);
        let record = Record::new(now, &self.name, EventKind::Ended, id);
        recorder.record_end(record.with_token(token).with_state("answered"));
        Some(AnswerFaults {
            truncated: self.switches.truncate.fires(),
            delay: self.switches.delay_answers,
            reorder: self.switches.reorder,
        })
    }

    /// Returns whether `open` connections are within the limit, and records an excess.
    pub fn check_connections(&self, now: Millis, open: usize, recorder: &mut Recorder) -> bool {
        let is_within = open <= self.limits.connections as usize;
        if !is_within {
            let record = Record::new(now, &self.name, EventKind::Refused, "");
            recorder.record_refusal(record.with_state("connection"), Some("over_connections"));
        }
        is_within
    }

    pub fn set_leaving(&mut self, now: Millis, leaving: bool, recorder: &mut Recorder) {
        if leaving && !self.leaving {
            recorder.push(Record::new(now, &self.name, EventKind::Leaving, ""));
        }
        self.leaving = leaving;
    }

    /// Ends all requests; the host closes every connection until `restart`.
    pub fn crash(&mut self, now: Millis, recorder: &mut Recorder) {
        if self.crashed {
            return;
        }
        self.crashed = true;
        recorder.push(Record::new(now, &self.name, EventKind::Crashed, ""));
        for (id, token) in std::mem::take(&mut self.running) {
            let record = Record::new(now, &self.name, EventKind::Ended, &id);
            recorder.record_end(record.with_token(token).with_state("crashed"));
        }
        self.lease.clear_holder();
    }

    /// Starts a new incarnation without requests and without a lease holder.
    pub fn restart(&mut self, now: Millis, recorder: &mut Recorder) {
        self.crash(now, recorder);
        self.crashed = false;
        self.leaving = false;
        self.incarnation += 1;
        recorder.push(Record::new(now, &self.name, EventKind::Restarted, ""));
    }

    fn check_start(&self, token: Token) -> Result<(), Refusal> {
        if self.crashed {
            return Err(Refusal::Crashed);
        }
        if !self.lease.is_newest(token) {
            return Err(Refusal::StaleToken);
        }
        if self.leaving {
            return Err(Refusal::Leaving);
        }
        if self.switches.busy || self.running.len() >= self.limits.slots as usize {
            return Err(Refusal::Busy);
        }
        Ok(())
    }
}

impl Refusal {
    /// Returns the `error` of the response, which is also the `state` of the record.
    pub fn kind(self) -> &'static str {
        match self {
            Refusal::StaleToken => "stale_token",
            Refusal::Busy => "busy",
            Refusal::Leaving => "leaving",
            Refusal::Crashed => "crashed",
        }
    }
}
