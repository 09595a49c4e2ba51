//! Assigns the engines that can take moved runs to the engines that are leaving.
//!
//! Copies to one engine wait for each other on its link. When several engines leave at once, hosts that
//! choose independently send copies from several of them to one engine, and a stopped run waits behind
//! the first parts of the others while its caller receives nothing. All hosts have the same list of
//! upstreams, so each computes the same assignment without coordination: an engine takes the runs of one
//! leaving engine only, of its own data centre if one leaves there.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::gateway::directory::Upstream;
use crate::gateway::instance::InstanceId;
use crate::id::DataCentre;

/// The leaving engines to which the ready engines of a data centre are assigned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Scope {
    /// Those of the same data centre, or all if none leaves there.
    Local,
    /// All, for use when the engines assigned by [`Scope::Local`] have no room.
    All,
}

/// The engines of `ready` that take the runs of `source`, which is one of `leaving`. Both lists are
/// sorted by id, so that all hosts get the same result. May be empty if fewer engines are ready than
/// are leaving.
pub(crate) fn assign(
    source: &InstanceId,
    leaving: &[Arc<Upstream>],
    ready: &[Arc<Upstream>],
    scope: Scope,
) -> BTreeSet<InstanceId> {
    let data_centres: BTreeSet<&DataCentre> = ready.iter().map(|to| &to.data_centre).collect();
    let assigned = data_centres.into_iter().flat_map(|data_centre| {
        let sources = sources_for(data_centre, leaving, scope);
        let engines = ready.iter().filter(|to| to.data_centre == *data_centre);
        engines
            .enumerate()
            .filter(move |(index, _)| sources.get(index % sources.len().max(1)) == Some(&source))
            .map(|(_, to)| to.id.clone())
            .collect::<Vec<InstanceId>>()
    });
    assigned.collect()
}

/// The leaving engines whose runs may go to the engines of `data_centre`.
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
