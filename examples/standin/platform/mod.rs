//! The users' platform: its store and its workers, each on threads of their own.

mod http;
mod links;
mod load;
mod operator;
mod recorder;
mod store;
mod store_service;
mod stream;
mod task;
mod worker;
mod worker_service;

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use clap::{ArgMatches, Command};
use serde_json::json;
use tokio::task::{LocalSet, spawn_local};

use crate::error::Result;
use crate::process::{get_number, get_port, next_port, number_arg, serve_until_signal};
use http::Service;
use links::Links;
use operator::OperatorService;
use recorder::RunRecorder;
use store::Store;
use store_service::StoreService;
use worker::{Worker, WorkerTiming};
use worker_service::WorkerService;

pub use load::{command as load_command, run as run_load};

/// Service that all workers belong to.
const SERVICE: &str = "backend";
/// Queues and their priorities, by path prefix.
const QUEUES: [(&str, u8, u64); 3] = [
    ("/proofs/", 0, 400),
    ("/merges/", 2, 1_000),
    ("/indexes/", 0, 2_500),
];
/// Name of the host in the `Host` header for all queues; clients call entry hosts by their addresses.
const QUEUE_HOST: &str = "127.0.0.1";

pub fn command() -> Command {
    Command::new("platform")
        .about("Serves the users' platform: the store and many workers")
        .arg(number_arg("workers", "4", "Number of workers"))
        .arg(number_arg("threads", "1", "Threads that serve the workers"))
        .arg(number_arg("rack-size", "20", "Workers per rack"))
        .arg(number_arg(
            "data-centres",
            "1",
            "Number of data centres, named dc-0 and so on",
        ))
        .arg(number_arg(
            "processors",
            "16000",
            "Processor capacity of each worker, in millicores",
        ))
        .arg(number_arg(
            "memory",
            "64000",
            "Memory of each worker, in MiB",
        ))
        .arg(number_arg(
            "lease-ms",
            "10000",
            "Longest lease that a worker grants, in milliseconds",
        ))
        .arg(number_arg(
            "stop-ms",
            "400",
            "Longest time that a worker takes to stop a run, in milliseconds",
        ))
        .arg(number_arg(
            "append-ms",
            "3",
            "Time that an append takes, in milliseconds",
        ))
        .arg(number_arg(
            "answer-ms",
            "4",
            "Time until the store answers, in milliseconds",
        ))
        .arg(number_arg(
            "keep-ms",
            "20000",
            "Age at which the store drops all but the newest record of a key, in milliseconds",
        ))
        .arg(number_arg("seed", "1", "Seed of the stop times"))
}

pub fn run(matches: &ArgMatches) -> Result<()> {
    let get = |name| get_number(matches, name);
    let port = get_port(matches);
    let store = Arc::new(Store::new(Duration::from_millis(get("keep-ms"))));
    let recorder = Arc::new(RunRecorder::default());
    let links = Arc::new(Links::default());
    let store_service = StoreService::new(store.clone(), get("append-ms"), get("answer-ms"));
    let address = spawn(bind(port)?, store_service)?;
    let operator = OperatorService::new(store.clone(), recorder.clone(), links.clone());
    let control = spawn(bind(next_port(port))?, operator)?;
    operator::publish_config(&store);
    let timing = WorkerTiming {
        max_lease: get("lease-ms"),
        stop_time: get("stop-ms"),
    };
    let count = get("workers");
    let threads = get("threads").max(1);
    for thread in 0..threads {
        let mut group = Vec::new();
        for index in (thread..count).step_by(threads as usize) {
            let listener = bind(0)?;
            let id = format!("w-{:08x}", index ^ (get("seed") << 16));
            let place = index % get("data-centres").max(1);
            let born = crate::clock::now().0;
            let entry = json!({
                "service": SERVICE,
                "address": listener.local_addr()?.to_string(),
                "zone": format!("dc-{place}"),
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "coldRemainingMs": 0,
                "seq": 1,
                "capacity": { "cpu": get("processors"), "memMb": get("memory"), "gpu": 0 },
                "labels": ["a", format!("r{place}-{}", index / get("rack-size").max(1))],
                "born": born,
            });
            store.put("keyed.servers", &id, entry.to_string());
            group.push((id, born, listener));
        }
        let seed = get("seed") + thread;
        spawn_workers(group, timing, seed, recorder.clone(), links.clone());
    }
    let ready = json!({
        "kind": "platform",
        "address": address.to_string(),
        "control": control.to_string(),
    });
    serve_until_signal(matches, &ready)
}

fn bind(port: u16) -> Result<TcpListener> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, port))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Serves one listener on a thread of its own.
fn spawn<S: Service + Send>(listener: TcpListener, service: S) -> Result<SocketAddr> {
    let address = listener.local_addr()?;
    std::thread::spawn(move || run_local(async move { http::serve(listener, service).await }));
    Ok(address)
}

/// Serves the workers of one thread.
fn spawn_workers(
    group: Vec<(String, u64, TcpListener)>,
    timing: WorkerTiming,
    seed: u64,
    recorder: Arc<RunRecorder>,
    links: Arc<Links>,
) {
    std::thread::spawn(move || {
        run_local(async move {
            let mut rng = fastrand::Rng::with_seed(seed);
            for (id, born, listener) in group {
                let worker = Worker::new(id, born, timing, rng.fork(), recorder.clone());
                let id = worker.id.clone();
                let service = WorkerService::spawn(worker, links.clone());
                let links = links.clone();
                spawn_local(async move {
                    tokio::select! {
                        () = http::serve(listener, service) => {}
                        () = links.closed(&id) => {}
                    }
                });
            }
            std::future::pending::<()>().await;
        })
    });
}

fn run_local(serving: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => LocalSet::new().block_on(&runtime, serving),
        Err(error) => tracing::error!(%error, "cannot start a runtime"),
    }
}
