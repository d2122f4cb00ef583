//! Tests that records and entries that no part of the system writes hide no others, and that they
//! name no worker.

use bytes::Bytes;
use jayfork::connection::{
    CallError, HttpReply, KeyedRecord, Page, Partition, StoreAnswer, StoreRequest,
};
use jayfork::platform::decode_store_answer;
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
    let Ok(StoreAnswer::Records { records, next }) = answer else {
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
