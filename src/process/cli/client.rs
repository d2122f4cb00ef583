//! HTTP calls to entry hosts, with the next server where that is safe.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use http::{Method, Request, Response};
use serde::de::DeserializeOwned;
use ureq::{Agent, Body, Timeout};

use crate::base::Ran;
use crate::connection::wire::{ErrorBody, PublishRefusal};

use super::error::{Error, Failure, Result};

/// Time to wait for a connection before the next server is tried.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest answer accepted: a job list or a report of the target size is below this.
const MAX_ANSWER: u64 = 64 * 1024 * 1024;

/// Whether a call may be sent again after one whose outcome is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Effect {
    /// Changes nothing.
    Read,
    /// Changes state once, however often it is sent: a job id names one job.
    Idempotent,
    /// May take effect twice, or hide that the first one took effect.
    Once,
}

/// One call, which any entry host can answer.
#[derive(Debug, Clone)]
pub(super) struct Call {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) request_id: Option<String>,
    pub(super) body: Option<Vec<u8>>,
    pub(super) effect: Effect,
    /// Whether the call asks for work, so that an error must say whether it ran.
    pub(super) work: bool,
}

impl Call {
    pub(super) fn get(path: impl Into<String>) -> Self {
        Call {
            method: Method::GET,
            path: path.into(),
            request_id: None,
            body: None,
            effect: Effect::Read,
            work: false,
        }
    }
}

/// A 2xx answer, received in full.
#[derive(Debug)]
pub(super) struct Reply {
    pub(super) server: SocketAddr,
    pub(super) body: Vec<u8>,
}

impl Reply {
    pub(super) fn json<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body).map_err(|error| Error::Unknown {
            failures: vec![Failure {
                server: self.server,
                reason: format!("the answer is not understood: {error}"),
            }],
            hint: None,
        })
    }
}

/// How one server took a call.
enum Attempt {
    Done(Reply),
    NotSent(Failure),
    Failed(Error),
}

/// Calls the first server that can answer.
pub(super) struct Client {
    servers: Vec<SocketAddr>,
    agent: Agent,
}

impl Client {
    pub(super) fn new(servers: Vec<SocketAddr>, timeout: Duration) -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .max_redirects(0)
            .max_idle_connections(0)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_global(Some(timeout))
            .build()
            .new_agent();
        Client { servers, agent }
    }

    /// Sends a call to one server after the other until one answers.
    ///
    /// The next server is tried after a failed connection, after a refusal that says that nothing
    /// was done, and, unless the call may take effect twice, after a lost answer.
    pub(super) fn call(&self, call: &Call) -> Result<Reply> {
        let mut unreachable = Vec::new();
        let mut doubts = Vec::new();
        let mut refusal = None;
        for server in &self.servers {
            let error = match self.attempt(*server, call) {
                Attempt::Done(reply) => return Ok(reply),
                Attempt::NotSent(failure) => {
                    unreachable.push(failure);
                    continue;
                }
                Attempt::Failed(error) => error,
            };
            let next = may_try_next(&error, call.effect);
            match error {
                Error::Unknown { failures, .. } => doubts.extend(failures),
                error => refusal = Some((*server, error)),
            }
            if !next {
                break;
            }
        }
        Err(conclude(call.effect, unreachable, doubts, refusal))
    }

    /// Asks every server and returns the answers and the failures.
    ///
    /// # Errors
    ///
    /// The first failure, if no server answered.
    pub(super) fn call_all<T: DeserializeOwned>(&self, path: &str) -> Result<(Vec<T>, Vec<Error>)> {
        let call = Call::get(path);
        let mut answers = Vec::new();
        let mut errors = Vec::new();
        for server in &self.servers {
            let answer = match self.attempt(*server, &call) {
                Attempt::Done(reply) => reply.json(),
                Attempt::NotSent(failure) => Err(Error::Unreachable(vec![failure])),
                Attempt::Failed(error) => Err(error),
            };
            match answer {
                Ok(answer) => answers.push(answer),
                Err(error) => errors.push(error),
            }
        }
        if answers.is_empty() && !errors.is_empty() {
            return Err(errors.swap_remove(0));
        }
        Ok((answers, errors))
    }

    fn attempt(&self, server: SocketAddr, call: &Call) -> Attempt {
        let failure = |error: &dyn std::fmt::Display| Failure {
            server,
            reason: error.to_string(),
        };
        let mut response = match self.send(server, call) {
            Ok(response) => response,
            Err(error) if was_not_sent(&error) => return Attempt::NotSent(failure(&error)),
            Err(error) => return Attempt::Failed(unknown(failure(&error))),
        };
        let status = response.status().as_u16();
        let body = response
            .body_mut()
            .with_config()
            .limit(MAX_ANSWER)
            .read_to_vec();
        match body {
            Ok(body) if (200..300).contains(&status) => Attempt::Done(Reply { server, body }),
            Ok(body) => Attempt::Failed(refusal(server, status, &body, call)),
            Err(error) => Attempt::Failed(unknown(failure(&error))),
        }
    }

    fn send(
        &self,
        server: SocketAddr,
        call: &Call,
    ) -> std::result::Result<Response<Body>, ureq::Error> {
        let mut request = Request::builder()
            .method(call.method.clone())
            .uri(format!("http://{server}{}", call.path));
        if let Some(id) = &call.request_id {
            request = request.header("request-id", id);
        }
        match &call.body {
            Some(body) => self.agent.run(request.body(body.as_slice())?),
            None => self.agent.run(request.body(())?),
        }
    }
}

