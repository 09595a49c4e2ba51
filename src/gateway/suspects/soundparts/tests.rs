use super::PARTS_MAX;
use super::SoundParts;
use crate::clock::Time;
use crate::fingerprint::Fingerprint;
use crate::id::ServiceId;

fn part(number: usize) -> Fingerprint {
    Fingerprint::of_part(&ServiceId::new("reports"), &number.to_string())
}

#[test]
fn a_part_keeps_its_latest_proof() {
    let mut sound = SoundParts::default();

    sound.record(part(0), Time::from_ms(2));
    sound.record(part(0), Time::from_ms(1));

    assert_eq!(sound.proved_at(part(0)), Some(Time::from_ms(2)));
    assert_eq!(sound.proved_at(part(1)), None);
}

#[test]
fn the_part_proved_the_longest_ago_is_forgotten_first() {
    let mut sound = SoundParts::default();

    for number in 0..PARTS_MAX {
        sound.record(part(number), Time::from_ms(number as u64));
    }
    sound.record(part(0), Time::from_ms(PARTS_MAX as u64));
    sound.record(part(PARTS_MAX), Time::from_ms(PARTS_MAX as u64));

    assert!(sound.proved_at(part(0)).is_some());
    assert!(sound.proved_at(part(1)).is_none());
    assert!(sound.proved_at(part(PARTS_MAX)).is_some());
}
