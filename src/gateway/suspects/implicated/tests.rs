use std::collections::BTreeMap;

use super::Implicated;
use super::implicated;
use crate::clock::Time;
use crate::fingerprint::Fingerprint;
use crate::gateway::instance::InstanceId;
use crate::gateway::suspects::suspect::Crash;
use crate::gateway::suspects::suspect::Suspect;
use crate::gateway::suspects::suspect::SuspectKind;
use crate::id::ServiceId;
use crate::id::UpstreamId;

fn part(name: &str) -> Fingerprint {
    Fingerprint::of_part(&ServiceId::new("reports"), name)
}

fn crash(number: usize) -> Crash {
    let upstream = InstanceId::from(UpstreamId::new(format!("up-{number}")));
    Crash {
        upstream: upstream.key(),
        at: Time::from_ms(1_000 + number as u64),
    }
}

/// A part that crashed the upstreams of these numbers.
fn accused(name: &str, crashes: &[usize]) -> (Fingerprint, Suspect) {
    let suspect = Suspect {
        kind: SuspectKind::Part,
        crashes: crashes.iter().map(|number| crash(*number)).collect(),
        ..Suspect::default()
    };
    (part(name), suspect)
}

/// The same of a part that was proved sound before.
fn accused_once_sound(name: &str, crashes: &[usize]) -> (Fingerprint, Suspect) {
    let (part, suspect) = accused(name, crashes);
    let suspect = Suspect {
        answered_at: Some(Time::from_ms(1)),
        ..suspect
    };
    (part, suspect)
}

fn decide<const N: usize>(suspects: [(Fingerprint, Suspect); N]) -> Vec<Implicated> {
    implicated(&BTreeMap::from(suspects))
}

/// The names of the implicated parts, of `names`, group by group.
fn names<'a>(groups: &[Implicated], names: &[&'a str]) -> Vec<Vec<&'a str>> {
    let of_group = |group: &Implicated| {
        let names = names.iter().copied();
        names
            .filter(|name| group.parts.contains(&part(name)))
            .collect()
    };
    groups.iter().map(of_group).collect()
}

#[test]
fn a_part_is_implicated_by_three_crashes() {
    assert!(decide([accused("a", &[0, 1])]).is_empty());

    let groups = decide([accused("a", &[0, 1, 2])]);

    assert_eq!(names(&groups, &["a"]), [["a"]]);
    assert_eq!(groups[0].crashes, 3);
}

#[test]
fn a_part_whose_crashes_another_explains_is_not_implicated() {
    let groups = decide([
        accused("cause", &[0, 1, 2, 3, 4]),
        accused("beside", &[1, 3, 4]),
        accused("elsewhere", &[0, 7, 8]),
    ]);

    assert_eq!(
        names(&groups, &["cause", "beside", "elsewhere"]),
        [["cause"]]
    );
    assert_eq!(groups[0].alternatives, 2);
}

#[test]
fn two_causes_are_both_implicated() {
    let groups = decide([
        accused("first", &[0, 1, 2, 3]),
        accused("second", &[3, 5, 6, 7]),
        accused("beside", &[0, 5, 7]),
    ]);

    let mut implicated = names(&groups, &["first", "second", "beside"]).concat();
    implicated.sort_unstable();
    assert_eq!(implicated, ["first", "second"]);
}

#[test]
fn parts_that_explain_the_same_crashes_tie() {
    let groups = decide([accused("a", &[0, 1, 2]), accused("b", &[0, 1, 2])]);

    assert_eq!(names(&groups, &["a", "b"]), [["a", "b"]]);
}

#[test]
fn of_parts_that_explain_the_same_crashes_those_never_proved_sound_come_first() {
    let groups = decide([
        accused_once_sound("a", &[0, 1, 2, 3, 4, 5]),
        accused("b", &[0, 1, 2, 3, 4, 5]),
    ]);

    assert_eq!(names(&groups, &["a", "b"]), [["b"]]);
}

// Guards against holding back a sound part that all requests with several crashing parts share: it explains the
// crashes of each.
#[test]
fn a_sound_part_beside_two_causes_is_not_implicated() {
    let groups = decide([
        accused_once_sound("shared", &[0, 1, 2, 3, 4, 5]),
        accused("first", &[0, 2, 4]),
        accused("second", &[1, 3, 5]),
    ]);

    let implicated = names(&groups, &["shared", "first", "second"]).concat();
    assert!(!implicated.contains(&"shared"), "{implicated:?}");
    assert_eq!(implicated.len(), 2);
}

// Guards against holding back a sound part by crashes that follow each other faster than it can be proved again.
#[test]
fn a_sound_part_is_implicated_by_six_crashes() {
    assert!(decide([accused_once_sound("a", &[0, 1, 2, 3, 4])]).is_empty());

    let groups = decide([accused_once_sound("a", &[0, 1, 2, 3, 4, 5])]);

    assert_eq!(names(&groups, &["a"]), [["a"]]);
}

#[test]
fn a_part_that_explains_one_crash_more_breaks_the_tie() {
    let groups = decide([accused("a", &[0, 1, 2]), accused("b", &[0, 1, 2, 3])]);

    assert_eq!(names(&groups, &["a", "b"]), [["b"]]);
}

#[test]
fn contents_are_not_implicated_with_parts() {
    let (content, suspect) = accused("a", &[0, 1, 2]);
    let suspect = Suspect {
        kind: SuspectKind::Content,
        ..suspect
    };

    assert!(decide([(content, suspect)]).is_empty());
}
