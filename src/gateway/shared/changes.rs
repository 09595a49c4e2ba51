//! Changes of the directory of upstreams: recorded, and told to whom they concern.

use tokio::sync::watch;

use super::Shared;
use super::locked;
use crate::event::EventCode;
use crate::gateway::directory::Applied;
use crate::gateway::directory::DirectoryChange;
use crate::gateway::instance::InstanceId;
use crate::gateway::protocol::Topic;

impl Shared {
    /// Records changes of the directory and wakes whom they concern.
    pub fn directory_changes(&self, changes: Vec<Applied>, source: &str) {
        if changes.is_empty() {
            return;
        }
        for Applied { id, change, ended } in changes {
            let code = match change {
                DirectoryChange::Leaving | DirectoryChange::Removed => EventCode::UpstreamLeaving,
                DirectoryChange::Missing => EventCode::UpstreamLost,
                DirectoryChange::Added
                | DirectoryChange::Restarted
                | DirectoryChange::Changed
                | DirectoryChange::Cold => EventCode::UpstreamListed,
            };
            if let Some(ended) = &ended {
                locked(&self.0.ejector).forget(ended);
                locked(&self.0.reach).forget(ended);
            }
            let (upstream, position) =
                self.directory(|directory| (directory.get(&id).cloned(), directory.position()));
            let address = upstream.as_ref().map(|upstream| upstream.address);
            let cold_left_ms = upstream
                .map(|upstream| upstream.cold_left_ms)
                .filter(|ms| *ms > 0);
            let line = self.log().line(code);
            line.with("upstream", id.as_str())
                .with_some("born_ms", id.born_ms())
                .with_some("address", address.map(|address| address.to_string()))
                .with("change", change.name())
                .with_some("cold_left_ms", cold_left_ms)
                .with("position", position.to_string())
                .with("source", source)
                .write();
        }
        self.0.directory_changed.send_modify(|count| *count += 1);
        // Those that only listen have nothing to tell that the others don't hear themselves: with a round
        // of each at each change 295 hosts sent 286 datagrams a second each.
        if self.is_reading(Topic::Upstreams) {
            self.tell_news();
        }
    }

    /// An upstream was seen leaving or gone.
    pub fn witness_leaving(&self, upstream: &InstanceId, reason: &str) {
        let now = self.now();
        if !self.directory(|directory| directory.witness(now, upstream)) {
            return;
        }
        let line = self.log().line(EventCode::UpstreamLeaving);
        line.with("upstream", upstream.as_str())
            .with_some("born_ms", upstream.born_ms())
            .with("change", "witnessed")
            .with("source", reason)
            .write();
        self.0.directory_changed.send_modify(|count| *count += 1);
        self.tell_news();
    }

    /// Wakes at each change of the directory.
    pub fn directory_watch(&self) -> watch::Receiver<u64> {
        self.0.directory_changed.subscribe()
    }

    /// Upstreams that were missing since an outage of the log count as gone.
    pub fn note_lapsed(&self, lapsed: Vec<Applied>) {
        self.directory_changes(lapsed, "missing since the log's return");
    }
}
