//! Carries out the actions of the core: calls, answers and reads of the log and the host list.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use super::calls::{CONTRACT_STREAM, Call, CallKind, Clients};
use super::clock::Clock;
use super::sink::EventSink;
use crate::base::{Millis, Name};
use crate::connection::wire::HostList;
use crate::connection::{
    ApiLimits, ApiResponse, ApiServer, ContentKind, Error, HttpClient, HttpInstances, HttpLog,
    HttpWorkers, PeerCall, PeerLinks, Result, StreamReader, ThreadPool,
};
use crate::process::node::{Action, Event, Stream};
use crate::process::settings::Settings;
use crate::process::telemetry::Telemetry;

/// Number of threads for lease calls, starts and commands. A call to a dead worker occupies a
/// thread until its timeout. A rack of 11 dead workers must not prevent renewals on the other
/// workers.
const CONTROL_THREADS: usize = 24;
/// Number of threads for appends: one per stream, which has at most one append in flight.
const APPEND_THREADS: usize = 2;
/// Maximum wait, before the process exits, for callers to receive their answers. Slower callers are
/// disconnected.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(30);

type HttpClients = Clients<HttpLog, HttpWorkers, HttpInstances>;
type HttpCall = Call<HttpLog, HttpWorkers, HttpInstances>;

/// Handle of the running adapters, which stop when it is dropped.
pub struct Adapters {
    clients: Arc<HttpClients>,
    /// Runs lease calls, starts and commands.
    control: ThreadPool<HttpCall>,
    appends: ThreadPool<HttpCall>,
    /// Sends requests to service instances.
    instance_calls: ThreadPool<HttpCall>,
    peers: PeerLinks,
    api: Arc<ApiServer>,
    /// Whether `close` has finished.
    closed: Arc<AtomicBool>,
    telemetry: Telemetry,
    _readers: [StreamReader; 2],
    _hosts: HostsReader,
}

impl Adapters {
    /// Binds the listeners and starts all threads.
    ///
    /// # Errors
    ///
    /// Fails if an address is in use or a thread cannot be started.
    pub fn open(
        settings: &Settings,
        clock: Clock,
        sink: EventSink,
        telemetry: Telemetry,
    ) -> Result<Self> {
        let host = &settings.host.name;
        let timing = &settings.timing;
        let threads = settings.limits.threads as usize;
        let control_client =
            HttpClient::new(host, to_duration(timing.call_timeout), CONTROL_THREADS);
        let instance_client = HttpClient::new(host, to_duration(timing.call_timeout), threads);
        let append_client =
            HttpClient::new(host, to_duration(timing.append_timeout), APPEND_THREADS);
        let task_stream: Name = format!("tasks.{}", settings.host.data_centre).into();
        let log = HttpLog::new(append_client, &settings.platform.log);
        let clients = Arc::new(Clients {
            log: log.clone(),
            workers: HttpWorkers::new(control_client.clone()),
            instances: HttpInstances::new(instance_client),
            clock,
            sink: sink.clone(),
            task_stream: task_stream.clone(),
        });
        let limits = ApiLimits {
            max_body: settings.limits.body,
            body_budget: settings.limits.bodies,
            max_connections: settings.limits.callers as usize,
            ..ApiLimits::default()
        };
        Ok(Adapters {
            clients,
            control: ThreadPool::spawn("control", CONTROL_THREADS)?,
            appends: ThreadPool::spawn("append", APPEND_THREADS)?,
            instance_calls: ThreadPool::spawn("send", threads)?,
            peers: PeerLinks::bind(settings.listen.peer, sink.clone())?,
            api: Arc::new(ApiServer::bind(settings.listen.api, limits, sink.clone())?),
            closed: Arc::default(),
            telemetry,
            _readers: [
                spawn_stream_reader(
                    &log,
                    CONTRACT_STREAM.into(),
                    Stream::Contracts,
                    clock,
                    sink.clone(),
                )?,
                spawn_stream_reader(&log, task_stream, Stream::Tasks, clock, sink.clone())?,
            ],
            _hosts: HostsReader::spawn(
                control_client,
                &format!("{}/hosts", settings.platform.hosts),
                timing.hosts_interval,
                sink,
            )?,
        })
    }

    /// Carries out an action. The outcome of a call arrives as an event.
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
                    &self.instance_calls,
                    CallKind::CallInstance {
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

    /// Refuses new requests and waits until the answers to all earlier ones are written. It waits
    /// on a new thread, because the core still has to produce these answers.
    pub fn close(&self) {
        let (api, closed) = (self.api.clone(), self.closed.clone());
        let closing = thread::Builder::new().name("close".to_owned());
        let spawned = closing.spawn(move || {
            api.close(CLOSE_TIMEOUT);
            closed.store(true, Ordering::Release);
        });
        if let Err(error) = spawned {
            tracing::error!(%error, "cannot start a thread that waits for the last answers");
            self.closed.store(true, Ordering::Release);
        }
    }

    /// Whether `close` has finished waiting.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// Addresses on which the process listens for callers and for peers.
    pub fn addresses(&self) -> (std::net::SocketAddr, std::net::SocketAddr) {
        (self.api.address(), self.peers.address())
    }

    fn submit(&self, pool: &ThreadPool<HttpCall>, kind: CallKind) {
        pool.submit(Call {
            clients: self.clients.clone(),
            kind,
        });
    }
}

/// Starts a reader that passes each read of a stream to the core.
fn spawn_stream_reader(
    log: &HttpLog,
    name: Name,
    stream: Stream,
    clock: Clock,
    sink: EventSink,
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

/// Passes the platform's host list to the core at a fixed interval. Stops when it is dropped.
struct HostsReader {
    stop: Arc<AtomicBool>,
}

impl HostsReader {
    fn spawn(http: HttpClient, url: &str, interval: Millis, sink: EventSink) -> Result<Self> {
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
                    thread::sleep(to_duration(interval));
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

fn to_duration(time: Millis) -> Duration {
    Duration::from_millis(time.0)
}
