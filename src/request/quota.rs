//! Customers' quotas, split over data centres, with loans between them.
//!
//! A data centre's limit is its share, plus what it borrowed, less what it lent. A lender counts a
//! loan from the moment that it reads its own record of it until the loan's term has passed or
//! the borrower has repaid it. A borrower counts the term from before it asked, so that its use
//! ends first, whatever the delay between the two and without a common clock. A partition can
//! therefore only leave quota unused.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::base::{Millis, Name, Size};

/// Names a loan by the host that asked for it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LoanId {
    pub host: Name,
    /// Incarnation of the host's process.
    pub incarnation: u64,
    pub sequence: u64,
}

/// Asks another data centre for a part of its share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanRequest {
    pub id: LoanId,
    pub customer: Name,
    /// Data centre that asks.
    pub borrower: Name,
    pub size: Size,
}

/// Log record of the lender's task stream; the borrower gets a copy once the lender read it back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    pub id: LoanId,
    pub customer: Name,
    pub lender: Name,
    pub borrower: Name,
    pub size: Size,
    /// Length of the loan, in ms.
    pub term: Millis,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoanTerms {
    pub term: Millis,
    /// Time before the end of a loan in which the borrower stops the tasks that use it.
    pub drain: Millis,
}

impl Default for LoanTerms {
    fn default() -> Self {
        LoanTerms {
            term: Millis(600_000),
            // Workers that cannot be reached stop tasks when the run lease of 20 s lapses.
            drain: Millis(60_000),
        }
    }
}

#[derive(Debug)]
struct Lent {
    loan: Loan,
    until: Millis,
}

#[derive(Debug)]
struct Borrowed {
    size: Size,
    /// When the use of the loan must have ended.
    until: Millis,
    recalled: bool,
}

#[derive(Debug, Default)]
struct Customer {
    version: u64,
    data_centres: Vec<Name>,
    share: Size,
    /// Bound on the share until every data centre follows the contract's version.
    cap: Option<Size>,
    lent: BTreeMap<LoanId, Lent>,
    borrowed: BTreeMap<LoanId, Borrowed>,
    /// Open requests, with the time when they were made.
    asked: BTreeMap<LoanId, Millis>,
}

impl Customer {
    fn share(&self) -> Size {
        self.cap
            .map_or(self.share, |cap| smaller(&self.share, &cap))
    }

    fn lent(&self) -> Size {
        let sizes = self.lent.values().map(|lent| lent.loan.size);
        sizes.fold(Size::ZERO, |sum, size| sum.saturating_add(&size))
    }

    fn limit(&self, now: Millis, drain: Millis) -> Size {
        let usable = |loan: &&Borrowed| !loan.recalled && now + drain < loan.until;
        let borrowed = self.borrowed.values().filter(usable);
        let sum = borrowed.fold(self.share(), |sum, loan| sum.saturating_add(&loan.size));
        sum.saturating_sub(&self.lent())
    }
}

/// What one data centre may use of each customer's quota, as seen by one of its entry hosts.
#[derive(Debug)]
pub struct Quotas {
    data_centre: Name,
    host: Name,
    incarnation: u64,
    terms: LoanTerms,
    customers: HashMap<Name, Customer>,
    sequence: u64,
}

impl Quotas {
    pub fn new(data_centre: Name, host: Name, incarnation: u64, terms: LoanTerms) -> Self {
        Quotas {
            data_centre,
            host,
            incarnation,
            terms,
            customers: HashMap::new(),
            sequence: 0,
        }
    }

    /// Splits `total` evenly over `data_centres`, as of a version of the customer's contract.
    ///
    /// When the list of data centres changes, a share grows only after `confirm`: until then
    /// another data centre may still use its larger share of the list before.
    pub fn set(&mut self, customer: &Name, version: u64, total: Size, data_centres: &[Name]) {
        let entry = self.customers.entry(customer.clone()).or_default();
        let is_known = entry.version > 0;
        if is_known && version <= entry.version {
            return;
        }
        let mut sorted = data_centres.to_vec();
        sorted.sort_unstable();
        sorted.dedup();
        let position = sorted.iter().position(|name| *name == self.data_centre);
        let share = position.map_or(Size::ZERO, |at| {
            part(&total, sorted.len() as u32, at as u32)
        });
        if is_known && entry.data_centres != sorted {
            entry.cap = Some(entry.share());
            // The lender may have lost its share, so that nothing stands behind the loan.
            entry.asked.clear();
            entry
                .borrowed
                .values_mut()
                .for_each(|loan| loan.recalled = true);
        }
        entry.version = version;
        entry.data_centres = sorted;
        entry.share = share;
    }

    /// Every data centre of the versions before follows `version` or a later one and has stopped
    /// its `excess`.
    pub fn confirm(&mut self, customer: &Name, version: u64) {
        let entry = self.customers.get_mut(customer);
        if let Some(entry) = entry.filter(|entry| version >= entry.version) {
            entry.cap = None;
        }
    }

    /// What the customer's tasks in this data centre may reserve.
    pub fn limit(&self, now: Millis, customer: &Name) -> Size {
        let entry = self.customers.get(customer);
        entry.map_or(Size::ZERO, |entry| entry.limit(now, self.terms.drain))
    }

    /// Whether `extra` may be added to what is `running` in this data centre.
    pub fn allows(&self, now: Millis, customer: &Name, running: Size, extra: Size) -> bool {
        running
            .saturating_add(&extra)
            .fits(&self.limit(now, customer))
    }

    /// Size of the running tasks that have to stop; on borrowed quota, within `LoanTerms::drain`.
    pub fn excess(&self, now: Millis, customer: &Name, running: Size) -> Size {
        running.saturating_sub(&self.limit(now, customer))
    }

