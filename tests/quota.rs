//! Quotas that data centres share, and loans of quota between them.

use std::collections::BTreeMap;

use jayfork::base::{Millis, Name, Size};
use jayfork::request::{Loan, LoanId, LoanTiming, Quotas};
use proptest::prelude::*;
use yare::parameterized;

const TIMING: LoanTiming = LoanTiming {
    term: Millis(100_000),
    drain: Millis(10_000),
};

fn name(text: &str) -> Name {
    text.into()
}

fn names(texts: &[&str]) -> Vec<Name> {
    texts.iter().map(|text| name(text)).collect()
}

fn customer() -> Name {
    name("vltava")
}

fn cores(processors: u32) -> Size {
    Size::new(processors, 0, 0)
}

fn quotas(data_centre: &str) -> Quotas {
    Quotas::new(
        name(data_centre),
        name(&format!("entry-{data_centre}")),
        1,
        TIMING,
    )
}

/// Quotas of a data centre that holds a third of 90 cores.
fn split_quota(data_centre: &str) -> Quotas {
    let mut quotas = quotas(data_centre);
    quotas.set_contract(&customer(), 1, cores(90), &names(&["a", "b", "c"]));
    quotas
}

fn limit(quotas: &Quotas, now: u64) -> u32 {
    quotas.limit(Millis(now), &customer()).processors
}

/// Lends 20 cores from `a` to `b`: requested at 0 s, granted and accepted at 1 s.
fn lend_20_cores(a: &mut Quotas, b: &mut Quotas) -> Loan {
    let request = b.request_loan(Millis(0), &customer(), cores(20)).unwrap();
    let loan = a.grant_loan(&request, cores(10)).unwrap();
    assert!(a.loan_read(Millis(1_000), Millis(0), &loan, cores(10)));
    assert!(b.accept_loan(Millis(1_000), &loan));
    loan
}

/// Guards against shares whose sum differs from the quota.
#[parameterized(
    even = { 90, &["a", "b", "c"], [30, 30, 30] },
    remainder = { 92, &["a", "b", "c"], [31, 31, 30] },
    repeated_name = { 90, &["a", "b", "b"], [45, 45, 0] },
    one = { 90, &["b"], [0, 90, 0] },
    none = { 90, &[], [0, 0, 0] },
    smaller_than_the_list = { 2, &["a", "b", "c"], [1, 1, 0] },
)]
fn shares_add_up_to_the_quota(total: u32, list: &[&str], expected: [u32; 3]) {
    let shares = ["a", "b", "c"].map(|data_centre| {
        let mut quotas = quotas(data_centre);
        quotas.set_contract(&customer(), 1, cores(total), &names(list));
        limit(&quotas, 0)
    });
    assert_eq!(shares, expected);
}

/// Guards against a limit that checks only one resource, and against tasks of an unknown customer.
#[parameterized(
    fits = { cores(20), cores(10), true },
    too_many_cores = { cores(20), cores(11), false },
    too_much_memory = { cores(20), Size::new(1, 1, 0), false },
)]
fn tasks_fit_the_share_in_every_dimension(running: Size, extra: Size, fits: bool) {
    let quotas = split_quota("a");
    assert_eq!(quotas.allows(Millis(0), &customer(), running, extra), fits);
    assert!(!quotas.allows(Millis(0), &name("unknown"), Size::ZERO, extra));
}

/// Guards against a loan that counts twice: the borrower must stop using it before the lender does
/// again.
#[test]
fn a_loan_moves_quota_for_a_bounded_time() {
    let (mut a, mut b) = (split_quota("a"), split_quota("b"));
    let loan = lend_20_cores(&mut a, &mut b);
    assert_eq!((limit(&a, 1_000), limit(&b, 1_000)), (10, 50));
    // 100 s less 10.2 s for clock drift and 10 s to stop tasks.
    assert_eq!((limit(&b, 79_799), limit(&b, 79_800)), (50, 30));
    assert_eq!(b.excess(Millis(79_800), &customer(), cores(45)), cores(15));
    assert!(a.expired_loans(Millis(100_999)).is_empty());
    assert_eq!(
        a.expired_loans(Millis(101_000)),
        std::slice::from_ref(&loan.id)
    );
    assert_eq!(
        limit(&a, 101_000),
        10,
        "the lender used the loan again before it read the record of its end"
    );
    a.loan_ended(&customer(), &loan.id);
    assert_eq!(limit(&a, 101_000), 30);
}

