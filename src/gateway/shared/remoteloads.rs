//! Load at the upstreams of other data centres, exchanged with the hosts there.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::seq::SliceRandom;
use tokio::sync::watch;

use super::Shared;
use crate::clock::Time;
use crate::gateway::instance::InstanceKey;
use crate::gateway::loads::Load;
use crate::id::DataCentre;

/// A data centre whose last report is younger than this is not queried.
const REPORT_FRESH_FOR: Duration = Duration::from_millis(100);
/// How long a request waits for an answer: two round trips to the farthest data centre, and a scheduling
/// delay of the answering host.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(20);
/// Data centres queried at once, so that a host's cost doesn't grow with their number.
const QUERIES_MAX: usize = 3;

impl Shared {
    /// The load at the upstreams of this data centre, without the requests of hosts in `receiver`, which
    /// know these themselves.
    pub(crate) fn local_loads(&self, receiver: &DataCentre) -> Vec<(InstanceKey, Load)> {
        let here = &self.settings().data_centre;
        self.directory(|directory| {
            let is_home = |key| directory.data_centre_of(key) == Some(here);
            self.loads()
                .with(|loads| loads.summary_for(is_home, receiver))
        })
    }

    /// The load that this host has placed in each other data centre.
    pub(crate) fn own_remote_loads(&self) -> BTreeMap<DataCentre, Vec<(InstanceKey, Load)>> {
        let here = &self.settings().data_centre;
        let mut remote = self.directory(|directory| {
            self.loads().with(|loads| {
                loads.own_by_data_centre(|id| Some(directory.get(id)?.data_centre.clone()))
            })
        });
        remote.remove(here);
        remote
    }

    /// A random few of the other data centres whose last report is not fresh.
    pub(crate) fn data_centres_to_query(&self, now: Time) -> Vec<DataCentre> {
        if self.is_small_fleet() {
            return Vec::new();
        }
        let mut data_centres = self.peers(|peers| peers.live_data_centres(now));
        self.loads().with(|loads| {
            data_centres.retain(|data_centre| {
                let age = loads.report_age(now, data_centre);
                age.is_none_or(|age| age > REPORT_FRESH_FOR)
            });
        });
        data_centres.shuffle(&mut rand::rng());
        data_centres.truncate(QUERIES_MAX);
        data_centres
    }

    /// Queries other data centres for the load at their upstreams, if their reports are old, and waits up to
    /// [`ANSWER_TIMEOUT`] for an answer.
    pub(crate) async fn query_remote_loads(&self) {
        let mut reports = self.0.load_reports.subscribe();
        self.0.load_queries.send_modify(|count| *count += 1);
        // Without an answer the choice falls back to the old report.
        let _ = tokio::time::timeout(ANSWER_TIMEOUT, reports.changed()).await;
    }

    /// Notifies when this host should query other data centres.
    pub(crate) fn watch_load_queries(&self) -> watch::Receiver<u64> {
        self.0.load_queries.subscribe()
    }

    /// Notifies waiting requests that a load report of another data centre has arrived.
    pub(crate) fn notify_load_report(&self) {
        self.0.load_reports.send_modify(|count| *count += 1);
    }
}
