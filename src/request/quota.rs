//! Customers' quotas, which data centres share and lend to each other.
//!
//! A data centre's limit is its share of the quota, plus what it borrowed, minus what it lent. The
//! lender subtracts a loan from the time that it reads its own record of the loan until the term
//! has passed or the borrower has repaid the loan. The borrower counts the term from the time of
//! its request, so it stops using the loan before the lender uses that quota again. This needs no
//! common clock and holds for any message delay; a network partition only leaves quota unused.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::base::{Millis, Name, Size};

/// Identifies a loan by the host process that requested it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LoanId {
    pub host: Name,
    /// Incarnation of the host's process.
    pub incarnation: u64,
    pub sequence: u64,
}

/// A request to another data centre to lend a part of its share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanRequest {
    pub id: LoanId,
    pub customer: Name,
    /// Data centre that requests the loan.
    pub borrower: Name,
    pub size: Size,
    /// Version of the contract that the borrower follows.
    pub version: u64,
}

/// Record of a loan in the lender's task stream. The borrower receives a copy once the lender has
/// read the record back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    pub id: LoanId,
    pub customer: Name,
    pub lender: Name,
    pub borrower: Name,
    pub size: Size,
    /// Duration of the loan, in ms.
    pub term: Millis,
}

/// Durations of loans, in ms.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoanTiming {
    pub term: Millis,
    /// Time that the borrower has at the end of a loan to stop the tasks that use it.
    pub drain: Millis,
}

impl Default for LoanTiming {
    fn default() -> Self {
        LoanTiming {
            term: Millis(600_000),
            // An unreachable worker stops its tasks when their run lease of 20 s expires.
            drain: Millis(60_000),
        }
    }
}

/// A loan to another data centre.
#[derive(Debug)]
struct LentLoan {
    loan: Loan,
    until: Millis,
}

/// A loan from another data centre.
#[derive(Debug)]
struct BorrowedLoan {
    size: Size,
    /// Time by which the tasks that use the loan must have ended.
    until: Millis,
    recalled: bool,
}

/// One customer's quota in this data centre.
#[derive(Debug, Default)]
struct CustomerQuota {
    /// Version of the customer's contract.
    version: u64,
    /// Data centres that share the quota, sorted by name.
    data_centres: Vec<Name>,
    share: Size,
    /// Upper bound on the share until every data centre follows the contract's version.
    share_cap: Option<Size>,
    lent: BTreeMap<LoanId, LentLoan>,
    borrowed: BTreeMap<LoanId, BorrowedLoan>,
    /// Unanswered loan requests, with the time of each request.
    requested: BTreeMap<LoanId, Millis>,
}

impl CustomerQuota {
    fn effective_share(&self) -> Size {
        self.share_cap
            .map_or(self.share, |cap| min_size(&self.share, &cap))
    }

    fn lent_size(&self) -> Size {
        let sizes = self.lent.values().map(|lent| lent.loan.size);
        sizes.fold(Size::ZERO, |sum, size| sum.saturating_add(&size))
    }

    fn limit(&self, now: Millis, drain: Millis) -> Size {
        let usable = |loan: &&BorrowedLoan| !loan.recalled && now + drain < loan.until;
        let borrowed = self.borrowed.values().filter(usable);
        let sum = borrowed.fold(self.effective_share(), |sum, loan| {
            sum.saturating_add(&loan.size)
        });
        sum.saturating_sub(&self.lent_size())
    }
}

/// What one data centre may use of each customer's quota, as seen by one of its entry hosts.
#[derive(Debug)]
pub struct Quotas {
    data_centre: Name,
    host: Name,
    incarnation: u64,
    timing: LoanTiming,
    customers: HashMap<Name, CustomerQuota>,
    sequence: u64,
}

impl Quotas {
    pub fn new(data_centre: Name, host: Name, incarnation: u64, timing: LoanTiming) -> Self {
        Quotas {
            data_centre,
            host,
            incarnation,
            timing,
            customers: HashMap::new(),
            sequence: 0,
        }
    }

