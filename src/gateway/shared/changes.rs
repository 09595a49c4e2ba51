//! Changes of the directory of upstreams: recorded, and told to whom they concern.

use tokio::sync::watch;

use super::Shared;
use super::locked;
use crate::event::EventCode;
use crate::gateway::directory::Applied;
use crate::gateway::directory::DirectoryChange;
use crate::gateway::instance::InstanceId;
use crate::gateway::protocol::Topic;

/// Who told of a change.
#[derive(Debug, Clone, Copy)]
pub(crate) enum ToldBy<'a> {
    /// The log, or this host's own clock.
    Own(&'a str),
    /// Another host, by its name or address.
    Host(&'a str),
}

impl Shared {
    /// Records changes of the directory and wakes whom they concern.
    pub(crate) fn directory_changes(&self, changes: Vec<Applied>, told_by: ToldBy<'_>) {
        if changes.is_empty() {
            return;
        }
        for applied in changes {
            if let Some(ended) = &applied.ended {
                locked(&self.0.ejector).forget(ended);
                locked(&self.0.reach).remove(ended);
            }
            match told_by {
                ToldBy::Own(source) => self.note_change(&applied, source),
                ToldBy::Host(host) => {
                    let now = self.now();
                    locked(&self.0.hearsay).note(now, host, &applied.id, applied.change);
                }
            }
        }
        self.0.directory_changed.send_modify(|count| *count += 1);
        // Those that only listen have nothing to tell that the others don't hear themselves: with a round
        // of each at each change 295 hosts sent 286 datagrams a second each.
        if self.is_reading(Topic::Upstreams) {
            self.0.changes_read.send_modify(|count| *count += 1);
        }
    }

    fn note_change(&self, applied: &Applied, source: &str) {
        let id = &applied.id;
        let code = match applied.change {
            DirectoryChange::Leaving | DirectoryChange::Removed => EventCode::UpstreamLeaving,
            DirectoryChange::Missing => EventCode::UpstreamLost,
            DirectoryChange::Added
            | DirectoryChange::Restarted
            | DirectoryChange::Changed
            | DirectoryChange::Cold => EventCode::UpstreamListed,
        };
        let (upstream, position) =
            self.directory(|directory| (directory.get(id).cloned(), directory.position()));
        let address = upstream.as_ref().map(|upstream| upstream.address);
        let cold_left_ms = upstream
            .map(|upstream| upstream.cold_left_ms)
            .filter(|ms| *ms > 0);
        let line = self.log().line(code);
        line.with("upstream", id.as_str())
            .with_some("born_ms", id.born_ms())
            .with_some("address", address.map(|address| address.to_string()))
            .with("change", applied.change.name())
            .with_some("cold_left_ms", cold_left_ms)
            .with("position", position.to_string())
            .with("source", source)
            .write();
    }

    /// Writes what was heard of upstreams, if it is time to.
    pub(crate) fn note_hearsay(&self) {
        let now = self.now();
        let Some(gathered) = locked(&self.0.hearsay).take_due(now) else {
            return;
        };
        let first: Vec<&str> = gathered.first.iter().map(InstanceId::as_str).collect();
        let position = self.directory(|directory| directory.position());
        let mut line = self.log().line(EventCode::UpstreamsChanged);
        for (change, count) in &gathered.counts {
            line = line.with(change, *count);
        }
        line.with("first", first.join(" "))
            .with("position", position.to_string())
            .with("source", gathered.host)
            .write();
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

    /// Wakes at changes of the directory that this host has read for others.
    pub(crate) fn changes_read_watch(&self) -> watch::Receiver<u64> {
        self.0.changes_read.subscribe()
    }

    /// Wakes at each change of the directory.
    pub fn directory_watch(&self) -> watch::Receiver<u64> {
        self.0.directory_changed.subscribe()
    }

    /// Upstreams that were missing since an outage of the log count as gone.
    pub fn note_lapsed(&self, lapsed: Vec<Applied>) {
        self.directory_changes(lapsed, ToldBy::Own("missing since the log's return"));
    }
}
