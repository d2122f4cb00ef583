//! HTTP calls to entry hosts. If a call fails, the next server is tried where that is safe.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use http::{Method, Request, Response};
use serde::de::DeserializeOwned;
use ureq::{Agent, Body, Timeout};

use crate::base::Ran;
use crate::connection::wire::{ErrorBody, PublishRefusal};

use super::error::{Error, Failure, Result};

/// Maximum time to connect to a server before the next one is tried.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of an answer in bytes; job lists and reports of the largest system that jayfork is
/// designed for are smaller.
const MAX_ANSWER_SIZE: u64 = 64 * 1024 * 1024;

/// Effect of a call on the system's state. It decides whether the call may be sent again if its
/// outcome is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Effect {
    /// Changes nothing.
    Read,
    /// Changes the state only once, however often it is sent. For example, there is only one job
    /// with a given id.
    Idempotent,
    /// Must not be sent again. A second call could take effect, too, or be refused because of the
    /// first one, which would hide that the first one took effect.
    NonIdempotent,
}

/// A call that any entry host can answer.
#[derive(Debug, Clone)]
pub(super) struct Call {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) request_id: Option<String>,
    pub(super) body: Option<Vec<u8>>,
    pub(super) effect: Effect,
    /// Whether the call asks for work, so that an error answer must say whether the work ran.
    pub(super) is_work: bool,
}

impl Call {
    pub(super) fn get(path: impl Into<String>) -> Self {
        Call {
            method: Method::GET,
            path: path.into(),
            request_id: None,
            body: None,
            effect: Effect::Read,
            is_work: false,
        }
    }
}

/// Complete answer with a 2xx status.
#[derive(Debug)]
pub(super) struct Reply {
    pub(super) server: SocketAddr,
    pub(super) body: Vec<u8>,
}

impl Reply {
    /// Parses the body; the outcome of the call is unknown if this fails.
    pub(super) fn json<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body).map_err(|error| Error::Unknown {
            failures: vec![Failure {
                server: self.server,
                reason: format!("cannot read the answer: {error}"),
            }],
            hint: None,
        })
    }
}

/// Result of a call to one server.
enum Attempt {
    Done(Reply),
    /// The connection failed.
    NotSent(Failure),
    Failed(Error),
}

/// Client of one or more servers, which are tried in order.
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
    /// The next server is tried if the connection fails, if the server is unavailable and says that
    /// it did nothing, or if the outcome is unknown and the call may be sent again.
    pub(super) fn call(&self, call: &Call) -> Result<Reply> {
        let mut unreachable = Vec::new();
        let mut unknown_outcomes = Vec::new();
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
            let tries_next = may_try_next(&error, call.effect);
            match error {
                Error::Unknown { failures, .. } => unknown_outcomes.extend(failures),
                error => refusal = Some((*server, error)),
            }
            if !tries_next {
                break;
            }
        }
        Err(overall_error(
            call.effect,
            unreachable,
            unknown_outcomes,
            refusal,
        ))
    }

    /// Sends a GET call to all servers. Returns the answers, and the errors of the other servers.
    ///
    /// # Errors
    ///
    /// Returns the first error if no server answered.
    pub(super) fn call_all<T: DeserializeOwned>(&self, path: &str) -> Result<(Vec<T>, Vec<Error>)> {
        self.read_all(path, Reply::json)
    }

    /// The same with `decode`, which reads an answer.
    pub(super) fn read_all<T>(
        &self,
        path: &str,
        decode: impl Fn(&Reply) -> Result<T>,
    ) -> Result<(Vec<T>, Vec<Error>)> {
        let call = Call::get(path);
        let mut answers = Vec::new();
        let mut errors = Vec::new();
        for server in &self.servers {
            let answer = match self.attempt(*server, &call) {
                Attempt::Done(reply) => decode(&reply),
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
            .limit(MAX_ANSWER_SIZE)
            .read_to_vec();
        match body {
            Ok(body) if (200..300).contains(&status) => Attempt::Done(Reply { server, body }),
            Ok(body) => Attempt::Failed(error_from_answer(server, status, &body, call)),
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
        Error::Unknown { .. } => effect != Effect::NonIdempotent,
        // Status 503 concerns only this server. All servers would give the other refusals.
        Error::Refused { status, .. } => *status == 503,
        _ => false,
    }
}

/// Error to report after all servers that may be tried have failed: the one that says most about
/// whether the call took effect.
fn overall_error(
    effect: Effect,
    unreachable: Vec<Failure>,
    mut unknown_outcomes: Vec<Failure>,
    refusal: Option<(SocketAddr, Error)>,
) -> Error {
    match refusal {
        Some((_, refusal)) if unknown_outcomes.is_empty() || effect == Effect::Read => refusal,
        Some((server, refusal)) => {
            // An earlier attempt may have taken effect, so that the refusal of a later one does not
            // say what the outcome is.
            unknown_outcomes.push(Failure {
                server,
                reason: refusal.to_string(),
            });
            unknown_all(unknown_outcomes)
        }
        None if unknown_outcomes.is_empty() => Error::Unreachable(unreachable),
        None => {
            unknown_outcomes.extend(unreachable);
            unknown_all(unknown_outcomes)
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

/// Whether the connection failed, so that the server cannot have received the call.
///
/// An established connection could report an unreachable host, too, but only when the kernel stops
/// retransmitting, which takes longer than the maximum of `--timeout`.
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

/// Converts an answer whose status is not 2xx to an error.
fn error_from_answer(server: SocketAddr, status: u16, body: &[u8], call: &Call) -> Error {
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
    let says_not_done = parsed.is_some() && (!call.is_work || ran == Some(Ran::NotRun));
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
        500 | 502 | 503 if says_not_done => {
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