fn may_try_next(error: &Error, effect: Effect) -> bool {
    match error {
        Error::Unknown { .. } => effect != Effect::Once,
        // 503 is about this server's state; other refusals are the same everywhere.
        Error::Refused { status, .. } => *status == 503,
        _ => false,
    }
}

/// The failure that tells most about the state that the call leaves behind.
fn conclude(
    effect: Effect,
    unreachable: Vec<Failure>,
    mut doubts: Vec<Failure>,
    refusal: Option<(SocketAddr, Error)>,
) -> Error {
    match refusal {
        Some((_, refusal)) if doubts.is_empty() || effect == Effect::Read => refusal,
        Some((server, refusal)) => {
            // The earlier call may have taken effect, so the later refusal is not the outcome.
            doubts.push(Failure {
                server,
                reason: refusal.to_string(),
            });
            unknown_all(doubts)
        }
        None if doubts.is_empty() => Error::Unreachable(unreachable),
        None => {
            doubts.extend(unreachable);
            unknown_all(doubts)
        }
    }
}

fn unknown(failure: Failure) -> Error {
    unknown_all(vec![failure])
}

fn unknown_all(failures: Vec<Failure>) -> Error {
    Error::Unknown {
        failures,
        hint: None,
    }
}

/// Whether the connection failed, so that the server cannot have seen the call.
///
/// An established connection reports an unreachable host only after the kernel's retransmission
/// limit, which is longer than the longest `--timeout`.
fn was_not_sent(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::Timeout(Timeout::Connect | Timeout::Resolve) => true,
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound | ureq::Error::Http(_) => true,
        ureq::Error::Io(error) => matches!(
            error.kind(),
            io::ErrorKind::ConnectionRefused
                | io::ErrorKind::HostUnreachable
                | io::ErrorKind::NetworkUnreachable
                | io::ErrorKind::AddrNotAvailable
        ),
        _ => false,
    }
}

/// Classifies an answer that is not 2xx.
fn refusal(server: SocketAddr, status: u16, body: &[u8], call: &Call) -> Error {
    if status == 409 {
        if let Ok(PublishRefusal::LostRace {
            customer,
            base,
            version,
        }) = serde_json::from_slice(body)
        {
            return Error::LostRace {
                customer,
                base,
                version,
            };
        }
    }
    let parsed: Option<ErrorBody> = serde_json::from_slice(body).ok();
    let ran = parsed.as_ref().and_then(|body| body.ran);
    let stated = parsed.is_some() && (!call.work || ran == Some(Ran::NotRun));
    let reason = parsed.as_ref().map(|body| body.reason.clone());
    let body = parsed.unwrap_or_else(|| ErrorBody {
        error: format!("http_{status}").into(),
        field: None,
        reason: format!("HTTP status {status}"),
        ran: None,
    });
    match status {
        _ if ran == Some(Ran::Unknown) => {}
        400 | 413 | 422 => return Error::BadInput { server, body },
        400..=499 => {
            return Error::Refused {
                server,
                status,
                body,
            };
        }
        500 | 502 | 503 if stated => {
            return Error::Refused {
                server,
                status,
                body,
            };
        }
        _ => {}
    }
    unknown(Failure {
        server,
        reason: reason.unwrap_or_else(|| format!("HTTP status {status}")),
    })
}
