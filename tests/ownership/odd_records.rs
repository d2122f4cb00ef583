//! Records in the streams of the store that no host writes.

use bytes::Bytes;
use jayfork::base::Millis;
use jayfork::connection::{KeyedRecord, Page, StoreAnswer, StoreRequest};
use jayfork::process::host::{Host, HostAction, HostEvent, HostRecord, HostSettings, StorePurpose};
use jayfork::process::shard::Now;
use jayfork::version::{OwnerRecord, ShardRecord};
use yare::parameterized;

use super::world::{HIGH_CAPACITY, START, STEP, World, address, shard_settings};

/// A host whose calls the test answers itself.
struct Lone {
    host: Host,
    now: u64,
}

impl Lone {
    fn start() -> Self {
        let settings = HostSettings {
            record: HostRecord {
                name: "host-0".into(),
                boot: 1,
                control: address(0),
                data_centre: "centre-0".into(),
                region: "east".into(),
                processor: HIGH_CAPACITY,
            },
            seeds: Vec::new(),
            shard: shard_settings(),
        };
        let now = Now {
            steady: Millis(START),
            wall: START,
        };
        Lone {
            host: Host::new(settings, now),
            now: START,
        }
    }

    fn time(&self) -> Now {
        Now {
            steady: Millis(self.now),
            wall: self.now,
        }
    }

    /// The next request for the records of the hosts.
    fn next_request(&mut self) -> StoreRequest {
        for _ in 0..2_000 {
            self.now += STEP;
            let mut actions = Vec::new();
            self.host.poll(self.time(), &mut actions);
            for action in actions {
                if let HostAction::Store(StorePurpose::Hosts, call) = action {
                    return call.request;
                }
            }
        }
        panic!("the host reads the stream no more");
    }

    fn answer(&mut self, page: Page) {
        let event = HostEvent::Store {
            purpose: StorePurpose::Hosts,
            answer: Ok(StoreAnswer::Page(page)),
            took: Millis(5),
        };
        let now = self.time();
        self.host.handle(now, event, &mut Vec::new());
    }
}

/// A page without a readable record.
fn unreadable_page(keys: &[&str]) -> Page {
    Page {
        unreadable: keys.iter().map(|key| key.to_string()).collect(),
        has_more: true,
        end: 40,
        ..Page::default()
    }
}

/// Guards against a listing that reads one page again and again, because it has no readable record.
#[test]
fn a_listing_goes_on_behind_unreadable_records() {
    let mut lone = Lone::start();
    let first = lone.next_request();
    assert!(matches!(first, StoreRequest::Newest { after: None, .. }));
    lone.answer(unreadable_page(&["host/a", "host/b"]));
    let StoreRequest::Newest { after, .. } = lone.next_request() else {
        panic!("not a listing");
    };
    assert_eq!(after.as_deref(), Some("host/b"));
    // Without any key the listing cannot go on, but new records can be read.
    lone.answer(unreadable_page(&[]));
    let next = lone.next_request();
    assert!(
        matches!(next, StoreRequest::Read { offset: 40, .. }),
        "{next:?}"
    );
}

/// Guards against a host that ends at a record whose text claims to be longer than any memory.
#[parameterized(
    length_of_64_bits = { &[253, 255, 255, 255, 255, 255, 255, 255, 255] },
    length_of_62_bits = { &[253, 255, 255, 255, 255, 255, 255, 255, 63] },
    length_of_44_bits = { &[253, 255, 255, 255, 255, 255, 15, 0, 0] },
    no_text = { &[3, 0xff, 0xff, 0xff] },
    empty = { &[] },
)]
fn a_record_with_a_false_length_ends_no_host(value: &'static [u8]) {
    let mut lone = Lone::start();
    lone.next_request();
    let keys = ["host/x", "owner", "other"];
    lone.answer(Page {
        records: keys.map(|key| record(key, value)).into(),
        end: 40,
        ..Page::default()
    });
    let next = lone.next_request();
    assert!(
        matches!(next, StoreRequest::Read { offset: 40, .. }),
        "{next:?}"
    );
}

/// Guards against an owner that ends while it loads such a record of the shard.
#[parameterized(
    owner = { "owner", &[] },
    contention = { "contention", &[1] },
    worker = { "w/i-7f", &[0, 10, 0, 0, 1, 80] },
    job = { "j/5c0e7a21d94b36f8", &[] },
    state = { "s/5c0e7a21d94b36f8", &[1] },
    crashes = { "c/5c0e7a21d94b36f8", &[1, 0, 0, 0] },
)]
fn a_shard_record_with_a_false_length_is_refused(key: &str, start: &[u8]) {
    let value = [start, &[253, 255, 255, 255, 255, 255, 255, 255, 63]].concat();
    assert!(ShardRecord::decode(key, &value).is_err());
}

