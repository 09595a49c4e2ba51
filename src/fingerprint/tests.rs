use super::Content;
use super::Fingerprint;
use crate::id::CustomerId;
use crate::id::ServiceId;

fn content<'a>(customer: &'a CustomerId, target: &'a str, body: &'a [u8]) -> Content<'a> {
    Content {
        customer: Some(customer),
        method: "POST",
        authority: "a.example",
        target,
        body,
    }
}

#[test]
fn the_same_content_has_the_same_fingerprint() {
    let canton = CustomerId::new("canton");

    let first = Fingerprint::of(&content(&canton, "/nets/7", b"tighten"));
    let second = Fingerprint::of(&content(&canton, "/nets/7", b"tighten"));

    assert_eq!(first, second);
}

#[test]
fn every_part_counts_and_none_runs_into_the_next() {
    let canton = CustomerId::new("canton");
    let base = content(&canton, "/nets/7", b"tighten");
    let other = CustomerId::new("village");
    let others = [
        Content {
            customer: Some(&other),
            ..base
        },
        Content {
            customer: None,
            ..base
        },
        Content {
            method: "PUT",
            ..base
        },
        Content {
            authority: "b.example",
            ..base
        },
        Content {
            target: "/nets/7t",
            body: b"ighten",
            ..base
        },
        Content { body: b"", ..base },
    ];

    let fingerprint = Fingerprint::of(&base);

    for other in others {
        assert_ne!(Fingerprint::of(&other), fingerprint, "{other:?}");
    }
}

#[test]
fn logs_show_sixteen_digits() {
    let canton = CustomerId::new("canton");

    let shown = Fingerprint::of(&content(&canton, "/nets/7", b"")).to_string();

    assert_eq!(shown.len(), 16);
    assert!(
        shown.bytes().all(|digit| digit.is_ascii_hexdigit()),
        "{shown}"
    );
}

#[test]
fn its_digits_name_it_and_nothing_else_does() {
    let canton = CustomerId::new("canton");
    let fingerprint = Fingerprint::of(&content(&canton, "/nets/7", b"tighten"));
    let digits = fingerprint.to_hex();

    assert_eq!(digits.parse::<Fingerprint>().ok(), Some(fingerprint));
    for wrong in [
        "",
        "0",
        &digits[2..],
        &format!("{digits}00"),
        &digits.replace(|_| true, "x"),
    ] {
        assert!(wrong.parse::<Fingerprint>().is_err(), "{wrong}");
    }
}

#[test]
fn a_parts_fingerprint_is_that_of_its_service_and_id() {
    let (nets, net) = (ServiceId::new("nets"), ServiceId::new("net"));
    let part = Fingerprint::of_part(&nets, "5c1e07a2");

    assert_eq!(part, Fingerprint::of_part(&nets, "5c1e07a2"));
    assert_ne!(part, Fingerprint::of_part(&nets, "5c1e07a3"));
    assert_ne!(part, Fingerprint::of_part(&net, "s5c1e07a2"));
}
