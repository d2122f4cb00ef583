//! The thread pool for blocking calls.

use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use jayfork::connection::{BlockingJob, ThreadPool};
use yare::parameterized;

/// Longest wait for the start of a job.
const START_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which a job that has not started counts as waiting.
const SETTLE_TIME: Duration = Duration::from_millis(100);

/// A job that reports its start and ends when the other end of `gate` is dropped.
struct Call {
    number: usize,
    started: Sender<usize>,
    gate: Option<Receiver<()>>,
}

impl BlockingJob for Call {
    fn run(self) {
        let _ = self.started.send(self.number);
        if let Some(gate) = self.gate {
            let _ = gate.recv();
        }
    }
}

struct Fixture {
    pool: ThreadPool<Call>,
    started: Receiver<usize>,
    sender: Sender<usize>,
}

impl Fixture {
    fn new(threads: usize) -> Self {
        let (sender, started) = channel();
        let pool = ThreadPool::spawn("test", threads).expect("a thread starts");
        Fixture {
            pool,
            started,
            sender,
        }
    }

    fn submit(&self, number: usize, gate: Option<Receiver<()>>) {
        let started = self.sender.clone();
        self.pool.submit(Call {
            number,
            started,
            gate,
        });
    }

    fn next(&self) -> usize {
        self.started
            .recv_timeout(START_TIMEOUT)
            .expect("a call starts")
    }
}

/// Guards against a call that waits for a blocked one although the pool may start another thread,
/// and against more threads than the limit.
#[parameterized(one = { 1 }, two = { 2 }, many = { 24 })]
fn calls_run_at_once_up_to_the_limit(threads: usize) {
    let fixture = Fixture::new(threads);
    let (gates, waits): (Vec<_>, Vec<_>) = (0..=threads).map(|_| channel::<()>()).unzip();
    for (number, wait) in waits.into_iter().enumerate() {
        fixture.submit(number, Some(wait));
    }
    let mut running: Vec<usize> = (0..threads).map(|_| fixture.next()).collect();
    running.sort_unstable();
    assert_eq!(running, (0..threads).collect::<Vec<_>>());
    assert!(fixture.started.recv_timeout(SETTLE_TIME).is_err());
    assert_eq!(fixture.pool.threads(), threads);
    drop(gates);
    assert_eq!(fixture.next(), threads);
}

/// Guards against calls that are lost or run twice while threads go idle and are woken.
#[test]
fn every_call_runs_once() {
    const CALLS: usize = 20_000;
    let fixture = Fixture::new(8);
    for number in 0..CALLS {
        fixture.submit(number, None);
        if number % 100 == 0 {
            std::thread::sleep(Duration::from_micros(200));
        }
    }
    let mut ran: Vec<usize> = (0..CALLS).map(|_| fixture.next()).collect();
    ran.sort_unstable();
    assert_eq!(ran, (0..CALLS).collect::<Vec<_>>());
    assert!(fixture.started.recv_timeout(SETTLE_TIME).is_err());
}

/// Guards against idle threads that occupy memory: sequential calls need one thread.
#[test]
fn sequential_calls_use_one_thread() {
    let fixture = Fixture::new(24);
    for number in 0..100 {
        fixture.submit(number, None);
        fixture.next();
        std::thread::sleep(Duration::from_millis(2));
    }
    // Now and then a call comes before the thread of the previous one is idle, and starts another.
    assert!(fixture.pool.threads() <= 3, "{}", fixture.pool.threads());
}

/// Guards against queued calls that are lost when the pool is dropped.
#[test]
fn queued_calls_run_after_the_drop() {
    let fixture = Fixture::new(1);
    let (gate, wait) = channel();
    fixture.submit(0, Some(wait));
    for number in 1..10 {
        fixture.submit(number, None);
    }
    let Fixture {
        pool,
        started,
        sender,
    } = fixture;
    drop((pool, gate, sender));
    assert_eq!(
        started.iter().collect::<Vec<_>>(),
        (0..10).collect::<Vec<_>>()
    );
}
