//! Everything that does I/O for the core.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use super::calls::{CONTRACTS, Call, CallKind, Clients};
use super::clock::Clock;
use super::sink::Sink;
use crate::base::{Millis, Name};
use crate::connection::wire::HostList;
use crate::connection::{
    ApiLimits, ApiResponse, ApiServer, ContentKind, Error, HttpClient, HttpInstances, HttpLog,
    HttpWorkers, PeerCall, PeerLinks, Pool, Result, StreamReader,
};
use crate::process::node::{Action, Event, Stream};
use crate::process::settings::Settings;
use crate::process::telemetry::Telemetry;

/// Threads for lease calls, starts and commands. A call to a dead host holds a thread until its
/// time limit, so a rack of 11 dead workers must not stop the renewals of the others.
const CONTROL_THREADS: usize = 24;
/// One append per stream is in flight.
const APPEND_THREADS: usize = 2;
/// A caller that reads its answer more slowly than this is cut.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(30);

type HttpClients = Clients<HttpLog, HttpWorkers, HttpInstances>;
type HttpCall = Call<HttpLog, HttpWorkers, HttpInstances>;

/// Running adapters; they end when this handle is dropped.
pub struct Adapters {
    clients: Arc<HttpClients>,
    control: Pool<HttpCall>,
    appends: Pool<HttpCall>,
    sends: Pool<HttpCall>,
    peers: PeerLinks,
    api: Arc<ApiServer>,
    /// Whether callers are refused and all answers are written.
    closed: Arc<AtomicBool>,
    telemetry: Telemetry,
    _readers: [StreamReader; 2],
    _hosts: HostsReader,
}

impl Adapters {
    /// Binds the listeners and starts all threads.
    pub fn open(
        settings: &Settings,
        clock: Clock,
        sink: Sink,
        telemetry: Telemetry,
    ) -> Result<Self> {
        let host = &settings.host.name;
        let timing = &settings.timing;
        let threads = settings.limits.threads as usize;
        let control = HttpClient::new(host, duration(timing.call_timeout), CONTROL_THREADS);
        let requests = HttpClient::new(host, duration(timing.call_timeout), threads);
        let appends = HttpClient::new(host, duration(timing.append_timeout), APPEND_THREADS);
        let tasks: Name = format!("tasks.{}", settings.host.data_centre).into();
        let log = HttpLog::new(appends, &settings.platform.log);
        let clients = Arc::new(Clients {
            log: log.clone(),
            workers: HttpWorkers::new(control.clone()),
            instances: HttpInstances::new(requests),
            clock,
            sink: sink.clone(),
            tasks: tasks.clone(),
        });
        let limits = ApiLimits {
            max_body: settings.limits.body,
            body_budget: settings.limits.bodies,
            max_connections: settings.limits.callers as usize,
            ..ApiLimits::default()
        };
        Ok(Adapters {
            clients,
            control: Pool::spawn("control", CONTROL_THREADS)?,
            appends: Pool::spawn("append", APPEND_THREADS)?,
            sends: Pool::spawn("send", threads)?,
            peers: PeerLinks::bind(settings.listen.peer, sink.clone())?,
            api: Arc::new(ApiServer::bind(settings.listen.api, limits, sink.clone())?),
            closed: Arc::default(),
            telemetry,
            _readers: [
                follow(
                    &log,
                    CONTRACTS.into(),
                    Stream::Contracts,
                    clock,
                    sink.clone(),
                )?,
                follow(&log, tasks, Stream::Tasks, clock, sink.clone())?,
            ],
            _hosts: HostsReader::spawn(
                control,
                &format!("{}/hosts", settings.platform.hosts),
                timing.hosts_interval,
                sink,
            )?,
        })
    }

