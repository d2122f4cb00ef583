//! Bounded thread pool for blocking calls.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, Thread};
use std::time::{Duration, Instant};

use super::error::{Error, Result};

/// Stack size of a pool thread. The calls are not deeply nested, and small stacks keep resident
/// memory low.
const STACK_BYTES: usize = 256 * 1024;
/// A thread that has been idle for this long ends, because each thread occupies resident memory for
/// its stack and its share of the allocator.
const MAX_IDLE_TIME: Duration = Duration::from_secs(10);

/// A blocking call that a pool thread runs.
pub trait BlockingJob: Send + 'static {
    fn run(self);
}

/// Pool that starts jobs in the order of submission. A job that finds no idle thread starts a new
/// one. The thread that became idle last is used first, so that the others can time out and end.
/// When the pool is dropped, its threads run the queued jobs and end.
#[derive(Debug)]
pub struct ThreadPool<J> {
    shared: Arc<Shared<J>>,
}

#[derive(Debug)]
struct Shared<J> {
    name: String,
    max_threads: usize,
    state: Mutex<State<J>>,
}

#[derive(Debug)]
struct State<J> {
    queue: VecDeque<J>,
    /// Threads that wait for a job. A thread is removed before it is woken.
    idle: Vec<Thread>,
    threads: usize,
    is_closed: bool,
}

impl<J: BlockingJob> ThreadPool<J> {
    /// Creates a pool of at most `max_threads` threads and starts the first.
    pub fn spawn(name: &str, max_threads: usize) -> Result<Self> {
        let state = State {
            queue: VecDeque::new(),
            idle: Vec::new(),
            threads: 1,
            is_closed: false,
        };
        let shared = Arc::new(Shared {
            name: name.to_owned(),
            max_threads,
            state: Mutex::new(state),
        });
        Shared::start_thread(&shared, 0).map_err(|error| Error::Thread(error.to_string()))?;
        Ok(ThreadPool { shared })
    }

    /// Queues a job and wakes or starts a thread for it.
    pub fn submit(&self, job: J) {
        let mut state = self.shared.lock();
        state.queue.push_back(job);
        if let Some(thread) = state.idle.pop() {
            thread.unpark();
            return;
        }
        if state.threads >= self.shared.max_threads {
            return;
        }
        match Shared::start_thread(&self.shared, state.threads) {
            Ok(()) => state.threads += 1,
            Err(error) => {
                tracing::warn!(%error, "cannot start a thread; the job waits for a running one")
            }
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
    fn start_thread(shared: &Arc<Self>, index: usize) -> std::io::Result<()> {
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
        let current = thread::current();
        state.idle.push(current.clone());
        drop(state);
        self.wait_for_job(&current)
    }

    /// Waits until the thread is removed from the idle threads or its idle time is over; returns
    /// false if the thread has to end.
    fn wait_for_job(&self, current: &Thread) -> bool {
        let deadline = Instant::now() + MAX_IDLE_TIME;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            thread::park_timeout(remaining);
            let mut state = self.lock();
            let Some(index) = state.idle.iter().position(|idle| idle.id() == current.id()) else {
                return true;
            };
            if Instant::now() < deadline {
                continue;
            }
            state.idle.remove(index);
            // The last thread stays, so that the pool runs jobs even if it cannot start threads.
            if state.threads == 1 {
                return true;
            }
            state.threads -= 1;
            return false;
        }
    }
}
