//! What runs at upstreams of other data centres, as hosts there tell.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::seq::SliceRandom;
use tokio::sync::watch;

use super::Shared;
use crate::clock::Time;
use crate::gateway::instance::InstanceKey;
use crate::gateway::loads::Load;
use crate::id::DataCentre;

/// A word of a data centre that is younger is as good as a new one.
const FRESH: Duration = Duration::from_millis(100);
/// An answer comes within this time: two round trips of the farthest data centre, and a host that has no processor
/// time at first.
const ANSWER_WAIT: Duration = Duration::from_millis(20);
/// Data centres that are asked at once, so that the cost of a host doesn't grow with their number.
const ASKED_MAX: usize = 3;

impl Shared {
    /// What runs at the upstreams of this data centre, but for what hosts of `receiver` run there.
    pub(crate) fn home_loads(&self, receiver: &DataCentre) -> Vec<(InstanceKey, Load)> {
        let here = &self.settings().data_centre;
        self.directory(|directory| {
            let is_home = |key| directory.data_centre_of(key) == Some(here);
            self.loads()
                .with(|loads| loads.summary_for(is_home, receiver))
        })
    }

    /// What this host runs in other data centres.
    pub(crate) fn visits(&self) -> BTreeMap<DataCentre, Vec<(InstanceKey, Load)>> {
        let here = &self.settings().data_centre;
        let mut visits = self.directory(|directory| {
            self.loads().with(|loads| {
                loads.own_by_data_centre(|id| Some(directory.get(id)?.data_centre.clone()))
            })
        });
        visits.remove(here);
        visits
    }

    /// Other data centres whose last word is not fresh, a few of them.
    pub(crate) fn data_centres_to_ask(&self, now: Time) -> Vec<DataCentre> {
        if self.is_small_fleet() {
            return Vec::new();
        }
        let mut data_centres = self.peers(|peers| peers.live_data_centres(now));
        self.loads().with(|loads| {
            data_centres.retain(|data_centre| {
                let age = loads.report_age(now, data_centre);
                age.is_none_or(|age| age > FRESH)
            });
        });
        data_centres.shuffle(&mut rand::rng());
        data_centres.truncate(ASKED_MAX);
        data_centres
    }

    /// Asks the other data centres what runs at their upstreams, if their words are old, and waits a moment for an
    /// answer.
    pub(crate) async fn ask_far_loads(&self) {
        let mut words = self.0.words.subscribe();
        self.0.asks.send_modify(|count| *count += 1);
        // No answer by then is as good as an old word.
        let _ = tokio::time::timeout(ANSWER_WAIT, words.changed()).await;
    }

    /// Wakes when this host is to ask.
    pub(crate) fn asks_watch(&self) -> watch::Receiver<u64> {
        self.0.asks.subscribe()
    }

    /// Another data centre's word has arrived.
    pub(crate) fn word_heard(&self) {
        self.0.words.send_modify(|count| *count += 1);
    }
}
