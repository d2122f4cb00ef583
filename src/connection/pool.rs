//! Bounded pool of threads for blocking calls.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, Thread};
use std::time::{Duration, Instant};

use super::error::{Error, Result};

/// Stack of a pool thread; the calls are shallow, and small stacks keep resident memory low.
const STACK_BYTES: usize = 256 * 1024;
/// A thread without a job for this long ends. Each thread costs resident memory for its stack and
/// for its share of the allocator.
const MAX_IDLE: Duration = Duration::from_secs(10);

/// A blocking call.
pub trait BlockingJob: Send + 'static {
    fn run(self);
}

/// Threads that run jobs in the order of submission. A thread starts when a job finds no idle
/// one; the thread that was busy last is used first, so that the others can end. The threads run
/// the queued jobs and end when the pool is dropped.
#[derive(Debug)]
pub struct ThreadPool<J> {
    shared: Arc<Shared<J>>,
}

#[derive(Debug)]
struct Shared<J> {
    name: String,
    /// Largest number of threads.
    limit: usize,
    state: Mutex<State<J>>,
}

#[derive(Debug)]
struct State<J> {
    queue: VecDeque<J>,
    /// Threads without a job; a thread that is woken is taken off first.
    idle: Vec<Thread>,
    threads: usize,
    is_closed: bool,
}

impl<J: BlockingJob> ThreadPool<J> {
    /// A pool of at most `threads` threads; the first starts at once.
    pub fn spawn(name: &str, threads: usize) -> Result<Self> {
        let state = State {
            queue: VecDeque::new(),
            idle: Vec::new(),
            threads: 1,
            is_closed: false,
        };
        let shared = Arc::new(Shared {
            name: name.to_owned(),
            limit: threads,
            state: Mutex::new(state),
        });
        Shared::start(&shared, 0).map_err(|error| Error::Thread(error.to_string()))?;
        Ok(ThreadPool { shared })
    }

    /// Queues a job.
    pub fn submit(&self, job: J) {
        let mut state = self.shared.lock();
        state.queue.push_back(job);
        if let Some(thread) = state.idle.pop() {
            thread.unpark();
            return;
        }
        if state.threads >= self.shared.limit {
            return;
        }
        match Shared::start(&self.shared, state.threads) {
            Ok(()) => state.threads += 1,
            Err(error) => tracing::warn!(%error, "cannot start a thread; the call has to wait"),
        }
    }

    /// Number of running threads.
    pub fn threads(&self) -> usize {
        self.shared.lock().threads
    }
}

impl<J> Drop for ThreadPool<J> {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.is_closed = true;
        for thread in state.idle.drain(..) {
            thread.unpark();
        }
    }
}

impl<J> Shared<J> {
    fn lock(&self) -> MutexGuard<'_, State<J>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<J: BlockingJob> Shared<J> {
    fn start(shared: &Arc<Self>, index: usize) -> std::io::Result<()> {
        let pool = shared.clone();
        thread::Builder::new()
            .name(format!("{}-{index}", shared.name))
            .stack_size(STACK_BYTES)
            .spawn(move || while pool.run_next() {})
            .map(drop)
    }

    /// Runs the next job, or waits for one; returns false if the thread has to end.
    fn run_next(&self) -> bool {
        let mut state = self.lock();
        if let Some(job) = state.queue.pop_front() {
            drop(state);
            job.run();
            return true;
        }
        if state.is_closed {
            return false;
        }
        let own = thread::current();
        state.idle.push(own.clone());
        drop(state);
        self.wait(&own)
    }

    /// Waits until the thread is taken off the idle ones; returns false if it has to end.
    fn wait(&self, own: &Thread) -> bool {
        let until = Instant::now() + MAX_IDLE;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            thread::park_timeout(left);
            let mut state = self.lock();
            let Some(index) = state.idle.iter().position(|idle| idle.id() == own.id()) else {
                return true;
            };
            if Instant::now() < until {
                continue;
            }
            state.idle.remove(index);
            // One thread stays, so that a pool that cannot start threads still runs jobs.
            if state.threads == 1 {
                return true;
            }
            state.threads -= 1;
            return false;
        }
    }
}
