//! Many connections at once, slow callers, and the order of answers.

use std::sync::Barrier;
use std::thread;
use std::time::{Duration, Instant};

use yare::parameterized;

use super::caller::Caller;
use super::service::{Service, big_body};

/// Number of requests on each connection of a burst.
const ROUNDS: usize = 3;

/// Guards against connections that are not served while other callers keep theirs open: tiny_http
/// 0.12 queued them until a thread of its pool was free, and keep-alive connections kept all
/// threads busy.
#[parameterized(
    connections_64 = { 64 },
    connections_256 = { 256 },
)]
fn a_burst_of_keep_alive_connections_is_answered(connections: usize) {
    const THREADS: usize = 8;
    let service = Service::start();
    let barrier = Barrier::new(THREADS);
    let unanswered: usize = thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|index| {
                let (service, barrier) = (&service, &barrier);
                scope.spawn(move || {
                    barrier.wait();
                    run_burst(service, index, connections / THREADS, barrier)
                })
            })
            .collect();
        threads.into_iter().map(|it| it.join().unwrap()).sum()
    });
    assert_eq!(unanswered, 0, "of {connections} connections");
}

/// Returns the number of connections that did not get all their answers within 2 s.
fn run_burst(service: &Service, thread: usize, connections: usize, barrier: &Barrier) -> usize {
    let deadline = Instant::now() + Duration::from_secs(2);
    let mut callers: Vec<Caller> = (0..connections).map(|_| service.caller()).collect();
    let mut failed = vec![false; connections];
    for round in 0..ROUNDS {
        let path = |index| format!("/{thread}/{index}/{round}");
        for (index, caller) in callers.iter_mut().enumerate() {
            caller.get(&path(index));
        }
        for (index, caller) in callers.iter_mut().enumerate() {
            let left = deadline.saturating_duration_since(Instant::now());
            caller.set_timeout(left.max(Duration::from_millis(1)));
            let is_answered = caller
                .try_answer()
                .is_ok_and(|answer| answer.text() == format!("{}?", path(index)));
            failed[index] |= !is_answered;
        }
    }
    // Keeps all connections open until every thread has checked its own.
    barrier.wait();
    failed.into_iter().filter(|failed| *failed).count()
}

/// Guards against slow uploads that occupy the threads that serve other callers.
#[test]
fn slow_uploads_do_not_delay_other_callers() {
    const UPLOADS: usize = 32;
    let service = Service::start();
    let mut slow: Vec<Caller> = (0..UPLOADS).map(|_| service.caller()).collect();
    for caller in &mut slow {
        caller.send_head("/slow", 4_096);
    }
    for _ in 0..3 {
        for caller in &mut slow {
            caller.send("x");
        }
        expect_prompt_answer(&service);
        thread::sleep(Duration::from_secs(1));
    }
    for caller in &mut slow {
        caller.send(vec![b'x'; 4_096 - 3]);
    }
    for caller in &mut slow {
        assert_eq!(caller.answer().body, vec![b'x'; 4_096]);
    }
}

/// Guards against callers that read their answers slowly and thereby occupy the threads that serve
/// other callers.
#[test]
fn slow_readers_do_not_delay_other_callers() {
    const READERS: usize = 24;
    let service = Service::start();
    let mut slow: Vec<Caller> = (0..READERS).map(|_| service.caller()).collect();
    for caller in &mut slow {
        caller.get("/big");
    }
    thread::sleep(Duration::from_millis(500));
    for _ in 0..3 {
        expect_prompt_answer(&service);
    }
    let whole = big_body();
    for caller in &mut slow {
        let answer = caller.answer();
        assert!(answer.body == whole, "the answer is not whole");
    }
}

/// Asserts that a new caller is answered within 1 s.
fn expect_prompt_answer(service: &Service) {
    let mut caller = service.caller();
    caller.set_timeout(Duration::from_secs(1));
    caller.get("/prompt");
    let answer = caller
        .try_answer()
        .expect("a new caller is answered in time");
    assert_eq!(answer.text(), "/prompt?");
}

/// Guards against callers that close their connection before the answer and thereby occupy threads,
/// or cause the answer of another caller to be lost or misdirected.
#[test]
fn callers_that_disconnect_early_do_not_affect_others() {
    let service = Service::start();
    let mut patient = service.caller();
    patient.get("/hold");
    let (kept, _) = service.held();
    for _ in 0..64 {
        let mut caller = service.caller();
        caller.get("/hold");
        let (ticket, _) = service.held();
        drop(caller);
        service.answer(ticket, "lost");
    }
    for _ in 0..64 {
        let mut caller = service.caller();
        caller.get("/big");
    }
    expect_prompt_answer(&service);
    service.answer(kept, "kept");
    assert_eq!(patient.answer().text(), "kept");
}

/// Guards against answers that reach the wrong caller when the handler answers in another order
/// than the requests arrived.
#[test]
fn answers_reach_their_callers_in_any_order() {
    const CALLERS: usize = 32;
    let service = Service::start();
    let mut callers: Vec<Caller> = (0..CALLERS).map(|_| service.caller()).collect();
    for (index, caller) in callers.iter_mut().enumerate() {
        caller.get(&format!("/hold?{index}"));
    }
    let mut held: Vec<_> = (0..CALLERS).map(|_| service.held()).collect();
    held.sort_by_key(|(ticket, _)| std::cmp::Reverse(*ticket));
    for (ticket, call) in held {
        service.answer(ticket, call.query);
    }
    for (index, caller) in callers.iter_mut().enumerate().rev() {
        assert_eq!(caller.answer().text(), index.to_string());
    }
}

/// Guards against answers to pipelined requests that are sent in another order than the requests.
#[test]
fn pipelined_requests_are_answered_in_order() {
    const REQUESTS: usize = 20;
    let service = Service::start();
    let mut caller = service.caller();
    let requests: String = (0..REQUESTS)
        .map(|index| format!("POST /p HTTP/1.1\r\nhost: t\r\ncontent-length: 2\r\n\r\n{index:02}"))
        .collect();
    caller.send(requests);
    for index in 0..REQUESTS {
        assert_eq!(caller.answer().text(), format!("{index:02}"));
    }
}
