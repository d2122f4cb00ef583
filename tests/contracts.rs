//! Tests contracts: validation, how a table applies records and relayed contracts, and restatement.

use jayfork::base::{Millis, Name, Offset, Size, rank};
use jayfork::connection::wire::RelayedContract;
use jayfork::version::{
    Class, Contract, ContractEffect, ContractError, ContractKind, ContractRecord, ContractTable,
    MAX_BODY, RestatementSchedule, Urgency,
};
use serde_json::{Value, json};
use yare::parameterized;

fn name(text: &str) -> Name {
    Name::from(text)
}

fn valid() -> Value {
    json!({
        "customer": "vltava-prints",
        "data_centres": ["praha-karlin", "brno-zabovresky"],
        "quota": {"processors": 64_000, "memory": 240_000},
        "classes": [
            {"name": "proofs", "urgency": "urgent", "service": "issue-assembly", "deadline": 4_000},
            {"name": "merges", "urgency": "deferrable", "at_most_once": true},
            {"name": "watch", "urgency": "watcher"},
        ],
    })
}

/// Guards against wrong defaults and against defaults that replace the operator's values.
#[test]
fn parses_with_defaults() {
    let contract = Contract::parse(valid().to_string().as_bytes()).unwrap();
    assert_eq!(contract.quota, Size::new(64_000, 240_000, 0));
    let proofs = &contract.classes[0];
    assert_eq!(proofs.deadline, Some(Millis(4_000)));
    assert_eq!(
        (proofs.objective, proofs.max_body, proofs.max_attempts),
        (0.99, MAX_BODY, 5)
    );
    assert!(contract.classes[1].at_most_once && !proofs.at_most_once);
}

/// The valid contract with one field replaced, or removed if `value` is `"REMOVE"`.
fn altered(pointer: &str, value: Value) -> Value {
    let mut contract = valid();
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    match contract.pointer_mut(parent).unwrap() {
        Value::Object(map) if value == "REMOVE" => drop(map.remove(key)),
        Value::Object(map) => drop(map.insert(key.to_owned(), value)),
        Value::Array(list) => list[key.parse::<usize>().unwrap()] = value,
        other => panic!("{other}"),
    }
    contract
}

/// Guards against an error message that doesn't tell the operator which field is wrong, what its
/// value is and what is allowed.
#[parameterized(
    customer_empty = { "/customer", json!(""), "customer", "\"\"", "1 to 64 of the characters" },
    customer_with_slash = { "/customer", json!("a/b"), "customer", "a/b", "1 to 64 of the characters" },
    customer_missing = { "/customer", json!("REMOVE"), "customer", "", "missing" },
    customer_number = { "/customer", json!(7), "customer", "7", "expected a string" },
    no_data_centre = { "/data_centres", json!([]), "data_centres", "0", "1 to 64 entries" },
    data_centre_twice = { "/data_centres", json!(["x", "x"]), "data_centres[1]", "\"x\"", "occurs once" },
    data_centre_blank = { "/data_centres", json!(["x", " "]), "data_centres[1]", "\" \"", "1 to 64 of" },
    quota_zero = { "/quota/processors", json!(0), "quota.processors", "0", "1 to 4294967295 millicores" },
    quota_negative = { "/quota/memory", json!(-1), "quota.memory", "-1", "expected u32" },
    quota_unknown = { "/quota/disks", json!(1), "quota.disks", "", "unknown" },
    quota_missing = { "/quota", json!("REMOVE"), "quota", "", "missing" },
    no_classes = { "/classes", json!([]), "classes", "0", "1 to 64 entries" },
    class_not_object = { "/classes/1", json!("x"), "classes[1]", "\"x\"", "expected an object" },
    class_twice = { "/classes/1/name", json!("proofs"), "classes[1].name", "\"proofs\"", "occurs once" },
    class_unknown_field = { "/classes/1/colour", json!(1), "classes[1].colour", "", "unknown" },
    urgency_unknown = { "/classes/1/urgency", json!("soon"), "classes[1].urgency", "\"soon\"", "expected one of" },
    urgent_without_deadline = { "/classes/0/deadline", json!("REMOVE"), "classes[0].deadline", "", "missing" },
    urgent_without_service = { "/classes/0/service", json!(null), "classes[0].service", "", "missing" },
    deadline_short = { "/classes/0/deadline", json!(9), "classes[0].deadline", "9", "10 to 600000 ms" },
    deadline_long = { "/classes/0/deadline", json!(600_001), "classes[0].deadline", "600001", "10 to 600000 ms" },
    deadline_text = { "/classes/0/deadline", json!("4s"), "classes[0].deadline", "\"4s\"", "expected u64" },
    deadline_of_batch = { "/classes/1/deadline", json!(50), "classes[1].deadline", "50", "not urgent" },
    service_of_batch = { "/classes/1/service", json!("s"), "classes[1].service", "s", "not urgent" },
    watcher_once = { "/classes/2/at_most_once", json!(true), "classes[2].at_most_once", "true", "false for a watcher" },
    objective_low = { "/classes/0/objective", json!(0.49), "classes[0].objective", "0.49", "at least 0.5 and below 1" },
    objective_one = { "/classes/0/objective", json!(1), "classes[0].objective", "1", "at least 0.5 and below 1" },
    objective_decimals = { "/classes/0/objective", json!(0.9999999), "classes[0].objective", "0.9999999", "6 decimals" },
    body_zero = { "/classes/0/max_body", json!(0), "classes[0].max_body", "0", "1 to 16777216 bytes" },
    body_large = { "/classes/0/max_body", json!(MAX_BODY + 1), "classes[0].max_body", "16777217", "1 to 16777216 bytes" },
    attempts_zero = { "/classes/1/max_attempts", json!(0), "classes[1].max_attempts", "0", "1 to 100 attempts" },
    attempts_many = { "/classes/1/max_attempts", json!(101), "classes[1].max_attempts", "101", "1 to 100 attempts" },
)]
fn names_the_invalid_field(pointer: &str, value: Value, field: &str, shown: &str, allowed: &str) {
    let error = Contract::parse(altered(pointer, value).to_string().as_bytes()).unwrap_err();
    assert_eq!(error.field(), Some(field), "{error}");
    let text = error.to_string();
    assert!(
        text.starts_with(field) && text.contains(shown) && text.contains(allowed),
        "{text}"
    );
}

