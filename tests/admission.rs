//! Admission queue and retry budget, alone and under load.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use bytes::Bytes;
use jayfork::base::{Millis, Name, Ran, Token};
use jayfork::request::{
    AdmissionQueue, DispatchId, InstanceResult, MessageEpoch, OwnedInstance, RetryBudget, Ticket,
    UrgentAction, UrgentLimits, UrgentRequest, UrgentRouter,
};
use proptest::prelude::*;
use yare::parameterized;

/// Mean service time, in ms.
const MEAN: u64 = 20;

fn queue() -> AdmissionQueue<u64> {
    let mut queue = AdmissionQueue::new(10_000, Millis(MEAN));
    // Equal samples bring the deviation close to zero, so that the expected wait is exact.
    for _ in 0..1_000 {
        queue.record_service_time(Millis(MEAN));
    }
    queue
}

/// Guards against a wrong order of deadlines, and of arrival for equal deadlines.
#[test]
fn earlier_deadlines_come_first() {
    let mut queue = queue();
    for (item, deadline) in [(1, 900), (2, 300), (3, 900), (4, 600)] {
        queue
            .offer(Millis(0), Millis(deadline), 8, 0, item)
            .unwrap();
    }
    let order: Vec<u64> = std::iter::from_fn(|| queue.take()).collect();
    assert_eq!(order, [2, 4, 1, 3]);
}

/// Guards against a wrong expected wait, by which requests are refused and forwarded.
#[parameterized(
    a_slot_is_free = { 0, 8, 1, 0.0 },
    all_slots_are_busy = { 0, 8, 0, 2.5 },
    seven_are_ahead = { 7, 8, 0, 20.0 },
    one_slot = { 4, 1, 0, 100.0 },
    no_slots = { 0, 0, 0, f64::INFINITY },
)]
fn waits_follow_from_queue_and_slots(queued: u64, slots: u32, free: u32, expected: f64) {
    let mut queue = queue();
    for item in 0..queued {
        queue
            .offer(Millis(0), Millis(10_000), slots, 0, item)
            .unwrap();
    }
    let wait = queue.expected_wait(slots, free);
    assert!(wait == expected || (wait - expected).abs() < 0.01, "{wait}");
}

/// Guards against callers that wait for an answer that comes too late: 2 slots serve 100 requests
/// per second.
#[parameterized(
    in_time = { 300, 27, true },
    too_late = { 300, 29, false },
    no_time_for_the_service = { 25, 0, false },
    passed = { 0, 0, false },
)]
fn requests_are_refused_when_the_wait_exceeds_the_time_left(left: u64, queued: u64, fits: bool) {
    let mut queue = queue();
    for item in 0..queued {
        queue
            .offer(Millis(1_000), Millis(90_000), 2, 0, item)
            .unwrap();
    }
    let offered = queue.offer(Millis(1_000), Millis(1_000 + left), 2, 0, 99);
    assert_eq!(offered.is_ok(), fits);
}

/// Guards against retries that are refused because of the length of the queue, although they would
/// stand near its front.
#[parameterized(
    in_time = { 30, true },
    no_time_for_the_service = { 19, false },
)]
fn a_repeated_request_only_needs_time_for_the_service(left: u64, fits: bool) {
    let mut queue = queue();
    for item in 0..100 {
        queue.offer(Millis(0), Millis(90_000), 2, 0, item).unwrap();
    }
    assert!(queue.offer(Millis(0), Millis(left), 2, 0, 100).is_err());
    assert_eq!(queue.requeue(Millis(0), Millis(left), 101).is_ok(), fits);
}

/// Guards against work on requests that can no longer be answered by their deadline.
#[test]
fn requests_that_can_no_longer_be_answered_are_dropped() {
    let mut queue = queue();
    for (item, deadline) in [(1, 100), (2, 200), (3, 300)] {
        queue
            .offer(Millis(0), Millis(deadline), 8, 0, item)
            .unwrap();
    }
    let mut expired = Vec::new();
    queue.expire(Millis(79), &mut expired);
    assert!(expired.is_empty());
    queue.expire(Millis(190), &mut expired);
    assert_eq!(expired, [1, 2]);
    assert_eq!(queue.take(), Some(3));
}

