//! Rendezvous hashing: assigns each task to one of several members without coordination.
//!
//! The member with the highest weight for a task performs it. Members that know the same set choose the same
//! one, and the tasks are spread over all members.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns how many of `others` rank before `own` for `task`. `others` may include `own`.
pub(crate) fn rank<'a>(own: &str, others: impl Iterator<Item = &'a str>, task: &str) -> usize {
    let own = weight(own, task);
    others.filter(|other| weight(other, task) > own).count()
}

fn weight(name: &str, task: &str) -> u64 {
    let seed = xxh3_64_with_seed(name.as_bytes(), 0);
    xxh3_64_with_seed(task.as_bytes(), seed)
}

/// Returns whether no member of `others` ranks before `own` for `task`. `others` may include `own`.
pub(crate) fn is_first<'a>(
    own: &str,
    mut others: impl Iterator<Item = &'a str>,
    task: &str,
) -> bool {
    let own = weight(own, task);
    others.all(|other| weight(other, task) <= own)
}

/// The member that ranks first for `task`; `name` returns the name of a member.
pub(crate) fn first<T>(
    members: impl Iterator<Item = T>,
    name: impl Fn(&T) -> &str,
    task: &str,
) -> Option<T> {
    members.max_by_key(|member| weight(name(member), task))
}