fn record(key: &str, value: &'static [u8]) -> KeyedRecord {
    KeyedRecord {
        key: key.to_owned(),
        value: Bytes::from_static(value),
    }
}

const ENTRY: &str = r#"{"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1","slots":8,
    "state":"ready","coldRemainingMs":0,"capacity":{"cpu":16000,"memMb":32768,"gpu":0},
    "labels":["a","r1-3"],"clockMs":4,"seq":4,"born":17}"#;

/// Guards against an owner that follows the registry no more, or sends orders to an address at which
/// no worker can be, because of one entry of another program.
#[parameterized(
    no_id = { "", ENTRY },
    long_id = { &"x".repeat(254), ENTRY },
    longer_id = { &"x".repeat(700), ENTRY },
    line_break_in_id = { "x\r\ny", ENTRY },
    space_in_id = { "x ", ENTRY },
    id_not_utf8 = { "x\u{fffd}", ENTRY },
    no_port = { "x", &ENTRY.replace(":80", ":0") },
    port_out_of_range = { "x", &ENTRY.replace(":80", ":65536") },
    unspecified_address = { "x", &ENTRY.replace("10.0.0.9", "0.0.0.0") },
    multicast_address = { "x", &ENTRY.replace("10.0.0.9", "224.0.0.1") },
    number_too_large = { "x", &ENTRY.replace("16000", "1e400") },
    deeply_nested = { "x", &("[".repeat(100_000) + &"]".repeat(100_000)) },
    deeply_nested_field = { "x", &ENTRY.replace("16000", &("[".repeat(100_000) + &"]".repeat(100_000))) },
    long_service = { "x", &ENTRY.replace("\"s\"", &format!("\"{}\"", "s".repeat(262_000))) },
    not_json = { "x", "\0\u{1}" },
)]
fn an_odd_entry_names_no_worker(key: &str, value: &str) {
    let mut world = World::start(1, &[(HIGH_CAPACITY, 2); 3]);
    world.register(key, value);
    world.run(4_000);
    world.register(key, value);
    world.register("i-7f", ENTRY);
    world.run(2_000);
    assert_eq!(world.owners().len(), 1);
    let ordered: Vec<&str> = world.ordered_workers.iter().map(|(id, _)| &**id).collect();
    assert_eq!(ordered, ["i-7f"]);
    let keys = world.journal_keys();
    let is_odd = |key: &&String| key.starts_with("w/") && *key != "w/i-7f";
    assert_eq!(keys.iter().find(is_odd), None);
}

/// Guards against an odd entry under the id of a worker that removes the worker when the registry is
/// listed anew, though it does not when it is read record by record.
#[parameterized(
    not_json = { "\0\u{1}" },
    no_port = { &ENTRY.replace(":80", ":0") },
    fields_missing = { "{}" },
)]
fn an_odd_entry_of_a_worker_does_not_remove_it(odd: &str) {
    let mut world = World::start(1, &[(HIGH_CAPACITY, 2); 3]);
    for id in ["a", "b", "c"] {
        world.register(id, ENTRY);
    }
    world.run(4_000);
    world.register("b", odd);
    world.register("c", "");
    world.run(1_000);
    assert_eq!(world.listed_workers(), ["a", "b"]);
    world.expire_registry();
    world.run(1_000);
    assert_eq!(world.listed_workers(), ["a", "b"]);
    // The store removes the entry of a worker that is silent.
    world.register("b", "");
    world.expire_registry();
    world.run(1_000);
    assert_eq!(world.listed_workers(), ["a"]);
}

/// Guards against a shard that nobody owns any more, because a record claims an epoch that no claim can
/// exceed.
#[parameterized(
    all_bits = { u64::MAX },
    highest_bit = { 1 << 63 },
    run_numbers_overflow = { 1 << 52 },
)]
fn an_owner_with_an_impossible_epoch_keeps_nobody_from_claiming(epoch: u64) {
    let mut world = World::start(1, &[(HIGH_CAPACITY, 2); 3]);
    world.run(4_000);
    let owners = world.owners();
    let odd = ShardRecord::Owner(OwnerRecord {
        host: "nobody".into(),
        boot: 1,
        epoch,
    });
    world.store_host_record(KeyedRecord {
        key: odd.key(),
        value: odd.value(),
    });
    world.run(4_000);
    assert_eq!(world.owners(), owners);
    world.hosts[owners[0]] = None;
    world.run(6_000);
    assert_eq!(world.owners().len(), 1);
    let epochs = world.hosts.iter().flatten().filter_map(Host::shard);
    let epochs: Vec<u64> = epochs.map(|shard| shard.epoch()).collect();
    assert!(epochs[0] < 1 << 32, "{epochs:?}");
}