/// Guards against a queue that grows without bound.
#[test]
fn the_queue_is_bounded() {
    let mut queue = AdmissionQueue::new(2, Millis(MEAN));
    assert!(queue.offer(Millis(0), Millis(90_000), 8, 0, 1).is_ok());
    assert!(queue.offer(Millis(0), Millis(90_000), 8, 0, 2).is_ok());
    assert_eq!(queue.offer(Millis(0), Millis(90_000), 8, 0, 3), Err(3));
}

/// Guards against work on cancelled requests.
#[test]
fn removed_requests_are_not_taken() {
    let mut queue = queue();
    let queue_position = queue.offer(Millis(0), Millis(500), 8, 0, 1).unwrap();
    queue.offer(Millis(0), Millis(900), 8, 0, 2).unwrap();
    assert_eq!(queue.remove(queue_position), Some(1));
    assert_eq!(queue.remove(queue_position), None);
    assert_eq!(queue.take(), Some(2));
    assert!(queue.is_empty());
}

/// Guards against a wrong number of retries before and after the first successes.
#[test]
fn the_budget_starts_with_its_initial_balance() {
    let mut budget = RetryBudget::new(2, 100);
    assert!(budget.withdraw() && budget.withdraw() && !budget.withdraw());
    for _ in 0..9 {
        budget.deposit();
    }
    assert!(!budget.withdraw());
    budget.deposit();
    assert!(budget.withdraw() && !budget.withdraw());
}

proptest! {
    /// Guards against retries that multiply an overload.
    #[test]
    fn retries_stay_within_a_tenth_of_successes(
        initial in 0..20_u32,
        events in proptest::collection::vec(any::<bool>(), 0..2_000),
    ) {
        let mut budget = RetryBudget::new(initial, 1_000);
        let (mut successes, mut retries) = (0_u32, 0_u32);
        for is_success in events {
            if is_success {
                successes += 1;
                budget.deposit();
            } else if budget.withdraw() {
                retries += 1;
            }
            prop_assert!(retries <= initial + successes / 10);
        }
    }

    /// Guards against items that are lost or out of order, by comparison with a sorted list, and
    /// against items that expire too early.
    #[test]
    fn the_queue_orders_like_a_sorted_list(
        deadlines in proptest::collection::vec(1_000..5_000_u64, 1..200),
        now in 0..5_000_u64,
    ) {
        let mut queue = queue();
        let mut expected = Vec::new();
        for (item, deadline) in deadlines.iter().enumerate() {
            let item = item as u64;
            if queue.offer(Millis(0), Millis(*deadline), 64, 0, item).is_ok() {
                expected.push((*deadline, item));
            }
        }
        expected.sort_unstable();
        let mut expired = Vec::new();
        queue.expire(Millis(now), &mut expired);
        let mut order = expired.clone();
        order.extend(std::iter::from_fn(|| queue.take()));
        prop_assert_eq!(order, expected.iter().map(|(_, item)| *item).collect::<Vec<_>>());
        for item in expired {
            prop_assert!(deadlines[item as usize] < now + MEAN + 1);
        }
    }
}

/// One router under load, with an instance of 8 slots whose service times are 10 to 30 ms.
struct LoadTest {
    router: UrgentRouter,
    random: fastrand::Rng,
    /// End of each running request, with its ticket and dispatch.
    ends: BinaryHeap<Reverse<(u64, u64, DispatchId)>>,
    /// Time of submission, by ticket.
    submitted: Vec<u64>,
    in_time: u64,
    late: u64,
    not_run: u64,
}

const SLOTS: u32 = 8;
/// In ms.
const DEADLINE: u64 = 200;

impl LoadTest {
    fn new(seed: u64) -> Self {
        let mut router = UrgentRouter::new("a".into(), 1, UrgentLimits::default());
        router.set_instances(Millis(0), vec![instance(0)], &mut Vec::new());
        LoadTest {
            router,
            random: fastrand::Rng::with_seed(seed),
            ends: BinaryHeap::new(),
            submitted: Vec::new(),
            in_time: 0,
            late: 0,
            not_run: 0,
        }
    }