    /// Splits `total` evenly over `data_centres`, as a version of the customer's contract requires.
    ///
    /// When the list of data centres changes, a share grows only after `confirm_version`: until
    /// then another data centre may still use its larger share under the previous list.
    pub fn set_contract(
        &mut self,
        customer: &Name,
        version: u64,
        total: Size,
        data_centres: &[Name],
    ) {
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
            share_of(&total, sorted.len() as u32, at as u32)
        });
        if is_known && entry.data_centres != sorted {
            entry.share_cap = Some(entry.effective_share());
            // The lender may have lost the share from which it lent.
            entry.requested.clear();
            entry
                .borrowed
                .values_mut()
                .for_each(|loan| loan.recalled = true);
        }
        entry.version = version;
        entry.data_centres = sorted;
        entry.share = share;
    }

    /// Confirms that every data centre of earlier versions follows `version` or a later one and has
    /// stopped its `excess`; the share may then grow.
    pub fn confirm_version(&mut self, customer: &Name, version: u64) {
        let entry = self.customers.get_mut(customer);
        if let Some(entry) = entry.filter(|entry| version >= entry.version) {
            entry.share_cap = None;
        }
    }

    /// Size that the customer's tasks in this data centre may reserve together.
    pub fn limit(&self, now: Millis, customer: &Name) -> Size {
        let entry = self.customers.get(customer);
        entry.map_or(Size::ZERO, |entry| entry.limit(now, self.timing.drain))
    }

    /// Whether tasks of size `extra` may start beside those `running` in this data centre.
    pub fn allows(&self, now: Millis, customer: &Name, running: Size, extra: Size) -> bool {
        running
            .saturating_add(&extra)
            .fits(&self.limit(now, customer))
    }

    /// Size of the running tasks that must stop. Tasks on borrowed quota must stop within
    /// `LoanTiming::drain`.
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

    /// Creates a loan request, which may be sent to one lender only. The term counts from now.
    pub fn request_loan(
        &mut self,
        now: Millis,
        customer: &Name,
        size: Size,
    ) -> Option<LoanRequest> {
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
        entry
            .requested
            .retain(|_, at| now.since(*at) < self.timing.term);
        entry.requested.insert(id.clone(), now);
        Some(LoanRequest {
            id,
            customer: customer.clone(),
            borrower: self.data_centre.clone(),
            size,
            version: entry.version,
        })
    }

    /// The loan to append for a request; `None` if the unused share is too small, the request is invalid,
    /// or the borrower follows another version of the contract: the share that is lent may belong to
    /// the borrower already.
    pub fn grant_loan(&self, request: &LoanRequest, running: Size) -> Option<Loan> {
        let entry = self.customers.get(&request.customer)?;
        let is_known = entry.lent.contains_key(&request.id);
        let may_borrow = entry.data_centres.contains(&request.borrower);
        let free = entry.effective_share().saturating_sub(&entry.lent_size());
        let free = free.saturating_sub(&running);
        let is_same_version = request.version == entry.version;
        if is_known || !may_borrow || !is_same_version || request.borrower == self.data_centre {
            return None;
        }
        request.size.fits(&free).then(|| Loan {
            id: request.id.clone(),
            customer: request.customer.clone(),
            lender: self.data_centre.clone(),
            borrower: request.borrower.clone(),
            size: request.size,
            term: self.timing.term,
        })
    }

    /// Records a loan that was read from this data centre's stream. `running` is the size of the
    /// tasks that run as of that record; `age` is at most the time since the record was appended.
    ///
    /// Returns whether the host that appended the loan may pass it to the borrower. If not, the
    /// share was used or lent before, and the host appends the end of the loan.
    pub fn loan_read(&mut self, now: Millis, age: Millis, loan: &Loan, running: Size) -> bool {
        if loan.lender != self.data_centre {
            return false;
        }
        let entry = self.customers.entry(loan.customer.clone()).or_default();
        if entry.lent.contains_key(&loan.id) {
            return false;
        }
        let lent = LentLoan {
            loan: loan.clone(),
            until: now + loan.term.since(age),
        };
        entry.lent.insert(loan.id.clone(), lent);
        running
            .saturating_add(&entry.lent_size())
            .fits(&entry.effective_share())
    }

    /// Loans that this data centre has granted and that have not ended. Their borrowers can be told
    /// to call `recall_loan`.
    pub fn outstanding_loans(&self, customer: &Name) -> Vec<&Loan> {
        let entry = self.customers.get(customer).into_iter();
        entry
            .flat_map(|entry| entry.lent.values())
            .map(|lent| &lent.loan)
            .collect()
    }

    /// Granted loans whose term has passed; the caller appends their end.
    pub fn expired_loans(&self, now: Millis) -> Vec<LoanId> {
        let lent = self.customers.values().flat_map(|entry| &entry.lent);
        lent.filter(|(_, lent)| lent.until <= now)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Records the end of a loan that was read from this data centre's stream.
    pub fn loan_ended(&mut self, customer: &Name, id: &LoanId) {
        if let Some(entry) = self.customers.get_mut(customer) {
            entry.lent.remove(id);
        }
    }

    /// Adds a borrowed loan to the limit. Returns false if this process did not request it or too
    /// little of its term is left.
    pub fn accept_loan(&mut self, now: Millis, loan: &Loan) -> bool {
        let Some(entry) = self.customers.get_mut(&loan.customer) else {
            return false;
        };
        let Some(requested_at) = entry.requested.remove(&loan.id) else {
            return false;
        };
        // The same allowance for clock drift as for leases: 10% and 200 ms.
        let term = loan.term.since(Millis(loan.term.0 / 10 + 200));
        let until = requested_at + term;
        if loan.borrower != self.data_centre || until <= now + self.timing.drain {
            return false;
        }
        let borrowed = BorrowedLoan {
            size: loan.size,
            until,
            recalled: false,
        };
        entry.borrowed.insert(loan.id.clone(), borrowed);
        true
    }

    /// Excludes a borrowed loan from the limit, because its lender wants it back.
    pub fn recall_loan(&mut self, customer: &Name, id: &LoanId) {
        if let Some(entry) = self.customers.get_mut(customer) {
            entry.requested.remove(id);
            if let Some(loan) = entry.borrowed.get_mut(id) {
                loan.recalled = true;
            }
        }
    }

    /// Removes and returns the loans without which `needed` still fits the limit. `needed` is the
    /// size of all tasks that run or are about to start. The lender appends the end of each loan.
    pub fn repay_loans(&mut self, now: Millis, customer: &Name, needed: Size) -> Vec<LoanId> {
        let Some(entry) = self.customers.get_mut(customer) else {
            return Vec::new();
        };
        let mut repaid = Vec::new();
        let drain = self.timing.drain;
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

/// Share of the data centre at position `index` of `count`; the first ones get the remainder.
fn share_of(total: &Size, count: u32, index: u32) -> Size {
    let part = |n: u32| n / count + u32::from(index < n % count);
    Size::new(
        part(total.processors),
        part(total.memory),
        part(total.accelerators),
    )
}

fn min_size(a: &Size, b: &Size) -> Size {
    Size::new(
        a.processors.min(b.processors),
        a.memory.min(b.memory),
        a.accelerators.min(b.accelerators),
    )
}
