//! Suspects hosts that don't answer and buries those that nobody defends, unless alone.

use std::time::Duration;

use super::Change;
use super::Membership;
use super::MembershipAction;
use super::noted;
use crate::clock::Time;
use crate::member::Member;
use crate::member::MemberState;

impl Membership {
    pub(super) fn unanswered(
        &mut self,
        now: Time,
        address: &str,
        actions: &mut Vec<MembershipAction>,
    ) {
        self.suspect_where(now, actions, |member| member.address == address);
    }

    pub(super) fn suspect_where(
        &mut self,
        now: Time,
        actions: &mut Vec<MembershipAction>,
        chosen: impl Fn(&Member) -> bool,
    ) {
        let hold = Duration::from_millis(self.options.refuted_hold_ms);
        for member in self.members.values_mut().filter(|member| chosen(member)) {
            let held = member
                .refuted_at
                .is_some_and(|refuted_at| now.since(refuted_at) < hold);
            if member.state != MemberState::Alive || held {
                continue;
            }
            member.state = MemberState::Suspect { since: now };
            self.rumours.spread(member.rumour());
            actions.push(noted(Change::Suspected, &member.host));
        }
    }

    pub(super) fn contact(&mut self, now: Time, actions: &mut Vec<MembershipAction>) {
        self.heard_at = now;
        if self.alone_since.take().is_some() {
            actions.push(noted(Change::Rejoined, &self.identity.host));
        }
    }

    /// A host alone can't tell the death of all others from its own isolation. With one other
    /// host there is no second witness to wait for, and two owners are harmless.
    pub(super) fn check_alone(&mut self, now: Time, actions: &mut Vec<MembershipAction>) {
        let others = self.members.values().filter(|member| member.is_owner());
        let silent = now.since(self.heard_at) >= Duration::from_millis(self.options.alone_after_ms);
        if silent && others.count() >= 2 && self.alone_since.is_none() {
            self.alone_since = Some(now);
            actions.push(noted(Change::Alone, &self.identity.host));
        }
    }

    /// Whether this host may be cut off, so that it buries nobody yet.
    pub(super) fn is_holding(&self, now: Time) -> bool {
        let others = self.members.values().filter(|member| member.is_owner());
        let patience = Duration::from_millis(self.options.suspicion_ms);
        match self.alone_since {
            Some(since) => now.since(since) < Duration::from_millis(self.options.alone_hold_ms),
            None => others.count() >= 2 && now.since(self.heard_at) >= patience,
        }
    }

    pub(super) fn bury(&mut self, now: Time, actions: &mut Vec<MembershipAction>) {
        let patience = Duration::from_millis(self.options.suspicion_ms);
        for member in self.members.values_mut() {
            let MemberState::Suspect { since } = member.state else {
                continue;
            };
            if now.since(since) >= patience {
                member.state = MemberState::Dead { since: now };
                self.rumours.spread(member.rumour());
                actions.push(noted(Change::Died, &member.host));
            }
        }
    }
}
