//! Divides the engines that may take moved runs among the engines that are leaving.
//!
//! Copies to one engine wait for each other on its link. Where several engines leave at once, hosts
//! that choose by themselves send copies of several of them to one engine, and a stopped run waits
//! behind the others' first parts while its caller sees nothing. All hosts know the same list, so
//! they divide it alike without a word: an engine takes runs of one leaving engine only, of its own
//! data centre if one leaves there.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::gateway::directory::Upstream;
use crate::gateway::instance::InstanceId;
use crate::id::DataCentre;

/// The leaving engines among which the engines of a data centre are divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Scope {
    /// Those of the same data centre, if one leaves there.
    Local,
    /// All: where the engines divided among the near ones have no room.
    All,
}

/// Those of `ready` that take the runs of `source`, which is one of `leaving`. Both lists are in
/// the order of their ids. Empty where there are fewer engines left than are leaving.
pub(crate) fn assign(
    source: &InstanceId,
    leaving: &[Arc<Upstream>],
    ready: &[Arc<Upstream>],
    scope: Scope,
) -> BTreeSet<InstanceId> {
    let data_centres: BTreeSet<&DataCentre> = ready.iter().map(|to| &to.data_centre).collect();
    let shares = data_centres.into_iter().flat_map(|data_centre| {
        let sources = sources_for(data_centre, leaving, scope);
        let engines = ready.iter().filter(|to| to.data_centre == *data_centre);
        engines
            .enumerate()
            .filter(move |(index, _)| sources.get(index % sources.len().max(1)) == Some(&source))
            .map(|(_, to)| to.id.clone())
            .collect::<Vec<InstanceId>>()
    });
    shares.collect()
}

/// The leaving engines whose runs go to the engines of a data centre.
fn sources_for<'a>(
    data_centre: &DataCentre,
    leaving: &'a [Arc<Upstream>],
    scope: Scope,
) -> Vec<&'a InstanceId> {
    let local = leaving
        .iter()
        .filter(|from| from.data_centre == *data_centre)
        .map(|from| &from.id);
    let local: Vec<&InstanceId> = local.collect();
    match scope {
        Scope::Local if !local.is_empty() => local,
        Scope::Local | Scope::All => leaving.iter().map(|from| &from.id).collect(),
    }
}

#[cfg(test)]
mod tests;
