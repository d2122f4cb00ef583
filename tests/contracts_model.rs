//! Contracts under faults: a model of three hosts and a log that forgets.

use std::collections::{BTreeMap, HashMap};

use jayfork::base::{Millis, Name, Offset, Size};
use jayfork::version::{
    Class, Contract, ContractKind, ContractRecord, ContractTable, ContractVersion, Urgency,
};
use proptest::prelude::*;

fn name(text: &str) -> Name {
    Name::from(text)
}

/// A contract that `mark` tells apart.
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
/// Records that the log retains.
const RETAINED: usize = 60;
const CUSTOMERS: [&str; 2] = ["c", "d"];

#[derive(Debug, Clone)]
enum Step {
    /// Host proposes a contract for a customer on the version that it has, and appends it so often.
    Propose(usize, usize, usize),
    /// Host appends what it has, whether that is due or not.
    Restate(usize, usize),
    Malformed,
    /// Host reads so many records.
    Read(usize, usize),
    /// First host learns from the second.
    Relay(usize, usize),
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

/// What a version is, as decided by log order.
#[derive(Debug, Clone, PartialEq)]
struct Truth {
    version: u64,
    proposal: Name,
    contract: Contract,
    offset: usize,
}

#[derive(Default)]
struct Model {
    log: Vec<Vec<u8>>,
    tables: Vec<ContractTable>,
    truth: HashMap<(Name, u64), Truth>,
    current: BTreeMap<Name, Truth>,
    /// Versions in force seen per host process and customer.
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

    fn first(&self) -> usize {
        self.log.len().saturating_sub(RETAINED)
    }

    /// Appends, and restates what is due: each contract whose record is at half the retention.
    fn append(&mut self, record: &ContractRecord) {
        self.put(record);
        let half = self.log.len().saturating_sub(RETAINED / 2);
        let due: Vec<Truth> = self
            .current
            .values()
            .filter(|t| t.offset < half)
            .cloned()
            .collect();
        for truth in due {
            let mut restated =
                ContractRecord::propose(truth.proposal, truth.version - 1, &truth.contract);
            restated.kind = ContractKind::Restated;
            self.put(&restated);
        }
    }

    fn put(&mut self, record: &ContractRecord) {
        let offset = self.log.len();
        self.log.push(record.encode());
        let current = self.current.get(&record.customer);
        let version = record.base + 1;
        let key = (record.customer.clone(), version);
        let same = self
            .truth
            .get(&key)
            .is_some_and(|t| t.proposal == record.proposal);
        if !same && current.map_or(0, |t| t.version) != record.base {
            return;
        }
        let mut truth = self.truth.get(&key).cloned().unwrap_or_else(|| Truth {
            version,
            proposal: record.proposal.clone(),
            contract: serde_json::from_value(record.contract.clone()).unwrap(),
            offset,
        });
        truth.offset = offset;
        if current.is_none_or(|t| t.version <= version) {
            self.current.insert(record.customer.clone(), truth.clone());
        }
        self.truth.insert(key, truth);
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

    /// What is in force was accepted by log order and never goes back.
    fn check(&mut self) -> Result<(), TestCaseError> {
        for (host, table) in self.tables.iter().enumerate() {
            for versioned in table.iter() {
                let customer = versioned.contract.customer.clone();
                let truth = &self.truth.get(&(customer.clone(), versioned.version));
                prop_assert_eq!(truth.map(|t| &t.contract), Some(&versioned.contract));
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

    /// Guards against contracts that revert, differ between hosts, or depend on the order in which
    /// the log and the peers told of them.
    #[test]
    fn all_tables_converge(steps in steps()) {
        let mut model = Model::new();
        for step in &steps {
            model.step(step);
            model.check()?;
        }
        // A table that has only read the log, and one that heard from a peer before.
        model.tables.extend([ContractTable::new(), ContractTable::new()]);
        model.read(0, usize::MAX / 2);
        model.step(&Step::Relay(HOSTS + 1, 0));
        for host in 0..model.tables.len() {
            model.read(host, usize::MAX / 2);
        }
        model.check()?;
        let expected: Vec<ContractVersion> = model.current.values().map(|truth| ContractVersion {
            version: truth.version,
            offset: Offset(truth.offset as u64),
            proposal: truth.proposal.clone(),
            contract: truth.contract.clone(),
        }).collect();
        for (host, table) in model.tables.iter().enumerate() {
            let found: Vec<ContractVersion> = table.iter().cloned().collect();
            prop_assert_eq!(&found, &expected, "host {}", host);
            prop_assert_eq!(table.offset(), Offset(model.log.len() as u64));
        }
        for customer in CUSTOMERS {
            let told = model.tables[HOSTS + 1].history(customer);
            prop_assert_eq!(told, model.tables[HOSTS].history(customer));
        }
    }
}
