//! Takes in the platform's list and the settings: whom to probe and who is leaving.

use std::time::Duration;

use super::Change;
use super::Membership;
use super::MembershipAction;
use super::noted;
use crate::clock::Time;
use crate::platform::HostKind;
use crate::platform::HostList;
use crate::platform::HostState;

impl Membership {
    pub(super) fn listed(
        &mut self,
        now: Time,
        list: HostList,
        actions: &mut Vec<MembershipAction>,
    ) {
        let here = list.hosts.into_iter().filter(|listed| {
            listed.kind == HostKind::Entry && listed.data_centre == self.identity.data_centre
        });
        let mut addresses = Vec::new();
        let mut leaving = Vec::new();
        for listed in here {
            if listed.state == HostState::Leaving {
                leaving.push(listed.address.clone());
            }
            addresses.push(listed.address);
        }
        self.marked.retain(|address| leaving.contains(address));
        for address in leaving {
            if !self.marked.contains(&address) {
                self.mark_leaving(now, address, actions);
            }
        }
        self.learn_addresses(addresses);
    }

    fn mark_leaving(&mut self, now: Time, address: String, actions: &mut Vec<MembershipAction>) {
        let lag = Duration::from_millis(self.options.list_lag_ms);
        let mut members = self.members.values_mut();
        let Some(member) = members.find(|member| member.address == address) else {
            return;
        };
        if now.since(member.known_since) < lag {
            return;
        }
        self.marked.push(address);
        if !member.leaving {
            member.leaving = true;
            actions.push(noted(Change::Left, &member.host));
            self.rumours.spread(member.rumour());
        }
    }

    pub(super) fn learn_addresses(&mut self, addresses: Vec<String>) {
        for address in addresses {
            let own = address == self.identity.address;
            let member = self
                .members
                .values()
                .any(|member| member.address == address);
            if !own && !member && !self.unknown.contains(&address) {
                self.unknown.push(address);
            }
        }
    }
}
