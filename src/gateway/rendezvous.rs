//! Who of many does something, as each decides for itself by the highest of their weights (rendezvous hashing): the
//! same one for all who know the same others, another one for each thing to do.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How many of `others`, among whom `own` may be itself, come before `own` in doing what `what` names.
pub(crate) fn rank<'a>(own: &str, others: impl Iterator<Item = &'a str>, what: &str) -> usize {
    let own = weight(own, what);
    others.filter(|other| weight(other, what) > own).count()
}

fn weight(name: &str, what: &str) -> u64 {
    let seed = xxh3_64_with_seed(name.as_bytes(), 0);
    xxh3_64_with_seed(what.as_bytes(), seed)
}

/// Whether `own` does what `what` names, and none of `others`, among whom it may be itself.
pub(crate) fn is_first<'a>(
    own: &str,
    mut others: impl Iterator<Item = &'a str>,
    what: &str,
) -> bool {
    let own = weight(own, what);
    others.all(|other| weight(other, what) <= own)
}
