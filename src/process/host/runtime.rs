//! Process of an entry host: starts it, runs the actor that owns the core on a single thread, and
//! stops it.

use std::time::{Duration, Instant};

use stakker::{ActorOwn, CX, Stakker, actor, after, call, ret_shutdown, stop};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};

use super::admission::{Admission, JOB_MEMORY_DIVISOR};
use super::host::{Host, HostAction, HostEvent, HostSettings};
use super::io::{Addresses, Io};
use super::log_writer::LogWriter;
use super::message::HostRecord;
use crate::base::Millis;
use crate::connection::{FrontLimits, FrontReply, FrontServer};
use crate::process::runtime::{Clock, unix_time_ms};
use crate::process::settings::EntrySettings;
use crate::process::shard::{Now, ShardSettings};
use crate::process::{logging, telemetry};

/// Maximum time between two polls of the core.
const TICK: Duration = Duration::from_millis(50);
/// Maximum number of events taken from the queue, besides the first, per iteration of the main
/// loop.
const MAX_EVENTS: usize = 256;
/// Time before the exit for the log thread to write the last lines.
const LOG_FLUSH_TIME: Duration = Duration::from_millis(150);
/// How much longer than the configured time the outcome of a job is kept, in milliseconds.
const EXTRA_STATUS_TIME: Millis = Millis(10_000);

