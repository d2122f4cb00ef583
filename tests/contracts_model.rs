//! Random faults against the contract tables of three hosts and a log that drops old records.

use std::collections::{BTreeMap, HashMap};

use jayfork::base::{Millis, Name, Offset, Size};
use jayfork::version::{
    Class, Contract, ContractKind, ContractRecord, ContractTable, ContractVersion, Urgency,
};
use proptest::prelude::*;

fn name(text: &str) -> Name {
    Name::from(text)
}

/// A contract that differs by `mark`.
fn contract(customer: &str, mark: u64) -> Contract {
    Contract {
        customer: name(customer),
        data_centres: vec![name("cluj-a")],
        quota: Size::new(1_000, 1_000, 0),
        classes: vec![Class {
            name: name("checks"),
            urgency: Urgency::Urgent,
            service: Some(name("injection-log")),
            deadline: Some(Millis(1_000 + mark)),
            at_most_once: false,
            objective: 0.999,
            max_body: 1_024,
            max_attempts: 3,
        }],
    }
}

const HOSTS: usize = 3;
/// Number of records that the log retains.
const RETAINED: usize = 60;
const CUSTOMERS: [&str; 2] = ["c", "d"];

#[derive(Debug, Clone)]
enum Step {
    /// Host, customer, number of appends: the host proposes a contract based on the version that it
    /// has, and appends it this often.
    Propose(usize, usize, usize),
    /// Host, customer: the host restates the contract, whether that is due or not.
    Restate(usize, usize),
    /// A malformed record is appended.
    Malformed,
    /// Host, number of records that it reads.
    Read(usize, usize),
    /// The second host relays its contracts to the first.
    Relay(usize, usize),
    /// The host loses its table.
    Restart(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let (host, customer) = (0..HOSTS, 0..CUSTOMERS.len());
    let step = prop_oneof![
        8 => (host.clone(), customer.clone(), 1..3usize).prop_map(|(h, c, n)| Step::Propose(h, c, n)),
        2 => (host.clone(), customer).prop_map(|(h, c)| Step::Restate(h, c)),
        1 => Just(Step::Malformed),
        6 => (host.clone(), 1..20usize).prop_map(|(h, n)| Step::Read(h, n)),
        3 => (host.clone(), host.clone()).prop_map(|(a, b)| Step::Relay(a, b)),
        1 => host.prop_map(Step::Restart),
    ];
    prop::collection::vec(step, 1..300)
}

/// A version that the log accepted.
#[derive(Debug, Clone, PartialEq)]
struct AcceptedVersion {
    version: u64,
    proposal: Name,
    contract: Contract,
    /// Offset of the newest record with the version.
    offset: usize,
}

#[derive(Default)]
struct Model {
    log: Vec<Vec<u8>>,
    tables: Vec<ContractTable>,
    /// Every accepted version by customer and number.
    accepted: HashMap<(Name, u64), AcceptedVersion>,
    /// Newest version by customer.
    current: BTreeMap<Name, AcceptedVersion>,
    /// Newest version seen in force, by host and customer, since the host's last restart.
    seen: HashMap<(usize, Name), u64>,
    proposals: u64,
}

impl Model {
    fn new() -> Self {
        Model {
            tables: (0..HOSTS).map(|_| ContractTable::new()).collect(),
            ..Model::default()
        }
    }

    /// First offset that the log retains.
    fn first(&self) -> usize {
        self.log.len().saturating_sub(RETAINED)
    }

    /// Appends a record, and restates each contract whose record has reached half the retention.
    fn append(&mut self, record: &ContractRecord) {
        self.append_one(record);
        let half = self.log.len().saturating_sub(RETAINED / 2);
        let due: Vec<AcceptedVersion> = self
            .current
            .values()
            .filter(|t| t.offset < half)
            .cloned()
            .collect();
        for accepted in due {
            let mut restated = ContractRecord::propose(
                accepted.proposal,
                accepted.version - 1,
                &accepted.contract,
            );
            restated.kind = ContractKind::Restated;
            self.append_one(&restated);
        }
    }

