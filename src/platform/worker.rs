//! Encodes orders to workers and decodes their answers.

use std::borrow::Cow;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Error, Result, excerpt};
use crate::connection::{
    CallError, EndReport, HttpReply, HttpRequest, Order, Refusal, RunReport, WorkerAnswer,
    WorkerCall, WorkerReport,
};
use crate::request::job::Ending;

/// Upper bound of a clock, a start time and the number of an end. A larger one would hide all that
/// follow, since each is compared with the one before it.
const MAX_NUMBER: u64 = 1 << 53;

/// Header with the id of the worker that the call is meant for.
const WORKER_HEADER: &str = "X-Expected-Instance";

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct StartBody<'a> {
    task: String,
    run: u64,
    spec: &'a str,
    until_ms: u64,
    fencing_token: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    checkpoint: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    ticket: Option<&'a str>,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct StopBody {
    task: String,
    run: u64,
    fencing_token: u64,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct RenewBody {
    #[serde(skip_serializing_if = "Option::is_none")]
    until_ms: Option<u64>,
    fencing_token: u64,
    last_seen: u64,
    wait_ms: u64,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct ThrottleBody {
    task: String,
    run: u64,
    percent: u8,
    fencing_token: u64,
}

pub fn encode_order(call: &WorkerCall) -> HttpRequest {
    let fencing_token = call.epoch;
    let (path, body) = match &call.order {
        Order::Start(start) => {
            let body = StartBody {
                task: start.task.to_string(),
                run: start.run,
                spec: &start.payload,
                until_ms: start.lease_end,
                fencing_token,
                checkpoint: start.checkpoint.as_deref(),
                ticket: start.permit.as_deref(),
            };
            ("/run-start", serde_json::to_vec(&body))
        }
        Order::Stop { task, run } => {
            let body = StopBody {
                task: task.to_string(),
                run: *run,
                fencing_token,
            };
            ("/run-stop", serde_json::to_vec(&body))
        }
        Order::Renew {
            lease_end,
            acknowledged,
            wait,
        } => {
            let body = RenewBody {
                until_ms: *lease_end,
                fencing_token,
                last_seen: *acknowledged,
                wait_ms: wait.0,
            };
            ("/hold", serde_json::to_vec(&body))
        }
        Order::Throttle { task, run, percent } => {
            let body = ThrottleBody {
                task: task.to_string(),
                run: *run,
                percent: *percent,
                fencing_token,
            };
            ("/pace", serde_json::to_vec(&body))
        }
    };
    let body = body.unwrap_or_else(|error| unreachable!("cannot encode an order: {error}"));
    HttpRequest {
        method: "POST",
        path: path.to_owned(),
        headers: vec![(WORKER_HEADER, call.worker.to_string())],
        body: body.into(),
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct AnswerBody<'a> {
    #[serde(default)]
    clock_ms: Option<u64>,
    #[serde(default)]
    reason: Option<String>,
    #[serde(default)]
    born: u64,
    #[serde(default, borrow)]
    running: Vec<RunningRow<'a>>,
    #[serde(default, borrow)]
    ended: Vec<EndedRow<'a>>,
}

/// A running task: task, run, saved checkpoint (or an empty text), progress in percent and, if the
/// worker gives it, its tail latency or the millicores in use.
#[derive(Deserialize)]
struct RunningRow<'a>(
    #[serde(borrow)] Cow<'a, str>,
    u64,
    #[serde(borrow)] Cow<'a, str>,
    f64,
    #[serde(default)] Option<f64>,
);

/// An ended run: number of the end, task, run, how it ended and the saved checkpoint (or an empty
/// text).
#[derive(Deserialize)]
struct EndedRow<'a>(
    u64,
    #[serde(borrow)] Cow<'a, str>,
    u64,
    #[serde(borrow)] Cow<'a, str>,
    #[serde(borrow)] Cow<'a, str>,
);

