//! Bounded pool of threads for blocking calls.

use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use super::error::{Error, Result};

/// Stack of a pool thread; the calls are shallow, and small stacks keep resident memory low.
const STACK_BYTES: usize = 256 * 1024;

/// A blocking call.
pub trait Job: Send + 'static {
    fn run(self);
}

/// Threads that run jobs in the order of submission; the threads end when the pool is dropped.
#[derive(Debug)]
pub struct Pool<J> {
    sender: Sender<J>,
}

impl<J: Job> Pool<J> {
    pub fn spawn(name: &str, threads: usize) -> Result<Self> {
        let (sender, receiver) = channel();
        let receiver = Arc::new(Mutex::new(receiver));
        for index in 0..threads {
            let receiver = receiver.clone();
            thread::Builder::new()
                .name(format!("{name}-{index}"))
                .stack_size(STACK_BYTES)
                .spawn(move || while run_next(&receiver) {})
                .map_err(|error| Error::Thread(error.to_string()))?;
        }
        Ok(Pool { sender })
    }

    /// Queues a job; it is dropped if all threads have ended.
    pub fn submit(&self, job: J) {
        if self.sender.send(job).is_err() {
            tracing::error!("a call was dropped because its thread pool has ended");
        }
    }
}

fn run_next<J: Job>(receiver: &Mutex<Receiver<J>>) -> bool {
    let next = receiver
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .recv();
    match next {
        Ok(job) => {
            job.run();
            true
        }
        Err(_) => false,
    }
}