/// Guards against a recalled loan that is repaid while tasks still use it.
#[test]
fn recalled_loans_are_repaid_once_their_use_ends() {
    let (mut a, mut b) = (split_quota("a"), split_quota("b"));
    let loan = lend_20_cores(&mut a, &mut b);
    assert_eq!(a.outstanding_loans(&customer()), [&loan]);
    assert!(
        b.repay_loans(Millis(2_000), &customer(), cores(45))
            .is_empty()
    );
    b.recall_loan(&customer(), &loan.id);
    assert_eq!(limit(&b, 2_000), 30);
    assert!(
        b.repay_loans(Millis(2_000), &customer(), cores(45))
            .is_empty()
    );
    assert_eq!(
        b.repay_loans(Millis(3_000), &customer(), cores(30)),
        [loan.id]
    );
}

/// Guards against borrowed quota that is kept without need.
#[test]
fn loans_that_are_not_needed_are_repaid() {
    let (mut a, mut b) = (split_quota("a"), split_quota("b"));
    let loan = lend_20_cores(&mut a, &mut b);
    assert_eq!(
        b.repay_loans(Millis(2_000), &customer(), cores(30)),
        [loan.id]
    );
    assert_eq!(limit(&b, 2_000), 30);
}

/// Guards against a loan of quota that the lender's own tasks use or that it doesn't have.
#[parameterized(
    in_use = { 11, 20 },
    more_than_the_share = { 0, 31 },
)]
fn only_unused_share_is_lent(running: u32, size: u32) {
    let (a, mut b) = (split_quota("a"), split_quota("b"));
    let request = b.request_loan(Millis(0), &customer(), cores(size)).unwrap();
    assert_eq!(a.grant_loan(&request, cores(running)), None);
}

/// Guards against a loan from a share that belongs to the borrower under a newer contract: both would count
/// it once the lender follows.
#[parameterized(
    ahead = { 2, 1 },
    behind = { 1, 2 },
)]
fn a_data_centre_that_follows_another_version_does_not_lend(lender: u64, borrower: u64) {
    let (mut a, mut b) = (quotas("a"), quotas("b"));
    a.set_contract(&customer(), lender, cores(90), &names(&["a", "b"]));
    b.set_contract(&customer(), borrower, cores(90), &names(&["a", "b"]));
    let request = b.request_loan(Millis(0), &customer(), cores(20)).unwrap();
    assert_eq!(a.grant_loan(&request, cores(0)), None);
}

/// Guards against two hosts of a data centre that lend the same share: both grant a loan before
/// either reads the other's record. Only the loan that is read first may be passed on.
#[test]
fn the_loan_that_is_read_second_is_not_passed_on() {
    let (mut a, mut b) = (split_quota("a"), split_quota("b"));
    let mut c = split_quota("c");
    let first = a
        .grant_loan(
            &b.request_loan(Millis(0), &customer(), cores(20)).unwrap(),
            cores(0),
        )
        .unwrap();
    let second = a
        .grant_loan(
            &c.request_loan(Millis(0), &customer(), cores(20)).unwrap(),
            cores(0),
        )
        .unwrap();
    assert!(a.loan_read(Millis(1), Millis(0), &first, cores(0)));
    assert!(!a.loan_read(Millis(1), Millis(0), &second, cores(0)));
    assert!(
        !a.loan_read(Millis(1), Millis(0), &first, cores(0)),
        "a loan record that was read twice was passed on again"
    );
    a.loan_ended(&customer(), &second.id);
    assert_eq!(limit(&a, 1), 10);
}

/// Guards against a borrower that uses a loan longer than the lender counts it, because the message
/// that carries the loan was delayed.
#[parameterized(
    in_time = { 79_000, true },
    too_late = { 80_000, false },
)]
fn a_delayed_loan_counts_from_the_request(at: u64, is_used: bool) {
    let (mut a, mut b) = (split_quota("a"), split_quota("b"));
    let request = b.request_loan(Millis(0), &customer(), cores(20)).unwrap();
    let loan = a.grant_loan(&request, cores(0)).unwrap();
    a.loan_read(Millis(0), Millis(0), &loan, cores(0));
    assert_eq!(b.accept_loan(Millis(at), &loan), is_used);
    assert!(
        !b.accept_loan(Millis(at), &loan),
        "a repeated message was accepted"
    );
}