    /// Submits `rate` requests per ms for 20 s. Returns the answers in time per second.
    fn run(mut self, rate: f64) -> (f64, LoadTest) {
        const TIME: u64 = 20_000;
        let mut due = 0.0;
        for now in 0..TIME {
            while let Some(Reverse((at, ticket, dispatch))) = self.ends.peek().copied() {
                if at > now {
                    break;
                }
                self.ends.pop();
                let result = InstanceResult::Answer {
                    status: 200,
                    body: ticket.to_string().into(),
                };
                self.handle(now, |router, now, out| {
                    router.instance_answered(now, dispatch, result, out);
                });
            }
            due += rate;
            while due >= 1.0 {
                due -= 1.0;
                self.submit(now);
            }
            if now % 100 == 0 {
                let owned = vec![instance(now)];
                self.handle(now, |router, now, out| {
                    router.set_instances(now, owned, out)
                });
            }
            if now % 10 == 0 {
                self.handle(now, |router, now, out| router.poll(now, out));
            }
        }
        (self.in_time as f64 * 1_000.0 / TIME as f64, self)
    }

    fn submit(&mut self, now: u64) {
        let ticket = Ticket(self.submitted.len() as u64);
        self.submitted.push(now);
        let request = UrgentRequest {
            ticket,
            id: format!("r{}", ticket.0).into(),
            customer: "vltava".into(),
            class: "proof".into(),
            service: "assembly".into(),
            idempotent: true,
            deadline: Millis(now + DEADLINE),
            class_deadline: Millis(DEADLINE),
            hops: 0,
            forwarded_by: None,
            attach: false,
            epoch: MessageEpoch::default(),
            body: Bytes::new(),
        };
        self.handle(now, |router, now, out| router.submit(now, request, out));
    }

    fn handle(
        &mut self,
        now: u64,
        event: impl FnOnce(&mut UrgentRouter, Millis, &mut Vec<UrgentAction>),
    ) {
        let mut out = Vec::new();
        event(&mut self.router, Millis(now), &mut out);
        for action in out {
            match action {
                UrgentAction::Send { dispatch, key, .. } => {
                    let ticket = key.strip_prefix("vltava:r").unwrap().parse().unwrap();
                    let service = self.random.u64(10..=30);
                    self.ends.push(Reverse((now + service, ticket, dispatch)));
                    assert!(self.ends.len() <= SLOTS as usize, "I1");
                }
                UrgentAction::Answer { ticket, answer } => match answer.ran {
                    None => {
                        assert_eq!(answer.body, ticket.0.to_string().as_bytes(), "I4");
                        let waited = now - self.submitted[ticket.0 as usize];
                        *(if waited <= DEADLINE {
                            &mut self.in_time
                        } else {
                            &mut self.late
                        }) += 1;
                    }
                    Some(Ran::NotRun) => self.not_run += 1,
                    Some(Ran::Unknown) => panic!("nothing was interrupted"),
                },
                UrgentAction::Forward { .. } => panic!("there are no peers"),
            }
        }
    }
}

fn instance(now: u64) -> OwnedInstance {
    OwnedInstance {
        name: Name::from("i1"),
        service: "assembly".into(),
        address: "127.0.0.1:1".into(),
        token: Token(1),
        slots: SLOTS,
        connections: 64,
        running: Vec::new(),
        report_requested: Millis(now),
        leaving: false,
    }
}

/// Guards against a collapse of goodput under overload, when requests that are answered too late
/// use the slots of those that could be answered in time.
#[parameterized(
    seed_1 = { 1 },
    seed_2 = { 2 },
)]
fn goodput_holds_at_five_times_the_capacity(seed: u64) {
    let capacity = f64::from(SLOTS) / MEAN as f64;
    let (normal, _) = LoadTest::new(seed).run(capacity);
    let (overload, load) = LoadTest::new(seed).run(5.0 * capacity);
    assert!(
        overload >= 0.9 * normal,
        "{overload} of {normal} per second"
    );
    let answered = load.in_time + load.late + load.not_run;
    let open = load.submitted.len() as u64 - answered;
    assert!(open <= 100, "{open} requests have no answer");
    assert!(
        load.late * 100 <= load.in_time,
        "{} late, {} in time",
        load.late,
        load.in_time
    );
}