    /// Carries out an action; its outcome comes back as an event.
    pub fn perform(&self, action: Action) {
        match action {
            Action::Append {
                stream,
                sequence,
                data,
            } => {
                self.submit(
                    &self.appends,
                    CallKind::Append {
                        stream,
                        sequence,
                        data,
                    },
                );
            }
            Action::WorkerLease {
                worker,
                address,
                call,
                issued,
            } => {
                let kind = CallKind::WorkerLease {
                    worker,
                    address,
                    call,
                    issued,
                };
                self.submit(&self.control, kind);
            }
            Action::InstanceLease {
                instance,
                address,
                call,
                issued,
            } => {
                let kind = CallKind::InstanceLease {
                    instance,
                    address,
                    call,
                    issued,
                };
                self.submit(&self.control, kind);
            }
            Action::Start {
                worker,
                address,
                task,
                request,
            } => {
                self.submit(
                    &self.control,
                    CallKind::Start {
                        worker,
                        address,
                        task,
                        request,
                    },
                );
            }
            Action::Command {
                worker,
                address,
                command,
                request,
            } => {
                let kind = CallKind::Command {
                    worker,
                    address,
                    command,
                    request,
                };
                self.submit(&self.control, kind);
            }
            Action::CallInstance {
                dispatch,
                address,
                call,
                timeout,
            } => {
                self.submit(
                    &self.sends,
                    CallKind::Send {
                        dispatch,
                        address,
                        call,
                        timeout,
                    },
                );
            }
            Action::CallPeer {
                call,
                address,
                request,
                timeout,
            } => {
                self.peers.call(PeerCall {
                    call,
                    address,
                    request,
                    timeout,
                });
            }
            Action::ReplyPeer { ticket, reply } => self.peers.reply(ticket, reply),
            Action::Respond { ticket, response } => self.api.respond(ticket, response),
            Action::RespondMetrics { ticket } => {
                let body = self.telemetry.render().into_bytes().into();
                let response = ApiResponse {
                    status: 200,
                    kind: ContentKind::Text,
                    body,
                };
                self.api.respond(ticket, response);
            }
            Action::Exit => {}
        }
    }

    /// Refuses new callers and waits on a thread until all answers are written, since the core
    /// still has to answer the calls that were read before.
    pub fn close(&self) {
        let (api, closed) = (self.api.clone(), self.closed.clone());
        let closing = thread::Builder::new().name("close".to_owned());
        let spawned = closing.spawn(move || {
            api.close(CLOSE_TIMEOUT);
            closed.store(true, Ordering::Release);
        });
        if let Err(error) = spawned {
            tracing::error!(%error, "cannot wait for the last answers");
            self.closed.store(true, Ordering::Release);
        }
    }

    /// Whether `close` has ended.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// Addresses of the API and of the peer links.
    pub fn addresses(&self) -> (std::net::SocketAddr, std::net::SocketAddr) {
        (self.api.address(), self.peers.address())
    }

    fn submit(&self, pool: &Pool<HttpCall>, kind: CallKind) {
        pool.submit(Call {
            clients: self.clients.clone(),
            kind,
        });
    }
}

fn follow(
    log: &HttpLog,
    name: Name,
    stream: Stream,
    clock: Clock,
    sink: Sink,
) -> Result<StreamReader> {
    StreamReader::spawn(log.clone(), name, move |sent, reply| {
        let sent = clock.at(sent);
        sink.send(Event::Read {
            stream,
            sent,
            reply,
        })
    })
}

/// Reads the platform's host list at an interval until dropped.
struct HostsReader {
    stop: Arc<AtomicBool>,
}

impl HostsReader {
    fn spawn(http: HttpClient, url: &str, interval: Millis, sink: Sink) -> Result<Self> {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let url = url.to_owned();
        thread::Builder::new()
            .name("hosts".to_owned())
            .spawn(move || {
                while !stopped.load(Ordering::Relaxed) {
                    let list = http.get::<HostList>(&url, None);
                    if !sink.send(Event::Hosts(list)) {
                        return;
                    }
                    thread::sleep(duration(interval));
                }
            })
            .map_err(|error| Error::Thread(error.to_string()))?;
        Ok(HostsReader { stop })
    }
}

impl Drop for HostsReader {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

fn duration(time: Millis) -> Duration {
    Duration::from_millis(time.0)
}