/// Guards against a borrower that restarts and then accepts a loan of its earlier incarnation: it
/// no longer knows the time of the request.
#[test]
fn a_restarted_borrower_does_not_use_earlier_loans() {
    let (a, mut b) = (split_quota("a"), split_quota("b"));
    let request = b.request_loan(Millis(0), &customer(), cores(20)).unwrap();
    let loan = a.grant_loan(&request, cores(0)).unwrap();
    assert!(!split_quota("b").accept_loan(Millis(0), &loan));
}

/// Guards against a lender that forgets its loans in a restart. It reads them from the log again.
#[test]
fn a_restarted_lender_counts_its_loans_from_the_log() {
    let (mut a, mut b) = (split_quota("a"), split_quota("b"));
    let loan = lend_20_cores(&mut a, &mut b);
    let mut restarted = split_quota("a");
    restarted.loan_read(Millis(500), Millis(30_000), &loan, cores(0));
    assert_eq!(limit(&restarted, 500), 10);
    assert!(restarted.expired_loans(Millis(70_499)).is_empty());
    assert_eq!(restarted.expired_loans(Millis(70_500)), [loan.id]);
}

/// Guards against a share that grows under a new list of data centres while another data centre
/// still uses its larger share of the previous list.
#[test]
fn a_share_of_a_new_list_grows_only_when_all_follow() {
    let mut a = split_quota("a");
    a.set_contract(&customer(), 2, cores(90), &names(&["a", "b"]));
    assert_eq!(limit(&a, 0), 30);
    a.confirm_version(&customer(), 1);
    assert_eq!(limit(&a, 0), 30);
    a.confirm_version(&customer(), 2);
    assert_eq!(limit(&a, 0), 45);
}

/// Guards against a new contract version that doesn't take effect, and an older one that does.
#[parameterized(
    larger_quota = { 2, 120, &["a", "b", "c"], 40 },
    smaller_quota = { 2, 60, &["a", "b", "c"], 20 },
    longer_list = { 2, 80, &["a", "b", "c", "d"], 20 },
    removed = { 2, 90, &["b", "c"], 0 },
    older_version = { 1, 120, &["a", "b", "c"], 30 },
)]
fn contract_changes_apply(version: u64, total: u32, list: &[&str], expected: u32) {
    let mut a = split_quota("a");
    a.set_contract(&customer(), version, cores(total), &names(list));
    assert_eq!(limit(&a, 0), expected);
}

/// Guards against use of a loan after the lender has lost the share from which it lent.
#[test]
fn a_new_list_ends_the_use_of_loans() {
    let (mut a, mut b) = (split_quota("a"), split_quota("b"));
    lend_20_cores(&mut a, &mut b);
    b.set_contract(&customer(), 2, cores(90), &names(&["b", "c"]));
    assert_eq!(limit(&b, 1_000), 30);
}

/// A step of the model; the first number is a data centre unless said otherwise.
#[derive(Debug, Clone)]
enum Op {
    /// Starts a task with this number of cores if the limit allows it.
    Start(usize, u32),
    /// Starts tasks of one core until the limit is reached.
    Fill(usize),
    /// Ends the newest task.
    End(usize),
    /// The first data centre requests a loan of this number of cores from the second one.
    Ask(usize, usize, u32),
    /// Delivers the message at this index; the others stay delayed, possibly for ever.
    Deliver(usize),
    /// Asks the borrowers to return all loans.
    Recall(usize),
    /// Returns the loans that are not needed.
    Repay(usize),
    Restart(usize),
    /// Publishes a contract version for the data centres in this bit mask.
    Publish(u8),
    /// Reads the newest contract version.
    Follow(usize),
    /// Confirms the version if every data centre follows it.
    Confirm(usize),
    /// Advances the time by this number of seconds.
    Tick(u64),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        8 => (0..3_usize, 1..25_u32).prop_map(|(at, size)| Op::Start(at, size)),
        4 => (0..3_usize).prop_map(Op::Fill),
        4 => (0..3_usize).prop_map(Op::End),
        4 => (0..3_usize, 0..3_usize, 1..31_u32).prop_map(|(a, b, size)| Op::Ask(a, b, size)),
        6 => (0..100_usize).prop_map(Op::Deliver),
        1 => (0..3_usize).prop_map(Op::Recall),
        2 => (0..3_usize).prop_map(Op::Repay),
        1 => (0..3_usize).prop_map(Op::Restart),
        1 => (1..8_u8).prop_map(Op::Publish),
        3 => (0..3_usize).prop_map(Op::Follow),
        3 => (0..3_usize).prop_map(Op::Confirm),
        3 => (1..20_u64).prop_map(Op::Tick),
        1 => (20..120_u64).prop_map(Op::Tick),
    ]
}

