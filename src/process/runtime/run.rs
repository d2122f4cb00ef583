//! The life of a `jayforkd` process.

use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::thread;
use std::time::{Duration, Instant};

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use stakker::{ActorOwn, Stakker, actor, call, ret_shutdown};

use super::adapters::Adapters;
use super::clock::{Clock, unix_time_ms};
use super::scheduler::Scheduler;
use super::sink::Sink;
use crate::process::node::{Event, Node, NodeSettings};
use crate::process::settings::Settings;
use crate::process::{logging, telemetry};

/// Events handled between two turns of the actor loop.
const MAX_EVENTS: usize = 256;
/// Longest wait for an event when no timer is due earlier.
const MAX_WAIT: Duration = Duration::from_millis(100);
/// Time for the last answers to reach their callers before the process exits.
const LINGER: Duration = Duration::from_millis(200);

#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("cannot start logging: {0}")]
    Logging(#[from] logging::Error),
    #[error("cannot start the metrics: {0}")]
    Telemetry(#[from] telemetry::Error),
    #[error("cannot start an adapter: {0}")]
    Adapter(#[from] crate::connection::Error),
    #[error("cannot watch for signals: {0}")]
    Signals(std::io::Error),
}

pub type Result<T> = std::result::Result<T, Error>;

/// Runs an entry host until SIGTERM or SIGINT has drained it.
pub fn run(settings: Settings) -> Result<()> {
    logging::init(&settings.log)?;
    let telemetry = telemetry::Telemetry::install()?;
    telemetry::describe();
    let clock = Clock::start();
    let (sender, receiver) = channel();
    let sink = Sink::new(sender);
    watch_signals(sink.clone())?;
    let started = unix_time_ms();
    let clock_origin = started - clock.now().0;
    let node = Node::new(NodeSettings::new(&settings, started, clock_origin));
    let adapters = Adapters::open(&settings, clock, sink, telemetry)?;
    let (api, peer) = adapters.addresses();
    tracing::info!(host = %settings.host.name, %api, %peer, "entry host listening");
    drive(node, adapters, clock, &receiver);
    thread::sleep(LINGER);
    tracing::info!("entry host stopped");
    Ok(())
}

fn drive(node: Node, adapters: Adapters, clock: Clock, receiver: &Receiver<Event>) {
    let mut stakker = Stakker::new(Instant::now());
    let stakker = &mut stakker;
    let scheduler: ActorOwn<Scheduler> = actor!(
        stakker,
        Scheduler::init(node, adapters, clock),
        ret_shutdown!(stakker)
    );
    stakker.run(Instant::now(), false);
    while stakker.not_shutdown() {
        let wait = stakker.next_wait_max(Instant::now(), MAX_WAIT, false);
        match receiver.recv_timeout(wait) {
            Ok(event) => {
                call!([scheduler], event(event));
                for event in receiver.try_iter().take(MAX_EVENTS) {
                    call!([scheduler], event(event));
                }
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        stakker.run(Instant::now(), false);
    }
}

fn watch_signals(sink: Sink) -> Result<()> {
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
