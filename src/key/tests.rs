use super::CLOCK_SKEW_MS;
use super::IdempotencyKey;
use crate::refusal::Ran;

const CREATED_MS: u64 = 1_796_000_000_000;

#[test]
fn a_key_tells_when_it_was_made() {
    let key = IdempotencyKey::from_parts(CREATED_MS, 7);

    let read_back = IdempotencyKey::parse(&key.to_string()).unwrap();

    assert_eq!(read_back, key);
    assert_eq!(read_back.created_ms(), CREATED_MS);
}

#[test]
fn keys_differ_by_their_random_part() {
    let one = IdempotencyKey::from_parts(CREATED_MS, 1);
    let other = IdempotencyKey::from_parts(CREATED_MS, 2);

    assert_ne!(one, other);
}

#[test]
fn other_forms_are_refused_as_not_run() {
    let version_4 = "6f1c3c59-7b0f-4c0e-9d1a-0d6c0c6f8a11";

    for text in [
        "",
        "order-17",
        version_4,
        "00000000-0000-0000-0000-000000000000",
    ] {
        let refusal = IdempotencyKey::parse(text).unwrap_err();

        assert_eq!(refusal.code.http_status(), 400, "{text}");
        assert_eq!(refusal.ran, Ran::No, "{text}");
    }
}

#[test]
fn age_is_bounded_on_both_sides() {
    let key = IdempotencyKey::from_parts(CREATED_MS, 1);

    assert!(!key.is_from_future(CREATED_MS - CLOCK_SKEW_MS));
    assert!(key.is_from_future(CREATED_MS - CLOCK_SKEW_MS - 1));
    assert!(!key.is_expired(CREATED_MS + 900_000, 900_000));
    assert!(key.is_expired(CREATED_MS + 900_001, 900_000));
}