/// Guards against input that causes a panic or is taken for a contract.
#[parameterized(
    empty = { "" },
    truncated = { "{\"customer\":" },
    list = { "[]" },
    duplicate_field = { "{\"customer\":\"a\",\"customer\":\"a\"}" },
)]
fn rejects_other_input(text: &str) {
    assert!(Contract::parse(text.as_bytes()).is_err());
}

/// Guards against an accepted contract that is skipped after a later release narrows a range.
#[test]
fn reading_a_record_ignores_ranges() {
    let json = altered("/classes/0/deadline", json!(1)).to_string();
    assert!(matches!(
        Contract::parse(json.as_bytes()),
        Err(ContractError::Range { .. })
    ));
    assert!(Contract::read(json.as_bytes()).is_ok());
}

// --- Records and relayed contracts ---

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

fn propose(proposal: &str, base: u64, mark: u64) -> Vec<u8> {
    ContractRecord::propose(name(proposal), base, &contract("c", mark)).encode()
}

fn accepted(version: u64, proposal: &str) -> ContractEffect {
    ContractEffect::Accepted {
        customer: name("c"),
        version,
        proposal: name(proposal),
    }
}

/// Version in force and its mark.
fn mark(table: &ContractTable) -> Option<(u64, u64)> {
    let versioned = table.get("c")?;
    let deadline = versioned.contract.classes[0].deadline?;
    Some((versioned.version, deadline.0 - 1_000))
}

/// Guards against two operators who propose at the same time and are both told that they won, or a
/// loser who is not told.
#[test]
fn log_order_decides_between_concurrent_proposals() {
    let mut table = ContractTable::new();
    assert_eq!(
        table.apply(Offset(0), &propose("p0", 0, 0)),
        accepted(1, "p0")
    );
    assert_eq!(
        table.apply(Offset(1), &propose("p1", 1, 1)),
        accepted(2, "p1")
    );
    let lost = ContractEffect::Lost {
        proposal: name("p2"),
        winner: 2,
    };
    assert_eq!(table.apply(Offset(2), &propose("p2", 1, 2)), lost);
    assert_eq!(mark(&table), Some((2, 1)));
    let versions: Vec<u64> = table
        .history("c")
        .iter()
        .map(|versioned| versioned.version)
        .collect();
    assert_eq!(versions, [1, 2]);
}

/// Guards against an operator who is told that a proposal lost although it was accepted: its append
/// was repeated after the answer was lost.
#[test]
fn an_append_repeated_after_a_lost_answer_is_known() {
    let mut table = ContractTable::new();
    table.apply(Offset(0), &propose("p0", 0, 0));
    assert_eq!(
        table.apply(Offset(1), &propose("p0", 0, 0)),
        ContractEffect::Known
    );
    assert_eq!(
        table.apply(Offset(2), &propose("p1", 1, 1)),
        accepted(2, "p1")
    );
    assert_eq!(
        table.apply(Offset(3), &propose("p0", 0, 0)),
        ContractEffect::Known
    );
    assert_eq!(mark(&table), Some((2, 1)));
}