#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("cannot start logging: {0}")]
    Logging(#[from] logging::Error),
    #[error("cannot start the metrics: {0}")]
    Telemetry(#[from] telemetry::Error),
    #[error("cannot listen: {0}")]
    Listen(#[from] crate::connection::Error),
    #[error("cannot start the runtime: {0}")]
    Runtime(#[from] std::io::Error),
}

pub type Result<T> = std::result::Result<T, Error>;

/// Runs an entry host until SIGTERM or SIGINT has stopped it.
///
/// # Errors
///
/// Fails if an address is in use, or if logging, the metrics or the runtime cannot be started.
pub fn run(settings: EntrySettings) -> Result<()> {
    let writer = LogWriter::spawn(std::io::stdout())?;
    let subscriber = logging::subscriber(&settings.log, writer)?;
    tracing_subscriber::util::SubscriberInitExt::try_init(subscriber)
        .map_err(logging::Error::from)?;
    let telemetry = telemetry::Telemetry::install()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = LocalSet::new();
    let result = runtime.block_on(local.run_until(serve(settings, telemetry)));
    tracing::info!("entry host stopped");
    std::thread::sleep(LOG_FLUSH_TIME);
    result
}

async fn serve(settings: EntrySettings, telemetry: telemetry::Telemetry) -> Result<()> {
    let clock = Clock::start();
    let (events, mut receiver) = mpsc::unbounded_channel();
    let addresses = Addresses {
        front: settings.front,
        ready: settings.ready,
        peer: settings.peer,
        store: settings.store,
    };
    let admission = Admission::new(settings.memory, settings.descriptors);
    let io = Io::open(&addresses, &admission, events.clone(), clock)?;
    serve_metrics(&settings, &admission, telemetry)?;
    watch_signals(events)?;
    let host = Host::new(host_settings(&settings), now(clock));
    tracing::info!(host = %settings.name, data_centre = %settings.data_centre, front = %settings.front, "entry host started");
    let mut stakker = Stakker::new(Instant::now());
    let stakker = &mut stakker;
    let actor: ActorOwn<HostActor> = actor!(
        stakker,
        HostActor::init(host, io, clock),
        ret_shutdown!(stakker)
    );
    stakker.run(Instant::now(), false);
    while stakker.not_shutdown() {
        let wait = stakker.next_wait_max(Instant::now(), TICK, false);
        let first = tokio::time::timeout(wait, receiver.recv()).await;
        if let Ok(Some(event)) = first {
            call!([actor], event(event));
            for _ in 0..MAX_EVENTS {
                match receiver.try_recv() {
                    Ok(event) => call!([actor], event(event)),
                    Err(_) => break,
                }
            }
        }
        stakker.run(Instant::now(), false);
    }
    // Returning closes all connections, so no request is read that would not be answered.
    Ok(())
}

fn host_settings(settings: &EntrySettings) -> HostSettings {
    // Differs between two starts of one host, and between hosts that start at the same time.
    let boot_seed =
        unix_time_ms().wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ u64::from(settings.peer.port());
    let boot_hash = settings.name.bytes().fold(boot_seed, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01B3)
    });
    HostSettings {
        record: HostRecord {
            name: settings.name.clone(),
            boot: boot_hash ^ (boot_hash >> 32),
            control: settings.peer,
            data_centre: settings.data_centre.clone(),
            region: settings.region.clone(),
            processor: (settings.processor * 1_000.0) as u32,
        },
        seeds: settings.seeds.clone(),
        shard: ShardSettings {
            lease: settings.lease,
            stop_time: settings.stop_time,
            status_keep: settings.status_keep + EXTRA_STATUS_TIME,
            evacuation_bound: settings.evacuation,
            adapts_retry: settings.adapts_retry,
            job_memory: settings.memory / JOB_MEMORY_DIVISOR,
        },
    }
}

fn now(clock: Clock) -> Now {
    Now {
        steady: clock.now(),
        wall: unix_time_ms(),
    }
}

fn serve_metrics(
    settings: &EntrySettings,
    admission: &Admission,
    telemetry: telemetry::Telemetry,
) -> Result<()> {
    let limits = FrontLimits::NO_BODIES;
    FrontServer::bind(
        settings.metrics,
        admission.metrics.clone(),
        limits,
        move |_| {
            let body = telemetry.render().into();
            async move {
                FrontReply {
                    status: 200,
                    body,
                    retry_after: None,
                }
            }
        },
    )?;
    Ok(())
}

fn watch_signals(events: mpsc::UnboundedSender<HostEvent>) -> Result<()> {
    for kind in [SignalKind::terminate(), SignalKind::interrupt()] {
        let mut signals = signal(kind)?;
        let events = events.clone();
        spawn_local(async move {
            while signals.recv().await.is_some() {
                if events.send(HostEvent::Terminate).is_err() {
                    return;
                }
            }
        });
    }
    let mut reloads = signal(SignalKind::hangup())?;
    spawn_local(async move {
        while reloads.recv().await.is_some() {
            tracing::info!("SIGHUP received; changed settings take effect at the next start");
        }
    });
    Ok(())
}

/// The actor that owns the core and performs its actions.
struct HostActor {
    host: Host,
    io: Io,
    clock: Clock,
    actions: Vec<HostAction>,
    /// Whether a poll is queued behind the current batch of events.
    is_poll_queued: bool,
    /// Whether no client request was open at the previous poll.
    was_idle: bool,
}

impl HostActor {
    fn init(cx: CX![], host: Host, io: Io, clock: Clock) -> Option<Self> {
        call!([cx], tick());
        Some(HostActor {
            host,
            io,
            clock,
            actions: Vec::new(),
            is_poll_queued: false,
            was_idle: false,
        })
    }

    fn event(&mut self, cx: CX![], event: HostEvent) {
        self.host.handle(now(self.clock), event, &mut self.actions);
        if !self.is_poll_queued {
            self.is_poll_queued = true;
            call!([cx], poll());
        }
    }

    fn tick(&mut self, cx: CX![]) {
        self.poll(cx);
        after!(TICK, [cx], tick());
    }

    /// Polls the core and performs its actions; ends the process once the core has asked for it.
    fn poll(&mut self, cx: CX![]) {
        self.is_poll_queued = false;
        self.host.poll(now(self.clock), &mut self.actions);
        let mut should_exit = false;
        for action in std::mem::take(&mut self.actions) {
            should_exit |= self.io.perform(action);
        }
        // After two polls in a row without an open request, the last answers have been written.
        let is_idle = self.io.open_requests() == 0;
        if should_exit && is_idle && self.was_idle {
            tracing::info!("stopped serving");
            stop!(cx);
        }
        self.was_idle = is_idle;
    }
}
