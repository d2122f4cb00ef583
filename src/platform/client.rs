//! Requests that client accounts send to queues, and the bodies of the answers.

use bytes::Bytes;
use hyper::Method;
use serde::Deserialize;

use super::Result;
use crate::base::{Name, Size};
use crate::connection::FrontRequest;
use crate::request::job::{JobId, JobSpec, Outcome, StepSpec};

/// Header with the longest time in milliseconds that the client waits for an answer.
const TIMEOUT_HEADER: &str = "X-Request-Timeout-Ms";

/// A client's call to a queue.
#[derive(Debug, Clone, PartialEq)]
pub enum ClientCall {
    Submit(JobId, JobSpec),
    State(JobId),
    Cancel(JobId),
    /// Asks how many jobs of the queue have not started.
    Backlog,
    /// The method and path match no call.
    Unknown,
}

/// A decoded call and the client's timeout.
#[derive(Debug, Clone, PartialEq)]
pub struct ClientRequest {
    pub call: ClientCall,
    /// Longest time in milliseconds that the client waits; `None` if it gives none.
    pub wait: Option<u64>,
}

#[derive(Deserialize)]
struct JobBody {
    #[serde(default)]
    spec: String,
    steps: Vec<StepBody>,
    #[serde(default)]
    times: u32,
    #[serde(default, rename = "firstRunMs")]
    first_run_ms: f64,
    #[serde(default, rename = "intervalMs")]
    interval_ms: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct StepBody {
    count: u16,
    #[serde(default)]
    cpu: f64,
    #[serde(default)]
    mem_mb: f64,
    #[serde(default)]
    gpu: u32,
    #[serde(default)]
    est_runtime_ms: f64,
    #[serde(default)]
    depends_on: Vec<u16>,
    #[serde(default)]
    checkpointing: bool,
    #[serde(default)]
    gang: bool,
    #[serde(default)]
    same_rack: bool,
    #[serde(default)]
    required_label: String,
    #[serde(default)]
    affinity: String,
    #[serde(default)]
    anti_affinity: u16,
    #[serde(default)]
    speculative: bool,
    #[serde(default)]
    long_running: bool,
    #[serde(default)]
    image: String,
    #[serde(default)]
    target_ms: f64,
    #[serde(default)]
    fills: bool,
    may_miss: Option<u16>,
}

/// Decodes a request to a queue; `rest` is the path after the queue's prefix.
///
/// # Errors
///
/// The body is not a valid job, or the job's id is malformed.
pub fn decode_client(request: &FrontRequest, rest: &str) -> Result<ClientRequest> {
    let wait = request
        .headers
        .get(TIMEOUT_HEADER)
        .and_then(|value| value.to_str().ok()?.trim().parse().ok());
    let call = match (&request.method, rest) {
        (&Method::GET, "") => ClientCall::Backlog,
        (_, "") => ClientCall::Unknown,
        (&Method::POST, id) => ClientCall::Submit(id.parse()?, decode_job(&request.body)?),
        (&Method::GET, id) => ClientCall::State(id.parse()?),
        (&Method::DELETE, id) => ClientCall::Cancel(id.parse()?),
        _ => ClientCall::Unknown,
    };
    Ok(ClientRequest { call, wait })
}

/// Memory in bytes that a job with this body takes while it is decoded and until it is answered, at most: its texts, and
/// its steps in a list that may have grown to twice its length.
pub fn decoded_size(body: &[u8]) -> u64 {
    const OBJECT: u64 = 2 * size_of::<StepBody>() as u64;
    const NUMBER: u64 = 2 * size_of::<u16>() as u64;
    let mut size = body.len() as u64;
    let (mut is_text, mut is_escaped) = (false, false);
    for byte in body {
        match byte {
            _ if is_escaped => is_escaped = false,
            b'\\' if is_text => is_escaped = true,
            b'"' => is_text = !is_text,
            b'{' if !is_text => size += OBJECT,
            b',' if !is_text => size += NUMBER,
            _ => {}
        }
    }
    size
}

fn decode_job(body: &[u8]) -> Result<JobSpec> {
    let body: JobBody = serde_json::from_slice(body)?;
    let mut steps: Vec<StepSpec> = body.steps.into_iter().map(StepSpec::from).collect();
    // The conversion keeps the allocation of the longer type.
    steps.shrink_to_fit();
    let spec = JobSpec {
        payload: body.spec.into(),
        steps,
        first_run: body.first_run_ms as u64,
        interval: body.interval_ms as u64,
        turns: body.times,
    };
    spec.check()?;
    Ok(spec)
}

impl From<StepBody> for StepSpec {
    fn from(body: StepBody) -> Self {
        StepSpec {
            count: body.count,
            size: Size::new(body.cpu.ceil() as u32, body.mem_mb.ceil() as u32, body.gpu),
            runtime: body.est_runtime_ms as u32,
            after: body.depends_on,
            gang: body.gang,
            same_rack: body.same_rack,
            label: non_empty(body.required_label),
            rack: non_empty(body.affinity),
            spread: body.anti_affinity,
            copies: body.speculative,
            lasts: body.long_running,
            saves: body.checkpointing,
            image: non_empty(body.image),
            tail_bound: body.target_ms as u32,
            fills: body.fills,
            absent: body.may_miss,
        }
    }
}

/// `None` for an empty text.
fn non_empty(text: String) -> Option<Name> {
    (!text.is_empty()).then(|| text.into())
}

/// Encodes the answer about a job's state; `outcome` is `None` while the job has not ended.
pub fn encode_job_state(outcome: Option<Outcome>, has_started: bool) -> Bytes {
    Bytes::from_static(match (outcome, has_started) {
        (Some(Outcome::Completed), _) => br#"{"state":"completed"}"#,
        (Some(Outcome::Failed), _) => br#"{"state":"failed"}"#,
        (Some(Outcome::Cancelled), _) => br#"{"state":"cancelled"}"#,
        (None, true) => br#"{"state":"running"}"#,
        (None, false) => br#"{"state":"pending"}"#,
    })
}

/// Encodes the answer about the number of a queue's jobs that have not started.
pub fn encode_backlog(waiting: u64) -> Bytes {
    Bytes::from(format!(r#"{{"waiting":{waiting}}}"#))
}