    /// Appends a record and updates the accepted versions.
    fn append_one(&mut self, record: &ContractRecord) {
        let offset = self.log.len();
        self.log.push(record.encode());
        let current = self.current.get(&record.customer);
        let version = record.base + 1;
        let key = (record.customer.clone(), version);
        let is_known = self
            .accepted
            .get(&key)
            .is_some_and(|t| t.proposal == record.proposal);
        if !is_known && current.map_or(0, |t| t.version) != record.base {
            return;
        }
        let mut accepted = self
            .accepted
            .get(&key)
            .cloned()
            .unwrap_or_else(|| AcceptedVersion {
                version,
                proposal: record.proposal.clone(),
                contract: serde_json::from_value(record.contract.clone()).unwrap(),
                offset,
            });
        accepted.offset = offset;
        if current.is_none_or(|t| t.version <= version) {
            self.current
                .insert(record.customer.clone(), accepted.clone());
        }
        self.accepted.insert(key, accepted);
    }

    fn read(&mut self, host: usize, count: usize) {
        let first = self.first();
        let table = &mut self.tables[host];
        let from = (table.next().0 as usize).max(first);
        for (offset, record) in self.log.iter().enumerate().skip(from).take(count) {
            table.apply(Offset(offset as u64), record);
        }
        if from + count >= self.log.len() {
            table.reached_end(Offset(self.log.len() as u64));
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Propose(host, customer, appends) => {
                let customer = CUSTOMERS[customer];
                let base = self.tables[host].get(customer).map_or(0, |v| v.version);
                self.proposals += 1;
                let proposal = name(&format!("p{}", self.proposals));
                let contract = contract(customer, self.proposals);
                let record = ContractRecord::propose(proposal, base, &contract);
                (0..appends).for_each(|_| self.append(&record));
            }
            Step::Restate(host, customer) => {
                if let Some(record) = self.tables[host].restate(CUSTOMERS[customer]) {
                    self.append(&record);
                }
            }
            Step::Malformed => self.log.push(b"{}".to_vec()),
            Step::Read(host, count) => self.read(host, count),
            Step::Relay(to, from) => {
                let (offset, offered) = {
                    let from = &self.tables[from];
                    (from.offset(), from.since(self.tables[to].offset()))
                };
                let table = &mut self.tables[to];
                for relayed in offered {
                    table.apply_relayed(relayed);
                }
                table.mark_relayed(offset);
            }
            Step::Restart(host) => {
                self.tables[host] = ContractTable::new();
                self.seen.retain(|(h, _), _| *h != host);
            }
        }
    }

    /// Checks that each contract in force was accepted by the log and has not reverted.
    fn check(&mut self) -> Result<(), TestCaseError> {
        for (host, table) in self.tables.iter().enumerate() {
            for versioned in table.iter() {
                let customer = versioned.contract.customer.clone();
                let accepted = &self.accepted.get(&(customer.clone(), versioned.version));
                prop_assert_eq!(accepted.map(|t| &t.contract), Some(&versioned.contract));
                let seen = self.seen.entry((host, customer)).or_default();
                prop_assert!(versioned.version >= *seen, "reverted from {}", seen);
                *seen = versioned.version;
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Guards against contracts that revert (I9), differ between hosts, or depend on the order in
    /// which records and relayed contracts arrive.
    #[test]
    fn all_tables_converge(steps in steps()) {
        let mut model = Model::new();
        for step in &steps {
            model.step(step);
            model.check()?;
        }
        // Two new tables: one reads only the log, the other gets relayed contracts first.
        model.tables.extend([ContractTable::new(), ContractTable::new()]);
        model.read(0, usize::MAX / 2);
        model.step(&Step::Relay(HOSTS + 1, 0));
        for host in 0..model.tables.len() {
            model.read(host, usize::MAX / 2);
        }
        model.check()?;
        let expected: Vec<ContractVersion> = model.current.values().map(|accepted| ContractVersion {
            version: accepted.version,
            offset: Offset(accepted.offset as u64),
            proposal: accepted.proposal.clone(),
            contract: accepted.contract.clone(),
        }).collect();
        for (host, table) in model.tables.iter().enumerate() {
            let found: Vec<ContractVersion> = table.iter().cloned().collect();
            prop_assert_eq!(&found, &expected, "host {}", host);
            prop_assert_eq!(table.offset(), Offset(model.log.len() as u64));
        }
        for customer in CUSTOMERS {
            let relayed_first = model.tables[HOSTS + 1].history(customer);
            prop_assert_eq!(relayed_first, model.tables[HOSTS].history(customer));
        }
    }
}