    /// Other data centres that may lend to this one.
    pub fn lenders(&self, customer: &Name) -> Vec<Name> {
        let entry = self.customers.get(customer).into_iter();
        let names = entry.flat_map(|entry| &entry.data_centres);
        names
            .filter(|name| **name != self.data_centre)
            .cloned()
            .collect()
    }

    /// Asks for a loan, to be sent to one lender only. Its term counts from now.
    pub fn ask(&mut self, now: Millis, customer: &Name, size: Size) -> Option<LoanRequest> {
        let entry = self.customers.get_mut(customer)?;
        if !entry.data_centres.contains(&self.data_centre) {
            return None;
        }
        self.sequence += 1;
        let id = LoanId {
            host: self.host.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
        };
        entry.asked.retain(|_, at| now.since(*at) < self.terms.term);
        entry.asked.insert(id.clone(), now);
        Some(LoanRequest {
            id,
            customer: customer.clone(),
            borrower: self.data_centre.clone(),
            size,
        })
    }

    /// The loan to append for a request; `None` if the share is in use.
    pub fn lend(&self, request: &LoanRequest, running: Size) -> Option<Loan> {
        let entry = self.customers.get(&request.customer)?;
        let is_known = entry.lent.contains_key(&request.id);
        let may_borrow = entry.data_centres.contains(&request.borrower);
        let free = entry.share().saturating_sub(&entry.lent());
        let free = free.saturating_sub(&running);
        if is_known || !may_borrow || request.borrower == self.data_centre {
            return None;
        }
        request.size.fits(&free).then(|| Loan {
            id: request.id.clone(),
            customer: request.customer.clone(),
            lender: self.data_centre.clone(),
            borrower: request.borrower.clone(),
            size: request.size,
            term: self.terms.term,
        })
    }

    /// Counts a loan that was read from this data centre's stream, with what is `running` as of
    /// that record. `age` is at most the time since the record was appended.
    ///
    /// Returns whether the host that appended it may pass it to the borrower; otherwise the
    /// share was used or lent first, and the host appends its end.
    pub fn lent(&mut self, now: Millis, age: Millis, loan: &Loan, running: Size) -> bool {
        if loan.lender != self.data_centre {
            return false;
        }
        let entry = self.customers.entry(loan.customer.clone()).or_default();
        if entry.lent.contains_key(&loan.id) {
            return false;
        }
        let lent = Lent {
            loan: loan.clone(),
            until: now + loan.term.since(age),
        };
        entry.lent.insert(loan.id.clone(), lent);
        running.saturating_add(&entry.lent()).fits(&entry.share())
    }

    /// Loans of this data centre; the borrower of each can be asked to `recall` it.
    pub fn outstanding(&self, customer: &Name) -> Vec<&Loan> {
        let entry = self.customers.get(customer).into_iter();
        entry
            .flat_map(|entry| entry.lent.values())
            .map(|lent| &lent.loan)
            .collect()
    }

    /// Loans of this data centre whose term has passed; their end is to be appended.
    pub fn due(&self, now: Millis) -> Vec<LoanId> {
        let lent = self.customers.values().flat_map(|entry| &entry.lent);
        lent.filter(|(_, lent)| lent.until <= now)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Counts the end of a loan, read from this data centre's stream.
    pub fn ended(&mut self, customer: &Name, id: &LoanId) {
        if let Some(entry) = self.customers.get_mut(customer) {
            entry.lent.remove(id);
        }
    }

    /// Starts to use a loan; false if this process did not ask for it or it is too late.
    pub fn borrow(&mut self, now: Millis, loan: &Loan) -> bool {
        let Some(entry) = self.customers.get_mut(&loan.customer) else {
            return false;
        };
        let Some(asked) = entry.asked.remove(&loan.id) else {
            return false;
        };
        // The same margin against clock drift as for leases.
        let term = loan.term.since(Millis(loan.term.0 / 10 + 200));
        let until = asked + term;
        if loan.borrower != self.data_centre || until <= now + self.terms.drain {
            return false;
        }
        let borrowed = Borrowed {
            size: loan.size,
            until,
            recalled: false,
        };
        entry.borrowed.insert(loan.id.clone(), borrowed);
        true
    }

    /// Stops the use of a loan that the lender wants back.
    pub fn recall(&mut self, customer: &Name, id: &LoanId) {
        if let Some(entry) = self.customers.get_mut(customer) {
            entry.asked.remove(id);
            if let Some(loan) = entry.borrowed.get_mut(id) {
                loan.recalled = true;
            }
        }
    }

    /// Gives back loans whose use has ended or that are not needed for what is `running` or
    /// about to start; the lender appends their end.
    pub fn repay(&mut self, now: Millis, customer: &Name, needed: Size) -> Vec<LoanId> {
        let Some(entry) = self.customers.get_mut(customer) else {
            return Vec::new();
        };
        let mut repaid = Vec::new();
        let drain = self.terms.drain;
        for id in entry.borrowed.keys().cloned().collect::<Vec<_>>() {
            let Some(loan) = entry.borrowed.remove(&id) else {
                continue;
            };
            if needed.fits(&entry.limit(now, drain)) {
                repaid.push(id);
            } else {
                entry.borrowed.insert(id, loan);
            }
        }
        repaid
    }
}

/// The share of the data centre at position `index` of `count`; the first ones get the remainder.
fn part(total: &Size, count: u32, index: u32) -> Size {
    let part = |n: u32| n / count + u32::from(index < n % count);
    Size::new(
        part(total.processors),
        part(total.memory),
        part(total.accelerators),
    )
}

fn smaller(a: &Size, b: &Size) -> Size {
    Size::new(
        a.processors.min(b.processors),
        a.memory.min(b.memory),
        a.accelerators.min(b.accelerators),
    )
}
