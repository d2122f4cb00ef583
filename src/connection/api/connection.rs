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

use super::answer::{AnswerBody, Unwritten};
use super::body::{Bodies, draining, too_busy};
use super::budget::Budget;
use super::call::ApiCall;
use super::response::ApiResponse;
use super::shared::{InProgress, Shared};
use super::socket::Socket;
use super::{ApiHandler, ApiLimits};
use crate::base::Ran;

/// Largest head of a request in bytes.
const MAX_HEAD: usize = 32 << 10;
/// Connections beyond the limit that are told so; further ones are closed without an answer.
const REFUSED: usize = 64;
/// Interval at which the acceptor looks whether to stop.
const STOP_CHECK: Duration = Duration::from_millis(200);
/// Pause after a failed accept, for example when the process has no free file descriptor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Accepts and serves connections on the server's thread.
pub struct Acceptor<H> {
    handler: H,
    shared: Arc<Shared>,
    limits: ApiLimits,
    bodies: Bodies,
    tickets: Cell<u64>,
    connections: Cell<usize>,
}

impl<H: ApiHandler> Acceptor<H> {
    pub fn new(limits: ApiLimits, handler: H, shared: Arc<Shared>) -> Self {
        Acceptor {
            handler,
            shared,
            bodies: Bodies {
                limit: limits.body,
                idle: limits.body_time,
                budget: Budget::new(limits.bodies),
            },
            limits,
            tickets: Cell::new(0),
            connections: Cell::new(0),
        }
    }

    pub async fn run(self, listener: TcpListener) {
        let acceptor = Rc::new(self);
        loop {
            match timeout(STOP_CHECK, listener.accept()).await {
                Ok(Ok((stream, _))) => acceptor.admit(stream),
                // Connections that the kernel has accepted are admitted before the listener is
                // dropped, because it resets those that are left.
                Err(_) if acceptor.shared.is_stopped() => return,
                Err(_) => {}
                Ok(Err(error)) => {
                    tracing::warn!(%error, "cannot accept a connection of a caller");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn admit(self: &Rc<Self>, stream: TcpStream) {
        let open = self.connections.get();
        if open >= self.limits.connections + REFUSED {
            return;
        }
        self.connections.set(open + 1);
        let is_admitted = open < self.limits.connections;
        let counted = Counted(self.clone());
        spawn_local(async move {
            if let Err(error) = counted.0.serve(stream, is_admitted).await {
                tracing::debug!(%error, "the connection of a caller ended with an error");
            }
        });
    }

    async fn serve(self: &Rc<Self>, stream: TcpStream, is_admitted: bool) -> hyper::Result<()> {
        // Without it, the end of an answer may wait for the caller's delayed acknowledgement.
        let _ = stream.set_nodelay(true);
        let unwritten = Rc::new(Unwritten::default());
        let socket = Socket::new(stream, unwritten.clone(), self.limits.answer_time);
        let service = service_fn(|request| {
            let (acceptor, unwritten) = (self.clone(), unwritten.clone());
            async move {
                let answer = match is_admitted {
                    true => acceptor.answer(request, unwritten).await,
                    false => {
                        let refusal = too_busy("too many connections are open");
                        encode(refusal, true, None, unwritten)
                    }
                };
                Ok::<_, Infallible>(answer)
            }
        });
        let head_time = match is_admitted {
            true => self.limits.head_time,
            false => self.limits.body_time,
        };
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(head_time)
            .max_header_size(MAX_HEAD)
            .serve_connection(socket, service)
            .await
    }

    /// Refusals end the connection, since the rest of the request is not read.
    async fn answer(
        &self,
        request: Request<Incoming>,
        unwritten: Rc<Unwritten>,
    ) -> Response<AnswerBody> {
        let Some(in_progress) = InProgress::start(&self.shared) else {
            return encode(draining(), true, None, unwritten);
        };
        let (head, body) = request.into_parts();
        let received = match self.bodies.receive(body).await {
            // The handler may have ended while the body was received.
            Ok(_) if self.shared.is_closing() => Err(draining()),
            received => received,
        };
        match received {
            Ok(body) => {
                let response = self.call(ApiCall::new(&head, body)).await;
                let is_last = self.shared.is_closing();
                encode(response, is_last, Some(in_progress), unwritten)
            }
            Err(refusal) => encode(refusal, true, Some(in_progress), unwritten),
        }
    }

    /// Passes the call to the handler and waits for its answer.
    async fn call(&self, call: ApiCall) -> ApiResponse {
        let ticket = self.tickets.get() + 1;
        self.tickets.set(ticket);
        let response = self.shared.wait(ticket);
        let _waiting = Waiting {
            acceptor: self,
            ticket,
        };
        self.handler.called(ticket, call);
        response.await.unwrap_or_else(|_| {
            let reason = "the request was given up without an answer";
            ApiResponse::error(500, "internal", None, reason, Some(Ran::Unknown))
        })
    }
}

/// A connection that counts towards the limit.
struct Counted<H>(Rc<Acceptor<H>>);

impl<H> Drop for Counted<H> {
    fn drop(&mut self) {
        let connections = &self.0.connections;
        connections.set(connections.get() - 1);
    }
}

/// A ticket that waits for its answer; dropped early if the caller closes its connection.
struct Waiting<'a, H: ApiHandler> {
    acceptor: &'a Acceptor<H>,
    ticket: u64,
}

impl<H: ApiHandler> Drop for Waiting<'_, H> {
    fn drop(&mut self) {
        if self.acceptor.shared.forget(self.ticket) {
            self.acceptor.handler.closed(self.ticket);
        }
    }
}

fn encode(
    response: ApiResponse,
    is_last: bool,
    request: Option<InProgress>,
    unwritten: Rc<Unwritten>,
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
