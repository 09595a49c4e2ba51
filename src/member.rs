//! What one host knows of another host of its data centre.

use crate::clock::Time;
use crate::id::DataCentre;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::Offset;
use crate::peer::Rumour;
use crate::peer::RumourState;
use crate::status::PeerState;
use crate::status::PeerStatus;

/// What a host knows of another one in its data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The host.
    pub host: HostId,
    /// Its peer address.
    pub address: String,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Counts its refutations within the incarnation.
    pub sequence: u32,
    /// Whether it is alive.
    pub state: MemberState,
    /// Whether it is leaving; sticky for the incarnation.
    pub leaving: bool,
    /// The configuration offset it last said it has in force.
    pub config_offset: Offset,
    /// When a message of its own last arrived.
    pub heard_at: Time,
    /// Since when this incarnation is known here.
    pub known_since: Time,
    pub(crate) refuted_at: Option<Time>,
}

/// Whether a member is alive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// It is alive as far as is known.
    Alive,
    /// Somebody could not reach it; it still counts.
    Suspect {
        /// Since when.
        since: Time,
    },
    /// Nobody refuted the suspicion.
    Dead {
        /// Since when.
        since: Time,
    },
}

impl Member {
    pub(crate) fn new(now: Time, rumour: &Rumour) -> Self {
        let mut member = Member {
            host: rumour.host.clone(),
            address: rumour.address.clone(),
            incarnation: rumour.incarnation,
            sequence: rumour.sequence,
            state: MemberState::Alive,
            leaving: rumour.leaving,
            config_offset: Offset::default(),
            heard_at: now,
            known_since: now,
            refuted_at: None,
        };
        member.apply(now, rumour);
        member
    }

    /// Whether the host may own something.
    pub fn is_owner(&self) -> bool {
        !self.leaving && self.is_live()
    }

    /// Whether the host is alive or only suspect.
    pub fn is_live(&self) -> bool {
        !matches!(self.state, MemberState::Dead { .. })
    }

    /// The member as the status tells of it.
    pub(crate) fn status(&self, now: Time, data_centre: &DataCentre) -> PeerStatus {
        let silent = now.since(self.heard_at).as_millis();
        PeerStatus {
            host: self.host.clone(),
            data_centre: data_centre.clone(),
            state: match self.state {
                MemberState::Dead { .. } => PeerState::Dead,
                _ if self.leaving => PeerState::Leaving,
                MemberState::Suspect { .. } => PeerState::Suspected,
                MemberState::Alive => PeerState::Live,
            },
            silent_ms: u64::try_from(silent).unwrap_or(u64::MAX),
            config_offset: self.config_offset,
        }
    }

    pub(crate) fn rumour(&self) -> Rumour {
        Rumour {
            host: self.host.clone(),
            address: self.address.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            state: match self.state {
                MemberState::Alive => RumourState::Alive,
                MemberState::Suspect { .. } => RumourState::Suspect,
                MemberState::Dead { .. } => RumourState::Dead,
            },
            leaving: self.leaving,
        }
    }

    /// Whether a rumour of the same incarnation says more than is known.
    pub(crate) fn is_news(&self, rumour: &Rumour) -> bool {
        let known = self.rumour();
        if rumour.incarnation < self.incarnation {
            return false;
        }
        let later = (rumour.sequence, rumour.state) > (known.sequence, known.state);
        later || rumour.leaving && !known.leaving
    }

    pub(crate) fn apply(&mut self, now: Time, rumour: &Rumour) {
        if rumour.incarnation > self.incarnation {
            self.incarnation = rumour.incarnation;
            self.known_since = now;
            self.sequence = 0;
            self.leaving = false;
            self.state = MemberState::Alive;
            self.refuted_at = None;
        }
        self.address.clone_from(&rumour.address);
        self.leaving |= rumour.leaving;
        let refuted = rumour.sequence > self.sequence;
        if refuted && rumour.state == RumourState::Alive {
            self.refuted_at = Some(now);
        }
        if refuted || rumour.sequence == self.sequence && rumour.state > self.rumour().state {
            self.state = match rumour.state {
                RumourState::Alive => MemberState::Alive,
                RumourState::Suspect => MemberState::Suspect { since: now },
                RumourState::Dead => MemberState::Dead { since: now },
            };
        }
        self.sequence = self.sequence.max(rumour.sequence);
    }
}
