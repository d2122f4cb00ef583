//! Ports that tests hand to the programs that they start.

use std::net::{Ipv4Addr, TcpListener};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use support::{free_port, spawn};

mod support;

const PORTS: usize = 4_000;

/// Guards against programs that cannot bind their port: another thread started a process while it was checked, and the
/// new process had a copy of the socket until it ran its program.
#[test]
fn a_free_port_can_be_bound_while_processes_start() {
    let is_over = AtomicBool::new(false);
    let taken: usize = thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    let child = spawn(&mut Command::new("true"));
                    child.and_then(|mut child| child.wait()).expect("true runs");
                }
            });
        }
        let bind = || {
            let ports = (0..PORTS / 4).map(|_| free_port());
            let taken =
                ports.filter(|port| TcpListener::bind((Ipv4Addr::LOCALHOST, *port)).is_err());
            taken.count()
        };
        let binders: Vec<_> = (0..4).map(|_| scope.spawn(bind)).collect();
        let taken = binders
            .into_iter()
            .map(|binder| binder.join().expect("ends"))
            .sum();
        is_over.store(true, Ordering::Relaxed);
        taken
    });
    assert_eq!(taken, 0, "of {PORTS} ports");
}