/// Guards against a malformed record that takes effect or keeps later records from taking effect.
#[parameterized(
    no_json = { b"{".to_vec() },
    other_kind = { json!({"kind": "x", "proposal": "p", "customer": "c", "base": 1, "contract": contract("c", 9)}).to_string().into_bytes() },
    other_customer = { json!({"kind": "proposed", "proposal": "p", "customer": "d", "base": 1, "contract": contract("c", 9)}).to_string().into_bytes() },
    no_contract = { json!({"kind": "proposed", "proposal": "p", "customer": "c", "base": 1, "contract": {}}).to_string().into_bytes() },
    last_base = { json!({"kind": "proposed", "proposal": "p", "customer": "c", "base": u64::MAX, "contract": contract("c", 9)}).to_string().into_bytes() },
)]
fn skips_malformed_records(data: Vec<u8>) {
    let mut table = ContractTable::new();
    table.apply(Offset(0), &propose("p0", 0, 0));
    assert!(matches!(
        table.apply(Offset(1), &data),
        ContractEffect::Malformed(_)
    ));
    assert_eq!((mark(&table), table.malformed()), (Some((1, 0)), 1));
    assert_eq!(
        table.apply(Offset(2), &propose("p1", 1, 1)),
        accepted(2, "p1")
    );
}

/// Guards against a contract in force that is replaced by an older one from a peer, or from records
/// that are read a second time (I9).
#[test]
fn a_contract_never_reverts() {
    let mut table = ContractTable::new();
    let relay = |version, offset, m| RelayedContract {
        offset: Offset(offset),
        version,
        contract: serde_json::to_string(&contract("c", m)).unwrap(),
    };
    assert!(table.apply_relayed(relay(7, 70, 7)));
    assert!(!table.apply_relayed(relay(7, 70, 7)));
    assert!(!table.apply_relayed(relay(6, 60, 6)));
    for offset in 0..3 {
        table.apply(
            Offset(offset),
            &propose(&format!("p{offset}"), offset, 100 + offset),
        );
        assert_eq!(mark(&table), Some((7, 7)));
    }
    assert_eq!(
        table.apply(Offset(1), &propose("x", 3, 200)),
        ContractEffect::Known
    );
    let truncated = RelayedContract {
        contract: "{".to_owned(),
        ..relay(8, 80, 8)
    };
    assert!(!table.apply_relayed(truncated));
    assert_eq!(table.malformed(), 1);
    assert_eq!(mark(&table), Some((7, 7)));
}

/// Guards against a peer that gets the same contracts again with every `Hello`.
#[test]
fn relays_only_newer_contracts() {
    let mut table = ContractTable::new();
    for offset in 0..4 {
        let record = ContractRecord::propose(name("p"), 0, &contract(&format!("c{offset}"), 0));
        table.apply(Offset(offset), &record.encode());
    }
    assert_eq!(table.offset(), Offset(4));
    let mut peer = ContractTable::new();
    let offered = table.since(peer.offset());
    assert_eq!(offered.len(), 4);
    for relayed in offered {
        assert!(peer.apply_relayed(relayed));
    }
    peer.mark_relayed(table.offset());
    assert_eq!((peer.offset(), peer.next()), (Offset(4), Offset(0)));
    assert_eq!(peer.since(Offset(2)).len(), 2);
}

/// Guards against a proposal that comes into force although it lost: the record of the winner has
/// expired.
#[test]
fn a_gap_is_resolved_at_the_end_of_the_stream() {
    let mut table = ContractTable::new();
    table.apply(Offset(0), &propose("p0", 0, 0));
    // Version 2 expired at offset 1; p2 lost against it.
    assert_eq!(
        table.apply(Offset(2), &propose("p2", 1, 2)),
        ContractEffect::Unsettled
    );
    assert_eq!((mark(&table), table.offset()), (Some((1, 0)), Offset(0)));
    assert_eq!(table.restate("c"), None);
    let mut writer = ContractTable::new();
    writer.apply(Offset(0), &propose("p0", 0, 0));
    writer.apply(Offset(1), &propose("p1", 1, 1));
    let restated = writer.restate("c").unwrap().encode();
    assert_eq!(writer.apply(Offset(2), &restated), ContractEffect::Known);
    assert_eq!(table.apply(Offset(3), &restated), ContractEffect::Unsettled);
    table.reached_end(Offset(4));
    assert_eq!((mark(&table), table.offset()), (Some((2, 1)), Offset(4)));
    assert_eq!(
        table.apply(Offset(4), &propose("p3", 2, 3)),
        accepted(3, "p3")
    );
}

