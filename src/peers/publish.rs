//! Tells the subscribers, the view and the journal what changed.

use std::sync::Arc;
use std::sync::PoisonError;

use actix::Recipient;

use super::PeerNews;
use super::Peers;
use super::PeersView;
use super::RemoteHost;
use crate::event::EventCode;
use crate::id::HostId;
use crate::journal::Subject;
use crate::membership::Change;
use crate::ownership::Ownership;

impl Peers {
    pub(super) fn publish_owners(&mut self) {
        let owners = self.membership.owners().iter().cloned();
        let ownership = Arc::new(Ownership::new(owners));
        self.update_view(|view| view.ownership = ownership.clone());
        self.journal.record(
            EventCode::OwnersChanged,
            Subject::none().detail(format!("hosts={}", ownership.len())),
        );
        self.tell(&PeerNews::Owners(ownership));
    }

    pub(super) fn note(&mut self, change: Change, host: &HostId) {
        let code = match change {
            Change::Joined => EventCode::PeerJoined,
            Change::Suspected => EventCode::PeerSuspected,
            Change::Refuted => EventCode::PeerRefuted,
            Change::Died => EventCode::PeerDied,
            Change::Left => EventCode::PeerLeaving,
            Change::Alone => EventCode::HostAlone,
            Change::Rejoined => EventCode::HostRejoined,
        };
        self.journal
            .record(code, Subject::none().detail(format!("peer={host}")));
        match change {
            Change::Died => self.tell(&PeerNews::Died(host.clone())),
            Change::Alone => self.tell(&PeerNews::Alone(true)),
            Change::Rejoined => self.tell(&PeerNews::Alone(false)),
            Change::Joined | Change::Refuted => self.tell(&PeerNews::Reachable(host.clone())),
            Change::Suspected | Change::Left => {}
        }
    }

    fn update_view(&self, update: impl FnOnce(&mut PeersView)) {
        let mut view = self.view.write().unwrap_or_else(PoisonError::into_inner);
        update(&mut view);
    }

    pub(super) fn refresh_view(&self) {
        let members = self.membership.members().cloned().collect();
        let alone = self.membership.is_alone();
        let remote: Vec<RemoteHost> = self.remote.values().cloned().collect();
        let mut remote_addresses: Vec<String> = self.listed_remote.clone();
        remote_addresses.extend(remote.iter().map(|remote| remote.address.clone()));
        remote_addresses.sort();
        remote_addresses.dedup();
        self.update_view(|view| {
            view.remote_addresses = remote_addresses;
            view.members = members;
            view.alone = alone;
            view.remote = remote;
        });
    }

    pub(super) fn tell(&mut self, news: &PeerNews) {
        self.subscribers.retain(Recipient::connected);
        for subscriber in &self.subscribers {
            subscriber.do_send(news.clone());
        }
    }
}