/// A message under way; the number is the data centre that receives it.
enum Message {
    Ask(usize, jayfork::request::LoanRequest),
    Loan(usize, Loan),
    Recall(usize, LoanId),
    Repaid(usize, LoanId),
}

struct DataCentre {
    quotas: Quotas,
    /// Cores of each running task.
    running: Vec<u32>,
    /// When the running tasks began to exceed the limit.
    excess_since: Option<u64>,
    /// Loans in this data centre's stream, each with the time of its record and whether it ended.
    stream: BTreeMap<LoanId, (u64, Loan, bool)>,
    incarnation: u64,
    version: u64,
}

impl DataCentre {
    fn running(&self) -> u32 {
        self.running.iter().sum()
    }
}

/// Three data centres that share a quota of 90 cores, and the messages between them.
struct Model {
    now: u64,
    /// Data centres of each contract version, beginning with version 1.
    contract_lists: Vec<Vec<Name>>,
    centres: Vec<DataCentre>,
    messages: Vec<Message>,
}

const CENTRES: [&str; 3] = ["a", "b", "c"];

fn position(data_centre: &Name) -> usize {
    CENTRES
        .iter()
        .position(|name| **name == **data_centre)
        .unwrap()
}

impl Model {
    fn new() -> Self {
        let centres = CENTRES.map(|data_centre| DataCentre {
            quotas: split_quota(data_centre),
            running: Vec::new(),
            excess_since: None,
            stream: BTreeMap::new(),
            incarnation: 1,
            version: 1,
        });
        Model {
            now: 0,
            contract_lists: vec![names(&CENTRES)],
            centres: centres.into(),
            messages: Vec::new(),
        }
    }

    fn apply(&mut self, op: &Op) {
        let now = Millis(self.now);
        match *op {
            Op::Start(at, size) => {
                self.start(at, size);
            }
            Op::Fill(at) => while self.start(at, 1) {},
            Op::End(at) => drop(self.centres[at].running.pop()),
            Op::Ask(at, to, size) => {
                let request = self.centres[at]
                    .quotas
                    .request_loan(now, &customer(), cores(size));
                let request = request.map(|request| Message::Ask(to, request));
                self.messages.extend(request);
            }
            Op::Deliver(index) if !self.messages.is_empty() => {
                let message = self.messages.remove(index % self.messages.len());
                self.deliver(message);
            }
            Op::Deliver(_) => {}
            Op::Recall(at) => {
                for loan in self.centres[at].quotas.outstanding_loans(&customer()) {
                    let recall = Message::Recall(position(&loan.borrower), loan.id.clone());
                    self.messages.push(recall);
                }
            }
            Op::Repay(at) => {
                let needed = cores(self.centres[at].running());
                let repaid = self.centres[at]
                    .quotas
                    .repay_loans(now, &customer(), needed);
                for id in repaid {
                    for to in 0..CENTRES.len() {
                        self.messages.push(Message::Repaid(to, id.clone()));
                    }
                }
            }
            Op::Restart(at) => self.restart(at),
            Op::Publish(mask) => {
                let list = CENTRES.iter().enumerate();
                let list = list.filter(|(at, _)| mask & (1 << at) != 0);
                self.contract_lists
                    .push(list.map(|(_, centre)| name(centre)).collect());
            }
            Op::Follow(at) => self.follow(at, self.contract_lists.len()),
            Op::Confirm(at) => self.confirm(at),
            Op::Tick(seconds) => (0..seconds).for_each(|_| self.pass_second()),
        }
    }

    fn start(&mut self, at: usize, size: u32) -> bool {
        let centre = &mut self.centres[at];
        let running = cores(centre.running());
        let now = Millis(self.now);
        let is_allowed = centre.quotas.allows(now, &customer(), running, cores(size));
        if is_allowed {
            centre.running.push(size);
        }
        is_allowed
    }

