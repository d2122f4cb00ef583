//! Tests that records and entries that no part of the system writes hide no others, and that they
//! name no worker.

use bytes::Bytes;
use jayfork::base::Millis;
use jayfork::connection::{
    CallError, HttpReply, KeyedRecord, Order, Page, Partition, StoreAnswer, StoreRequest,
    WorkerCall,
};
use jayfork::platform::{
    decode_registry_entry, decode_store_answer, decode_worker_answer, decode_worker_id,
};
use yare::parameterized;

fn partition() -> Partition {
    Partition {
        stream: "keyed.x".into(),
        part: 0,
    }
}

fn reply(body: impl Into<Bytes>) -> HttpReply {
    HttpReply {
        status: 200,
        body: body.into(),
    }
}

/// Reads a body with these records from offset 840.
fn read(records: &[&[u8]]) -> Result<StoreAnswer, CallError> {
    let mut body = vec![0; 16];
    for record in records {
        body.extend_from_slice(&(record.len() as u32).to_be_bytes());
        body.extend_from_slice(record);
    }
    let request = StoreRequest::Read {
        partition: partition(),
        offset: 840,
    };
    decode_store_answer(&request, &reply(body))
}

/// Reads a page with these items.
fn page(items: &[u8], more: bool) -> Result<StoreAnswer, CallError> {
    let mut body = b"{\"items\":[".to_vec();
    body.extend_from_slice(items);
    body.extend_from_slice(format!("],\"more\":{more},\"end\":9}}").as_bytes());
    let request = StoreRequest::Newest {
        partition: partition(),
        after: None,
    };
    decode_store_answer(&request, &reply(body))
}

fn keys(records: &[KeyedRecord]) -> Vec<&str> {
    records.iter().map(|record| record.key.as_str()).collect()
}

/// Guards against a host that stops to follow a stream at a record that has no key.
#[parameterized(
    empty = { b"" },
    key_longer_than_record = { b"\x09ab" },
)]
fn a_record_without_a_key_hides_no_other(odd: &[u8]) {
    let answer = read(&[b"\x02abc", odd, b"\x02xyz"]);
    let Ok(StoreAnswer::Records { records, next, .. }) = answer else {
        panic!("no records: {answer:?}");
    };
    assert_eq!((keys(&records), next), (vec!["ab", "xy"], 843));
}

