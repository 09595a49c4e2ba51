//! Takes in what other hosts say of themselves and of each other.

use super::Change;
use super::Heard;
use super::Membership;
use super::MembershipAction;
use super::noted;
use crate::clock::Time;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::member::Member;
use crate::member::MemberState;
use crate::peer::Rumour;
use crate::peer::RumourState;

impl Membership {
    pub(super) fn hear(&mut self, now: Time, heard: Heard, actions: &mut Vec<MembershipAction>) {
        if heard.host == self.identity.host {
            return;
        }
        self.contact(now, actions);
        self.unknown.retain(|address| *address != heard.address);
        let newcomer = self
            .members
            .get(&heard.host)
            .is_none_or(|member| member.incarnation < heard.incarnation);
        let rumour = Rumour {
            host: heard.host.clone(),
            address: heard.address.clone(),
            incarnation: heard.incarnation,
            sequence: heard.sequence,
            state: RumourState::Alive,
            leaving: heard.leaving,
        };
        self.merge(now, rumour, actions);
        if let Some(member) = self.members.get_mut(&heard.host)
            && member.incarnation == heard.incarnation
        {
            member.heard_at = now;
            member.config_offset = member.config_offset.max(heard.config_offset);
            revive(member, now, actions);
        }
        for rumour in heard.rumours {
            self.merge(now, rumour, actions);
        }
        if newcomer {
            self.introduce(heard.address, actions);
        }
    }

    /// Tells a newcomer of every member at once.
    fn introduce(&self, address: String, actions: &mut Vec<MembershipAction>) {
        let rumours = self.members.values().map(Member::rumour).collect();
        actions.push(MembershipAction::Probe { address, rumours });
    }

    pub(super) fn answered(
        &mut self,
        now: Time,
        address: &str,
        host: &HostId,
        incarnation: Incarnation,
        actions: &mut Vec<MembershipAction>,
    ) {
        if *host == self.identity.host {
            self.unknown.retain(|unknown| unknown != address);
            return;
        }
        self.contact(now, actions);
        if let Some(member) = self.members.get_mut(host)
            && member.incarnation == incarnation
        {
            revive(member, now, actions);
        }
        self.suspect_where(now, actions, |member| {
            member.address == address && member.host != *host
        });
    }

    fn merge(&mut self, now: Time, rumour: Rumour, actions: &mut Vec<MembershipAction>) {
        if rumour.host == self.identity.host {
            self.refute(&rumour);
            return;
        }
        let Some(member) = self.members.get_mut(&rumour.host) else {
            self.admit(now, rumour, actions);
            return;
        };
        let newer = rumour.incarnation > member.incarnation;
        if !newer && !member.is_news(&rumour) {
            return;
        }
        let before = member.clone();
        member.apply(now, &rumour);
        note_changes(&before, member, actions);
        self.rumours.spread(member.rumour());
    }

    /// Takes up a host that was unknown, unless the rumour is of its death.
    fn admit(&mut self, now: Time, rumour: Rumour, actions: &mut Vec<MembershipAction>) {
        if rumour.state == RumourState::Dead {
            return;
        }
        self.unknown.retain(|address| *address != rumour.address);
        let member = Member::new(now, &rumour);
        actions.push(noted(Change::Joined, &member.host));
        self.rumours.spread(member.rumour());
        self.members.insert(rumour.host, member);
    }

    /// Answers a rumour of this host's own death with a higher sequence.
    fn refute(&mut self, rumour: &Rumour) {
        let current = rumour.incarnation == self.identity.incarnation;
        let accused = rumour.state != RumourState::Alive && rumour.sequence >= self.sequence;
        if !current || !accused {
            return;
        }
        self.sequence = rumour.sequence + 1;
        let own = self.own_rumour();
        self.rumours.spread(own);
    }

    pub(super) fn leave(&mut self) {
        self.leaving = true;
        let own = self.own_rumour();
        self.rumours.spread(own);
    }

    fn own_rumour(&self) -> Rumour {
        Rumour {
            host: self.identity.host.clone(),
            address: self.identity.address.clone(),
            incarnation: self.identity.incarnation,
            sequence: self.sequence,
            state: RumourState::Alive,
            leaving: self.leaving,
        }
    }
}

/// A message of the host's own is proof that it lives, whatever rumours say.
fn revive(member: &mut Member, now: Time, actions: &mut Vec<MembershipAction>) {
    if member.state == MemberState::Alive {
        return;
    }
    let was_dead = !member.is_live();
    member.state = MemberState::Alive;
    member.refuted_at = Some(now);
    let change = if was_dead {
        Change::Joined
    } else {
        Change::Refuted
    };
    actions.push(noted(change, &member.host));
}

fn note_changes(before: &Member, after: &Member, actions: &mut Vec<MembershipAction>) {
    let change = match (before.state, after.state) {
        _ if before.incarnation != after.incarnation => Some(Change::Joined),
        (MemberState::Dead { .. }, MemberState::Alive) => Some(Change::Joined),
        (MemberState::Suspect { .. }, MemberState::Alive) => Some(Change::Refuted),
        (MemberState::Alive, MemberState::Suspect { .. }) => Some(Change::Suspected),
        (MemberState::Alive | MemberState::Suspect { .. }, MemberState::Dead { .. }) => {
            Some(Change::Died)
        }
        _ => None,
    };
    actions.extend(change.map(|change| noted(change, &after.host)));
    if after.leaving && !before.leaving {
        actions.push(noted(Change::Left, &after.host));
    }
}