    fn deliver(&mut self, message: Message) {
        let now = Millis(self.now);
        match message {
            Message::Ask(to, request) => {
                let centre = &mut self.centres[to];
                let running = cores(centre.running());
                let Some(loan) = centre.quotas.grant_loan(&request, running) else {
                    return;
                };
                centre
                    .stream
                    .insert(loan.id.clone(), (self.now, loan.clone(), false));
                if centre.quotas.loan_read(now, Millis(0), &loan, running) {
                    self.messages
                        .push(Message::Loan(position(&loan.borrower), loan));
                }
            }
            Message::Loan(to, loan) => drop(self.centres[to].quotas.accept_loan(now, &loan)),
            Message::Recall(to, id) => self.centres[to].quotas.recall_loan(&customer(), &id),
            Message::Repaid(to, id) => self.end_loan(to, &id),
        }
    }

    fn end_loan(&mut self, at: usize, id: &LoanId) {
        let centre = &mut self.centres[at];
        if let Some((_, _, has_ended)) = centre.stream.get_mut(id) {
            *has_ended = true;
            centre.quotas.loan_ended(&customer(), id);
        }
    }

    /// Restarts the host. It reads its stream again and underestimates the age of each record by
    /// half, as a host that knows only a lower bound of the age.
    fn restart(&mut self, at: usize) {
        let centre = &mut self.centres[at];
        centre.incarnation += 1;
        let host = name(&format!("entry-{}", CENTRES[at]));
        centre.quotas = Quotas::new(name(CENTRES[at]), host, centre.incarnation, TIMING);
        let version = std::mem::take(&mut centre.version);
        self.follow(at, version as usize);
        let centre = &mut self.centres[at];
        let running = cores(centre.running());
        for (time, loan, has_ended) in centre.stream.values() {
            let age = Millis((self.now - time) / 2);
            centre
                .quotas
                .loan_read(Millis(self.now), age, loan, running);
            if *has_ended {
                centre.quotas.loan_ended(&customer(), &loan.id);
            }
        }
    }

    /// Reads the contract versions up to `version`.
    fn follow(&mut self, at: usize, version: usize) {
        let centre = &mut self.centres[at];
        for next in centre.version as usize..version {
            centre.version = next as u64 + 1;
            let list = &self.contract_lists[next];
            let quotas = &mut centre.quotas;
            quotas.set_contract(&customer(), centre.version, cores(90), list);
        }
    }

    fn confirm(&mut self, at: usize) {
        let version = self.centres[at].version;
        let now = Millis(self.now);
        let follows = |centre: &DataCentre| {
            let running = cores(centre.running());
            let excess = centre.quotas.excess(now, &customer(), running);
            centre.version >= version && excess == Size::ZERO
        };
        if self.centres.iter().all(follows) {
            self.centres[at]
                .quotas
                .confirm_version(&customer(), version);
        }
    }

    fn pass_second(&mut self) {
        self.now += 1_000;
        for at in 0..CENTRES.len() {
            for id in self.centres[at].quotas.expired_loans(Millis(self.now)) {
                self.end_loan(at, &id);
            }
            self.stop_excess_late(at);
        }
    }

    /// Stops tasks that exceed the limit, as late as `LoanTiming::drain` allows.
    fn stop_excess_late(&mut self, at: usize) {
        let now = self.now;
        let centre = &mut self.centres[at];
        let excess = |centre: &DataCentre| {
            let running = cores(centre.running());
            centre.quotas.excess(Millis(now), &customer(), running) != Size::ZERO
        };
        if !excess(centre) {
            centre.excess_since = None;
            return;
        }
        let since = *centre.excess_since.get_or_insert(now);
        if now - since < TIMING.drain.0 - 1_000 {
            return;
        }
        while excess(centre) {
            centre.running.pop();
        }
    }
}

proptest! {
    /// Guards against tasks that together exceed the customer's quota over all data centres, while
    /// messages between the data centres are delayed or lost (I1).
    #[test]
    fn the_sum_never_exceeds_the_quota(ops in proptest::collection::vec(op(), 1..150)) {
        let mut model = Model::new();
        for op in &ops {
            model.apply(op);
            let sum: u32 = model.centres.iter().map(DataCentre::running).sum();
            prop_assert!(sum <= 90, "{} cores run after {:?} at {}", sum, op, model.now);
        }
    }
}
