use super::Change;
use super::Coverage;
use super::Holdings;
use crate::claim::ClaimEnd;
use crate::claim::ClaimKey;
use crate::claim::ClaimRecord;
use crate::claim::Holding;
use crate::claim::Summary;
use crate::id::ClaimId;
use crate::id::CustomerId;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::Offset;
use crate::key::IdempotencyKey;
use crate::platform::Record;

const START_MS: u64 = 1_796_000_000_000;
const WINDOW_MS: u64 = 900_000;

fn key(customer: &str, number: u64) -> ClaimKey {
    ClaimKey {
        customer: CustomerId::from(customer),
        key: IdempotencyKey::from_parts(START_MS, number),
    }
}

fn claim(number: u128, key: &ClaimKey) -> ClaimRecord {
    ClaimRecord::Claim {
        key: key.clone(),
        claim: ClaimId::from_u128(number),
        host: HostId::from("a"),
        incarnation: Incarnation(1),
    }
}

fn end(number: u128, key: &ClaimKey, end: ClaimEnd) -> ClaimRecord {
    ClaimRecord::Outcome {
        key: key.clone(),
        claim: ClaimId::from_u128(number),
        end,
    }
}

fn mark() -> ClaimRecord {
    ClaimRecord::Mark {
        host: HostId::from("a"),
        at_ms: START_MS,
    }
}

fn holdings() -> Holdings {
    let mut holdings = Holdings::new(WINDOW_MS);
    holdings.restart(Offset(0), Coverage::Everything);
    holdings
}

fn apply_at(holdings: &mut Holdings, appended_at_ms: u64, record: &ClaimRecord) -> Change {
    let record = Record {
        offset: holdings.next(),
        appended_at_ms,
        data: serde_json::to_string(record).unwrap(),
    };
    holdings.apply(&record)
}

fn apply(holdings: &mut Holdings, record: &ClaimRecord) -> Change {
    apply_at(holdings, START_MS, record)
}

#[test]
fn customers_do_not_share_keys() {
    let mut holdings = holdings();

    apply(&mut holdings, &claim(1, &key("canton", 1)));
    let other = apply(&mut holdings, &claim(2, &key("forest", 1)));

    assert_eq!(other, Change::Won(ClaimId::from_u128(2)));
}

#[test]
fn an_end_without_its_claim_still_says_that_the_key_ran() {
    let mut holdings = holdings();
    let key = key("canton", 1);
    let summary = Summary::default();

    apply(&mut holdings, &end(1, &key, ClaimEnd::Done(summary)));

    assert_eq!(holdings.holding(&key), Some(Holding::Done(summary)));
}

#[test]
fn what_ran_is_never_released() {
    let mut holdings = holdings();
    let key = key("canton", 1);

    apply(&mut holdings, &claim(1, &key));
    apply(&mut holdings, &end(1, &key, ClaimEnd::Failed));
    apply(&mut holdings, &end(1, &key, ClaimEnd::Released));

    assert_eq!(holdings.holding(&key), Some(Holding::Failed));
}

#[test]
fn records_that_cannot_be_read_are_skipped_and_counted() {
    let mut holdings = holdings();
    let record = Record {
        offset: Offset(0),
        appended_at_ms: START_MS,
        data: "not a claim".to_owned(),
    };

    let change = holdings.apply(&record);

    assert_eq!(change, Change::Nothing);
    assert_eq!(holdings.malformed(), 1);
    assert_eq!(holdings.next(), Offset(1));
}

#[test]
fn keys_are_dropped_once_nobody_can_claim_them() {
    let mut holdings = holdings();
    let key = key("canton", 1);
    apply(&mut holdings, &claim(1, &key));

    apply_at(&mut holdings, START_MS + WINDOW_MS, &mark());
    let kept = holdings.len();
    apply_at(&mut holdings, START_MS + 2 * WINDOW_MS, &mark());

    assert_eq!(kept, 1);
    assert!(holdings.is_empty());
}

#[test]
fn keys_older_than_the_coverage_are_not_covered() {
    let mut holdings = holdings();
    let old = IdempotencyKey::from_parts(START_MS + 10_000, 1);
    let young = IdempotencyKey::from_parts(START_MS + 10_001, 1);

    holdings.restart(Offset(7), Coverage::After(START_MS));

    assert!(!holdings.covers(old));
    assert!(holdings.covers(young));
}
