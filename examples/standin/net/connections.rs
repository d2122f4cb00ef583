//! Open connections of one listener.

use std::collections::HashMap;
use std::net::{Shutdown, TcpStream};
use std::sync::{Mutex, MutexGuard};

#[derive(Debug, Default)]
pub struct Connections {
    open: Mutex<(u64, HashMap<u64, TcpStream>)>,
}

impl Connections {
    /// Adds a connection; returns its number and how many are now open.
    pub fn add(&self, stream: TcpStream) -> (u64, usize) {
        let mut open = self.lock();
        open.0 += 1;
        let number = open.0;
        open.1.insert(number, stream);
        (number, open.1.len())
    }

    pub fn remove(&self, number: u64) {
        self.lock().1.remove(&number);
    }

    /// Closes every connection; the threads that serve them end with an error.
    pub fn close_all(&self) {
        for stream in self.lock().1.values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn lock(&self) -> MutexGuard<'_, (u64, HashMap<u64, TcpStream>)> {
        self.open.lock().expect("no thread panics with the lock")
    }
}