/// Guards against a listing that fails, so that the host follows the stream no more, because of one
/// item.
#[parameterized(
    not_base64 = { br#"{"key":"b","value":"%%%"}"#, &["b"] },
    null_value = { br#"{"key":"b","value":null}"#, &["b"] },
    number_as_value = { br#"{"key":"b","value":1e400}"#, &["b"] },
    nested_value = { br#"{"key":"b","value":[[[]]]}"#, &["b"] },
    no_key = { br#"{"value":"e30="}"#, &[] },
    null_key = { br#"{"key":null,"value":"e30="}"#, &[] },
    half_a_character = { br#"{"key":"\ud800","value":"e30="}"#, &[] },
    not_an_object = { b"7", &[] },
)]
fn an_odd_item_hides_no_other(odd: &[u8], unreadable: &[&str]) {
    let items = [br#"{"key":"a","value":"e30="},"#, odd, br#",{"key":"c"}"#].concat();
    let answer = page(&items, false);
    let Ok(StoreAnswer::Page(page)) = answer else {
        panic!("no page: {answer:?}");
    };
    assert_eq!(keys(&page.records), ["a", "c"]);
    assert_eq!(&page.records[0].value[..], b"{}");
    assert_eq!(
        (page.unreadable, page.end),
        (unreadable.iter().map(|key| key.to_string()).collect(), 9)
    );
}

/// Guards against a listing that fails because an item is nested too deeply for the decoder, or a key
/// is not UTF-8.
#[test]
fn deep_nesting_and_other_encodings_hide_no_item() {
    let deep = format!(
        r#"{{"key":"b","value":{}{}}}"#,
        "[".repeat(100_000),
        "]".repeat(100_000)
    );
    let items = [
        br#"{"key":"a"},"#,
        deep.as_bytes(),
        b",{\"key\":\"c\xff\"},{\"key\":\"d\"}",
    ]
    .concat();
    let answer = page(&items, true);
    let Ok(StoreAnswer::Page(page)) = answer else {
        panic!("no page: {answer:?}");
    };
    assert_eq!(keys(&page.records), ["a", "c\u{fffd}", "d"]);
    assert_eq!(page.unreadable, ["b"]);
}

/// Guards against a listing that never ends: the next page starts after the last key, also if the
/// record of that key can't be read.
#[test]
fn a_page_leads_past_unreadable_records() {
    let page = |items| match page(items, true) {
        Ok(StoreAnswer::Page(page)) => page,
        answer => panic!("no page: {answer:?}"),
    };
    let mixed = page(br#"{"key":"a"},{"key":"b","value":7}"#);
    assert_eq!(mixed.last_key().map(String::as_str), Some("b"));
    let unreadable = page(br#"{"key":"b","value":7}"#);
    assert_eq!(unreadable.last_key().map(String::as_str), Some("b"));
    assert_eq!(Page::default().last_key(), None);
}

/// The entry of a worker.
fn entry() -> serde_json::Value {
    serde_json::json!({"service": "s", "address": "10.0.0.9:80", "zone": "z", "version": "v1",
        "slots": 8, "state": "ready", "coldRemainingMs": 0, "labels": ["a", "r1-3"], "seq": 4,
        "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0}, "clockMs": 4, "born": 17})
}

/// Guards against orders to an address at which no single process can listen, among them the owner's
/// own ports.
#[parameterized(
    no_port = { "10.0.0.9:0", false },
    port_out_of_range = { "10.0.0.9:65536", false },
    unspecified = { "0.0.0.0:80", false },
    unspecified_v6 = { "[::]:80", false },
    unspecified_as_v6 = { "[::ffff:0.0.0.0]:80", false },
    multicast = { "224.0.0.1:80", false },
    multicast_v6 = { "[ff02::1]:80", false },
    broadcast = { "255.255.255.255:80", false },
    empty = { "", false },
    worker = { "10.0.0.9:80", true },
    worker_v6 = { "[fd00::9]:65535", true },
    worker_on_this_host = { "127.0.0.1:80", true },
)]
fn an_entry_needs_the_address_of_a_process(address: &str, is_valid: bool) {
    let mut entry = entry();
    entry["address"] = address.into();
    let decoded = decode_registry_entry(entry.to_string().as_bytes());
    assert_eq!(decoded.is_ok(), is_valid, "{decoded:?}");
}

/// Guards against an entry that takes much memory for as long as it is listed, or whose record the
/// store refuses for its size.
#[parameterized(
    long_service = { "service", "x".repeat(251).into() },
    long_zone = { "zone", "x".repeat(251).into() },
    long_label = { "labels", vec!["x".repeat(251)].into() },
    many_labels = { "labels", vec!["x"; 101].into() },
)]
fn an_oversized_entry_is_refused(field: &str, value: serde_json::Value) {
    let mut entry = entry();
    assert!(decode_registry_entry(entry.to_string().as_bytes()).is_ok());
    entry[field] = value;
    let error = decode_registry_entry(entry.to_string().as_bytes()).expect_err("an error");
    assert!(error.to_string().len() < 200, "{error}");
}

/// Guards against numbers that overflow where they are used, or end the decoder.
#[parameterized(
    capacity = { "\"cpu\":16000", "\"cpu\":4294967295", true },
    capacity_too_large = { "\"cpu\":16000", "\"cpu\":4294967296", false },
    capacity_as_float = { "\"cpu\":16000", "\"cpu\":16000.5", false },
    negative_capacity = { "\"cpu\":16000", "\"cpu\":-1", false },
    infinite = { "\"cpu\":16000", "\"cpu\":1e400", false },
    start_time = { "\"born\":17", "\"born\":18446744073709551615", true },
    start_time_too_large = { "\"born\":17", "\"born\":18446744073709551616", false },
    sequence = { "\"seq\":4", "\"seq\":99999999999999999999999999", false },
    infinite_unknown = { "\"clockMs\":4", "\"clockMs\":1e400", true },
)]
fn large_numbers_in_an_entry_are_refused_or_kept(from: &str, to: &str, is_valid: bool) {
    let entry = entry().to_string();
    assert!(entry.contains(from));
    let decoded = decode_registry_entry(entry.replace(from, to).as_bytes());
    assert_eq!(decoded.is_ok(), is_valid, "{decoded:?}");
}

/// Guards against a decoder that uses up its stack. A field that is not used may have any depth.
#[test]
fn deep_nesting_in_an_entry_ends_no_decoder() {
    let deep = "[".repeat(200_000) + &"]".repeat(200_000);
    assert!(decode_registry_entry(deep.as_bytes()).is_err());
    let entry = entry().to_string();
    let nested = entry.replace("16000", &deep);
    assert!(decode_registry_entry(nested.as_bytes()).is_err());
    let nested = entry.replace("{\"address\"", &format!("{{\"x\":{deep},\"address\""));
    assert!(nested.len() > entry.len() && decode_registry_entry(nested.as_bytes()).is_ok());
}

/// Guards against ids that can't be sent in a header, or whose record has a key that the store can't
/// hold.
#[test]
fn only_ids_that_can_be_sent_and_stored_name_a_worker() {
    let long = "x".repeat(250);
    for id in ["i-7f", "a/b:c", long.as_str()] {
        assert_eq!(&*decode_worker_id(id).expect("an id"), id);
    }
    let too_long = "x".repeat(251);
    for id in [
        "",
        " ",
        "a b",
        "a\n",
        "a\0",
        "\u{fffd}",
        "é",
        too_long.as_str(),
    ] {
        assert!(decode_worker_id(id).is_err(), "{id:?}");
    }
}

/// Guards against a clock, a start or an end that hides all later ones of the worker, because none of
/// them can be larger.
#[parameterized(
    clock = { r#""clockMs":18446744073709551615"# },
    clock_too_large = { r#""clockMs":18446744073709551616"# },
    clock_as_float = { r#""clockMs":1.5"# },
    start_time = { r#""clockMs":9,"born":18446744073709551615"# },
    number_of_end = { r#""clockMs":9,"ended":[[18446744073709551615,"5c0e7a21d94b36f8.0.1.17",1,"done",""]]"# },
    percent = { r#""clockMs":9,"running":[["5c0e7a21d94b36f8.0.1.17",1,"",1e400]]"# },
)]
fn a_report_with_an_impossible_number_is_refused(fields: &str) {
    let call = WorkerCall {
        worker: "i-7f".into(),
        address: "10.0.0.9:80".parse().expect("an address"),
        epoch: 7,
        order: Order::Renew {
            lease_end: None,
            acknowledged: 57,
            wait: Millis(1_000),
        },
        timeout: Millis(100),
    };
    let answer = decode_worker_answer(&call, &reply(format!("{{{fields}}}")));
    assert_eq!(answer, Err(CallError::Malformed));
}
