//! Requests of the platform's protocols, with the message types of the library.

use std::time::Duration;

use jayfork::base::{Attempt, Size, Token};
use jayfork::connection::wire::{
    Ack, InstanceReport, LeaseReply, LeaseRequest, ReadReply, ReleaseRequest, StartRequest,
    TaskCommand, TaskEntry, WorkerReport,
};
use serde_json::Value;

use crate::support::{Client, Reply, Standin};

/// Time limit for everything that should happen immediately; long enough for a loaded machine.
pub const WAIT_LIMIT: Duration = Duration::from_secs(10);

/// Length of a lease that doesn't expire during a test, in milliseconds.
pub const LONG_MS: u64 = 600_000;

pub fn lease_request(holder: &str, token: Option<Token>) -> LeaseRequest {
    LeaseRequest {
        holder: holder.into(),
        ttl: LONG_MS,
        run_ttl: LONG_MS,
        token,
        ack: Vec::new(),
        renew_tasks: false,
    }
}

pub fn lease(address: &str, request: &LeaseRequest) -> Reply {
    Client::new()
        .post_json(address, "/lease", request)
        .expect("the backend server answers")
}

pub fn release(address: &str, token: Token) -> Reply {
    Client::new()
        .post_json(address, "/release", &ReleaseRequest { token })
        .expect("the backend server answers")
}

/// Takes the lease of a worker or instance that no other holder has.
pub fn grant(address: &str, holder: &str) -> Token {
    let reply: LeaseReply<Value> = lease(address, &lease_request(holder, None)).ok();
    reply.token
}

/// Renews the lease of a worker; returns the answer with the worker's report.
pub fn renew(address: &str, token: Token) -> LeaseReply<WorkerReport> {
    lease(address, &lease_request("renewer", Some(token))).ok()
}

pub fn renew_instance(address: &str, token: Token) -> LeaseReply<InstanceReport> {
    lease(address, &lease_request("renewer", Some(token))).ok()
}

pub fn acknowledge(address: &str, token: Token, task: &str, attempt: u32) {
    let mut request = lease_request("renewer", Some(token));
    request.ack.push(Ack {
        task: task.to_owned(),
        attempt: Attempt(attempt),
    });
    assert_eq!(lease(address, &request).status, 200);
}

/// Returns the entry of an attempt in the worker's report.
pub fn report_entry(address: &str, token: Token, task: &str, attempt: u32) -> Option<TaskEntry> {
    let tasks = renew(address, token).report.tasks;
    tasks
        .into_iter()
        .find(|entry| entry.task == task && entry.attempt == Attempt(attempt))
}

/// Returns a start request for 1 core and 1 GiB that declares no run time.
pub fn start_request(token: Token, task: &str, attempt: u32) -> StartRequest {
    StartRequest {
        token,
        task: task.to_owned(),
        attempt: Attempt(attempt),
        class: "merge".into(),
        size: Size::new(1000, 1024, 0),
        run: 0,
        checkpoint: None,
    }
}

pub fn start(address: &str, request: &StartRequest) -> Reply {
    Client::new()
        .post_json(address, "/tasks", request)
        .expect("the worker answers")
}

pub fn command(address: &str, name: &str, token: Token, task: &str, attempt: u32) -> Reply {
    let request = TaskCommand {
        token,
        task: task.to_owned(),
        attempt: Attempt(attempt),
    };
    Client::new()
        .post_json(address, &format!("/tasks/{name}"), &request)
        .expect("the worker answers")
}

/// Sends a request to an instance; fails if the connection ends before the complete answer.
pub fn run(address: &str, token: Token, id: &str, body: &[u8]) -> Result<Reply, ureq::Error> {
    Client::new()
        .with_header("lease-token", token.0)
        .with_header("deadline-ms", 1000)
        .post(address, &format!("/requests/{id}"), body)
}

pub fn append(log: &Standin, data: &[u8]) -> Result<Reply, ureq::Error> {
    Client::new().post(&log.service, "/streams/s/records", data)
}

pub fn read(log: &Standin, query: &str) -> Reply {
    Client::new()
        .get(&log.service, &format!("/streams/s/records?{query}"))
        .expect("the log answers")
}

/// Returns all records of the stream `s`, even during an injected outage.
pub fn stored_records(log: &Standin) -> ReadReply {
    Client::new()
        .get(&log.control, "/control/streams/s/records")
        .expect("the log answers")
        .ok()
}
