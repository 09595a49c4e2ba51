//! Upstreams that are missing since the log's return, at hosts that tell each other what they list.

use super::directory_of;
use super::ready;
use super::ready_ids;
use crate::clock::Time;
use crate::gateway::directory::Directory;
use crate::gateway::directory::RETURN_GRACE;
use crate::id::UpstreamId;

const BACK: Time = Time::from_ms(10_000);
/// Where the log ends when it is back.
const END: u64 = 20;

/// A host that read of the removal of `a`, and one that could not read the log then and reads its newest records now.
fn reader_and_returned() -> (Directory, Directory) {
    let mut reader = directory_of(&["a", "b"]);
    reader.apply(BACK, &UpstreamId::new("a"), None, 9);
    let mut returned = directory_of(&["a", "b"]);
    returned.mark_log_unreachable();
    returned.mark_log_reachable(BACK);
    returned.replace(BACK, vec![(ready("b"), 1.into())], END);
    (reader, returned)
}

fn tell(now: Time, from: &Directory, to: &mut Directory) {
    for change in from.changed_from(0) {
        to.apply_change(now, &change);
    }
}

// A host that gave a missing upstream its grace told it as listed where the log lacked it, which is later than its removal.
#[test]
fn what_is_missing_at_one_host_is_not_listed_again_at_others() {
    let (mut reader, returned) = reader_and_returned();

    tell(BACK, &returned, &mut reader);
    let by_changes = ready_ids(&reader);
    reader.replace(BACK, returned.list_all(), END);

    assert_eq!(by_changes, ["b"]);
    assert_eq!(ready_ids(&reader), ["b"]);
}

#[test]
fn what_is_missing_is_gone_after_the_grace_whatever_others_tell() {
    let (mut reader, mut returned) = reader_and_returned();
    tell(BACK, &returned, &mut reader);
    let mut other = directory_of(&["a", "b"]);
    tell(BACK, &returned, &mut other);
    let later = BACK + RETURN_GRACE;

    tell(BACK, &reader, &mut returned);
    tell(BACK, &other, &mut returned);
    returned.expire(later);
    tell(later, &returned, &mut other);

    assert_eq!(ready_ids(&returned), ["b"]);
    assert_eq!(ready_ids(&other), ["b"]);
}

#[test]
fn what_lists_itself_again_within_the_grace_is_listed_at_all() {
    let (mut reader, mut returned) = reader_and_returned();
    returned.apply(BACK, &UpstreamId::new("a"), Some(ready("a")), END);

    tell(BACK, &returned, &mut reader);
    returned.expire(BACK + RETURN_GRACE);

    assert_eq!(ready_ids(&returned), ["a", "b"]);
    assert_eq!(ready_ids(&reader), ["a", "b"]);
}