/// Guards against a history that keeps a proposal that lost against one whose record has expired.
#[test]
fn a_restatement_corrects_the_history() {
    let restated = |base, m| {
        let mut record = ContractRecord::propose(name("won"), base, &contract("c", m));
        record.kind = ContractKind::Restated;
        record.encode()
    };
    let mut table = ContractTable::new();
    table.apply(Offset(5), &propose("lost", 1, 9));
    table.apply(Offset(6), &propose("p3", 2, 3));
    table.apply(Offset(7), &restated(1, 2));
    table.reached_end(Offset(8));
    let history = table.history("c").iter();
    let proposals: Vec<&str> = history.map(|versioned| &*versioned.proposal).collect();
    assert_eq!((proposals, mark(&table)), (vec!["won", "p3"], Some((3, 3))));
}

// --- Restatement ---

const DAY: u64 = 86_400_000;

fn hosts() -> Vec<Name> {
    let hosts = [name("a"), name("b"), name("c")];
    rank("c", &hosts).into_iter().cloned().collect()
}

/// Schedule of the host with rank `rank` for item `c`, whose record was written at `written`.
fn schedule(rank: usize, written: u64) -> RestatementSchedule<Name> {
    let mut schedule = RestatementSchedule::new(hosts()[rank].clone(), Millis(DAY));
    schedule.written(Millis(written + 1_000), &name("c"), Millis(1_000));
    schedule
}

fn due(schedule: &mut RestatementSchedule<Name>, now: u64, hosts: &[Name]) -> usize {
    let mut keys = Vec::new();
    schedule.poll(Millis(now), hosts, 10, &mut keys);
    keys.len()
}

/// Guards against records that expire, and against all hosts restating an item at the same time.
#[parameterized(first = { 0, 0 }, second = { 1, 5_000 }, third = { 2, 10_000 })]
fn due_at_half_the_retention(rank: usize, delay: u64) {
    let mut schedule = schedule(rank, 0);
    let at = DAY / 2 + delay;
    assert_eq!(
        due(&mut schedule, DAY / 2, &hosts()),
        usize::from(delay == 0)
    );
    if delay > 0 {
        assert_eq!(due(&mut schedule, at - 1, &hosts()), 0);
        assert_eq!(due(&mut schedule, at, &hosts()), 1);
    }
    assert_eq!(due(&mut schedule, at + 9_999, &hosts()), 0);
    assert_eq!(
        due(&mut schedule, at + 10_000, &hosts()),
        1,
        "the append was not read back"
    );
}

/// Guards against a host that restates an item which another host has just restated.
#[test]
fn a_restatement_read_back_starts_the_wait_again() {
    let mut schedule = schedule(1, 0);
    let half = DAY / 2;
    assert_eq!(due(&mut schedule, half, &hosts()), 0);
    schedule.written(Millis(half + 200), &name("c"), Millis(100));
    assert_eq!(due(&mut schedule, 2 * half, &hosts()), 0);
    // A record older than the newest changes nothing.
    schedule.written(Millis(half + 300), &name("c"), Millis(half));
    assert_eq!(due(&mut schedule, 2 * half, &hosts()), 0);
    assert_eq!(due(&mut schedule, 2 * half + 5_100, &hosts()), 1);
    schedule.forget(&name("c"));
    assert!(schedule.is_empty());
    assert_eq!(due(&mut schedule, 10 * DAY, &hosts()), 0);
}

/// Guards against items that no host restates because the first one in rank order is dead.
#[test]
fn dead_hosts_are_left_out() {
    let mut schedule = schedule(1, 0);
    assert_eq!(due(&mut schedule, DAY / 2, &hosts()), 0);
    assert_eq!(due(&mut schedule, DAY / 2 + 5_000, &hosts()[1..]), 1);
}

/// Guards against overdue items that are lost or all restated at once when a process starts.
#[test]
fn overdue_items_are_limited_per_call() {
    let mut schedule: RestatementSchedule<Name> = RestatementSchedule::new(name("a"), Millis(DAY));
    for i in 0..25 {
        schedule.written(Millis(5), &name(&format!("c{i}")), Millis(DAY));
    }
    let hosts = [name("a")];
    assert_eq!(
        (0..4)
            .map(|_| due(&mut schedule, 10, &hosts))
            .collect::<Vec<_>>(),
        [10, 10, 5, 0]
    );
}
