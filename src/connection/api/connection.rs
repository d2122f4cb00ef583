use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioTimer;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::answer::{AnswerBody, UnwrittenAnswers};
use super::body::{BodyReceiver, draining, too_busy};
use super::call::ApiCall;
use super::response::ApiResponse;
use super::shared::{InProgress, Shared};
use super::{ApiHandler, ApiLimits};
use crate::base::Ran;
use crate::connection::budget::Budget;
use crate::connection::socket::Socket;

/// Maximum size of a request head in bytes.
const MAX_HEAD_SIZE: usize = 32 << 10;
/// Maximum number of connections beyond the limit whose requests are answered with a refusal;
/// further ones are closed without an answer.
const MAX_REFUSED_CONNECTIONS: usize = 64;
/// Interval at which the acceptor checks whether it has to stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Pause after an accept failed, for example because no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Accepts and serves connections on the server's thread.
pub struct Acceptor<H> {
    handler: H,
    shared: Arc<Shared>,
    limits: ApiLimits,
    body_receiver: BodyReceiver,
    /// Ticket of the newest call.
    last_ticket: Cell<u64>,
    /// Number of open connections.
    open_connections: Cell<usize>,
}

impl<H: ApiHandler> Acceptor<H> {
    pub fn new(limits: ApiLimits, handler: H, shared: Arc<Shared>) -> Self {
        Acceptor {
            handler,
            shared,
            body_receiver: BodyReceiver {
                max_size: limits.max_body,
                timeout: limits.body_timeout,
                budget: Budget::new(limits.body_budget),
            },
            limits,
            last_ticket: Cell::new(0),
            open_connections: Cell::new(0),
        }
    }

    pub async fn run(self, listener: TcpListener) {
        let acceptor = Rc::new(self);
        loop {
            match timeout(STOP_CHECK_INTERVAL, listener.accept()).await {
                Ok(Ok((stream, _))) => acceptor.admit(stream),
                // Stops only when no connection is queued, because the kernel resets the queued
                // ones when the listener is dropped.
                Err(_) if acceptor.shared.is_stopped() => return,
                Err(_) => {}
                Ok(Err(error)) => {
                    tracing::warn!(%error, "cannot accept a connection of a caller");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    fn admit(self: &Rc<Self>, stream: TcpStream) {
        let open = self.open_connections.get();
        if open >= self.limits.max_connections + MAX_REFUSED_CONNECTIONS {
            return;
        }
        self.open_connections.set(open + 1);
        let is_admitted = open < self.limits.max_connections;
        let connection = OpenConnection(self.clone());
        spawn_local(async move {
            if let Err(error) = connection.0.serve(stream, is_admitted).await {
                tracing::debug!(%error, "the connection of a caller ended with an error");
            }
        });
    }

    async fn serve(self: &Rc<Self>, stream: TcpStream, is_admitted: bool) -> hyper::Result<()> {
        // With Nagle's algorithm, the end of an answer may wait for the caller's delayed
        // acknowledgement.
        let _ = stream.set_nodelay(true);
        let unwritten = Rc::new(UnwrittenAnswers::default());
        let socket = Socket::new(stream, unwritten.clone(), self.limits.answer_timeout);
        let service = service_fn(|request| {
            let (acceptor, unwritten) = (self.clone(), unwritten.clone());
            async move {
                let answer = match is_admitted {
                    true => acceptor.answer(request, unwritten).await,
                    false => {
                        let refusal = too_busy("too many connections are open");
                        to_http(refusal, true, None, unwritten)
                    }
                };
                Ok::<_, Infallible>(answer)
            }
        });
        let head_timeout = match is_admitted {
            true => self.limits.head_timeout,
            false => self.limits.body_timeout,
        };
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(head_timeout)
            .max_header_size(MAX_HEAD_SIZE)
            .serve_connection(socket, service)
            .await
    }

    /// Receives a request and returns its answer. A refusal also closes the connection, because the
    /// rest of the request is not read.
    async fn answer(
        &self,
        request: Request<Incoming>,
        unwritten: Rc<UnwrittenAnswers>,
    ) -> Response<AnswerBody> {
        let Some(in_progress) = InProgress::start(&self.shared) else {
            return to_http(draining(), true, None, unwritten);
        };
        let (head, body) = request.into_parts();
        let received = match self.body_receiver.receive(body).await {
            // The handler may have stopped while the body was received.
            Ok(_) if self.shared.is_closing() => Err(draining()),
            received => received,
        };
        match received {
            Ok(body) => {
                let response = self.call(ApiCall::new(&head, body)).await;
                let is_last = self.shared.is_closing();
                to_http(response, is_last, Some(in_progress), unwritten)
            }
            Err(refusal) => to_http(refusal, true, Some(in_progress), unwritten),
        }
    }

    /// Passes the call to the handler and waits for its answer.
    async fn call(&self, call: ApiCall) -> ApiResponse {
        let ticket = self.last_ticket.get() + 1;
        self.last_ticket.set(ticket);
        let response = self.shared.wait(ticket);
        let _waiting = WaitingTicket {
            acceptor: self,
            ticket,
        };
        self.handler.request_received(ticket, call);
        response.await.unwrap_or_else(|_| {
            let reason = "the request was dropped without an answer";
            ApiResponse::error(500, "internal", None, reason, Some(Ran::Unknown))
        })
    }
}

/// Counts an open connection until it is dropped.
struct OpenConnection<H>(Rc<Acceptor<H>>);

impl<H> Drop for OpenConnection<H> {
    fn drop(&mut self) {
        let open = &self.0.open_connections;
        open.set(open.get() - 1);
    }
}

/// A ticket that waits for its answer. If it is dropped before, the caller has closed its
/// connection, and the handler is told.
struct WaitingTicket<'a, H: ApiHandler> {
    acceptor: &'a Acceptor<H>,
    ticket: u64,
}

impl<H: ApiHandler> Drop for WaitingTicket<'_, H> {
    fn drop(&mut self) {
        if self.acceptor.shared.forget(self.ticket) {
            self.acceptor.handler.caller_disconnected(self.ticket);
        }
    }
}

/// Converts an answer for hyper; `is_last` closes the connection after it.
fn to_http(
    response: ApiResponse,
    is_last: bool,
    request: Option<InProgress>,
    unwritten: Rc<UnwrittenAnswers>,
) -> Response<AnswerBody> {
    let body = AnswerBody::new(response.body, request, unwritten);
    let mut answer = Response::new(body);
    *answer.status_mut() =
        StatusCode::from_u16(response.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let kind = HeaderValue::from_static(response.kind.header());
    answer.headers_mut().insert(CONTENT_TYPE, kind);
    if is_last {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(CONNECTION, close);
    }
    answer
}
