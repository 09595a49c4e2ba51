//! Probes in rotation and sends fresh news at once.

use std::time::Duration;

use rand::seq::SliceRandom;

use super::Membership;
use super::MembershipAction;
use crate::clock::Time;
use crate::member::MemberState;
use crate::peer::RumourState;

impl Membership {
    pub(super) fn tick(&mut self, now: Time, actions: &mut Vec<MembershipAction>) {
        if now >= self.next_round {
            self.next_round = now + Duration::from_millis(self.options.heartbeat_ms);
            self.probe_round(actions);
        }
        self.check_alone(now, actions);
        if self.is_holding(now) {
            return;
        }
        self.bury(now, actions);
        let forget = Duration::from_millis(self.options.forget_ms);
        self.members.retain(|_, member| match member.state {
            MemberState::Dead { since } => now.since(since) < forget,
            MemberState::Alive | MemberState::Suspect { .. } => true,
        });
    }

    fn probe_round(&mut self, actions: &mut Vec<MembershipAction>) {
        for _ in 0..self.options.fanout {
            let Some(address) = self.next_address() else {
                return;
            };
            let asked = actions.iter().any(|action| {
                matches!(action, MembershipAction::Probe { address: other, .. } if *other == address)
            });
            if asked {
                return;
            }
            let rumours = self.rumours.take(self.members.len());
            actions.push(MembershipAction::Probe { address, rumours });
        }
    }

    /// The next address of a rotation that is shuffled anew each time it is used up.
    fn next_address(&mut self) -> Option<String> {
        if self.rotation.is_empty() {
            let known = self.members.values().map(|member| member.address.clone());
            self.rotation = known.chain(self.unknown.iter().cloned()).collect();
            self.rotation.shuffle(&mut self.rng);
        }
        self.rotation.pop()
    }

    /// Sends fresh news at once to a few hosts; a suspect among them always hears of it.
    pub(super) fn push_news(&mut self, actions: &mut Vec<MembershipAction>) {
        let fresh = self.rumours.take_fresh();
        if fresh.is_empty() {
            return;
        }
        let accused = fresh
            .iter()
            .filter(|rumour| rumour.state != RumourState::Alive)
            .map(|rumour| rumour.address.clone());
        let mut targets: Vec<String> = accused.collect();
        for _ in 0..self.options.fanout {
            targets.extend(self.next_address());
        }
        targets.sort();
        targets.dedup();
        actions.extend(targets.into_iter().map(|address| MembershipAction::Probe {
            address,
            rumours: fresh.clone(),
        }));
    }
}
