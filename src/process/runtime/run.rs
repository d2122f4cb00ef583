//! Starts an entry host, runs its main loop and stops it.

use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::thread;
use std::time::{Duration, Instant};

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use stakker::{ActorOwn, Stakker, actor, call, ret_shutdown};

use super::adapters::Adapters;
use super::clock::{Clock, unix_time_ms};
use super::scheduler::NodeActor;
use super::sink::EventSink;
use crate::process::node::{Event, Node, NodeSettings};
use crate::process::settings::Settings;
use crate::process::{logging, telemetry};

/// Maximum number of events, besides the first, that one iteration of the main loop takes from the
/// queue.
const MAX_EVENTS: usize = 256;
/// Maximum time to wait for an event if no timer is due earlier.
const MAX_WAIT: Duration = Duration::from_millis(100);
/// Time before the exit for the last answers to reach their callers.
const EXIT_DELAY: Duration = Duration::from_millis(200);

#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("cannot start logging: {0}")]
    Logging(#[from] logging::Error),
    #[error("cannot start the metrics: {0}")]
    Telemetry(#[from] telemetry::Error),
    #[error("cannot start an adapter: {0}")]
    Adapter(#[from] crate::connection::Error),
    #[error("cannot handle signals: {0}")]
    Signals(std::io::Error),
}

pub type Result<T> = std::result::Result<T, Error>;

/// Runs an entry host until SIGTERM or SIGINT has stopped it gracefully.
///
/// # Errors
///
/// Fails if an address is in use, or if logging, the metrics, a thread or the signal handler cannot
/// be started.
pub fn run(settings: Settings) -> Result<()> {
    logging::init(&settings.log)?;
    let telemetry = telemetry::Telemetry::install()?;
    telemetry::describe();
    let clock = Clock::start();
    let (sender, receiver) = channel();
    let sink = EventSink::new(sender);
    watch_signals(sink.clone())?;
    let started = unix_time_ms();
    let clock_origin = started - clock.now().0;
    let node = Node::new(NodeSettings::new(&settings, started, clock_origin));
    let adapters = Adapters::open(&settings, clock, sink, telemetry)?;
    let (api, peer) = adapters.addresses();
    tracing::info!(host = %settings.host.name, %api, %peer, "entry host listening");
    run_main_loop(node, adapters, clock, &receiver);
    thread::sleep(EXIT_DELAY);
    tracing::info!("entry host stopped");
    Ok(())
}

/// Passes events to the core until it has stopped.
fn run_main_loop(node: Node, adapters: Adapters, clock: Clock, receiver: &Receiver<Event>) {
    let mut stakker = Stakker::new(Instant::now());
    let stakker = &mut stakker;
    let actor: ActorOwn<NodeActor> = actor!(
        stakker,
        NodeActor::init(node, adapters, clock),
        ret_shutdown!(stakker)
    );
    stakker.run(Instant::now(), false);
    while stakker.not_shutdown() {
        let wait = stakker.next_wait_max(Instant::now(), MAX_WAIT, false);
        match receiver.recv_timeout(wait) {
            Ok(event) => {
                call!([actor], event(event));
                for event in receiver.try_iter().take(MAX_EVENTS) {
                    call!([actor], event(event));
                }
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        stakker.run(Instant::now(), false);
    }
}

/// Starts a thread that tells the core to drain on SIGTERM or SIGINT.
fn watch_signals(sink: EventSink) -> Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(Error::Signals)?;
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            for _ in &mut signals {
                if !sink.send(Event::Drain) {
                    return;
                }
            }
        })
        .map_err(Error::Signals)?;
    Ok(())
}