/// Decodes the answer to an order.
///
/// # Errors
///
/// `Malformed` if the answer can't be decoded; the order may have been carried out.
pub fn decode_worker_answer(
    call: &WorkerCall,
    reply: &HttpReply,
) -> std::result::Result<WorkerAnswer, CallError> {
    decode(call, reply).map_err(|error| {
        let body = String::from_utf8_lossy(&reply.body[..reply.body.len().min(200)]).into_owned();
        let worker = &call.worker;
        let error = error.to_string();
        tracing::warn!(%worker, error = excerpt(&error), status = reply.status, body, "cannot decode the answer of a worker");
        CallError::Malformed
    })
}

fn decode(call: &WorkerCall, reply: &HttpReply) -> Result<WorkerAnswer> {
    match reply.status {
        421 => return Ok(WorkerAnswer::WrongWorker),
        429 | 503 => return Ok(WorkerAnswer::Unhealthy),
        _ => {}
    }
    let body: AnswerBody<'_> = match reply.body.is_empty() {
        true => serde_json::from_slice(b"{}")?,
        false => serde_json::from_slice(&reply.body)?,
    };
    if !matches!(reply.status, 200 | 400 | 409) {
        return Err(Error::Field {
            field: "status",
            value: reply.status.to_string(),
        });
    }
    if reply.status != 200 {
        let reason = decode_refusal(body.reason.as_deref());
        return Ok(WorkerAnswer::Refused {
            clock: body.clock_ms,
            reason,
        });
    }
    let clock = body.clock_ms.ok_or(Error::Field {
        field: "clockMs",
        value: String::new(),
    })?;
    let clock = bounded("clockMs", clock)?;
    if !matches!(call.order, Order::Renew { .. }) {
        return Ok(WorkerAnswer::Accepted { clock });
    }
    let mut report = WorkerReport {
        clock,
        start_time: bounded("born", body.born)?,
        ..WorkerReport::default()
    };
    for row in body.running {
        report.running.push(RunReport::try_from(row)?);
    }
    for row in body.ended {
        report.ended.push(EndReport::try_from(row)?);
    }
    Ok(WorkerAnswer::Report(report))
}

fn bounded(field: &'static str, number: u64) -> Result<u64> {
    match number <= MAX_NUMBER {
        true => Ok(number),
        false => Err(Error::Field {
            field,
            value: number.to_string(),
        }),
    }
}

fn decode_refusal(reason: Option<&str>) -> Refusal {
    match reason {
        Some("fence") => Refusal::Fenced,
        Some("old") => Refusal::OldRun,
        Some("late") => Refusal::LeaseExpired,
        Some("room") => Refusal::NoCapacity,
        Some("ticket") => Refusal::NoPermit,
        _ => Refusal::Malformed,
    }
}

impl TryFrom<RunningRow<'_>> for RunReport {
    type Error = Error;

    fn try_from(row: RunningRow<'_>) -> Result<Self> {
        Ok(RunReport {
            task: row.0.parse()?,
            run: row.1,
            checkpoint: non_empty(&row.2),
            percent: row.3.clamp(0.0, 100.0) as u8,
            measurement: row.4.map(|measurement| measurement.max(0.0) as u64),
        })
    }
}

impl TryFrom<EndedRow<'_>> for EndReport {
    type Error = Error;

    fn try_from(row: EndedRow<'_>) -> Result<Self> {
        let ending = match &*row.3 {
            "done" => Ending::Done,
            "failed" => Ending::Failed,
            "stopped" => Ending::Stopped,
            "lapsed" => Ending::Lapsed,
            "broken" => Ending::GangBroken,
            "alone" => Ending::GangIncomplete,
            other => {
                return Err(Error::Field {
                    field: "how",
                    value: other.to_owned(),
                });
            }
        };
        Ok(EndReport {
            number: bounded("ended", row.0)?,
            task: row.1.parse()?,
            run: row.2,
            ending,
            checkpoint: non_empty(&row.4),
        })
    }
}

/// `None` for an empty text.
fn non_empty(text: &str) -> Option<Arc<str>> {
    (!text.is_empty()).then(|| text.into())
}
