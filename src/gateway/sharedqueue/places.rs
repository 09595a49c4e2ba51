//! Places of refused generations, kept for callers that return when they were told to.
//!
//! Answers a queue that refuses the same callers again and again: who returns is queued at its first arrival.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Time;
use crate::fingerprint::Fingerprint;
use crate::gateway::sharedqueue::Waiter;
use crate::gateway::sharedqueue::WaiterId;
use crate::id::CustomerId;

/// Most places that are kept; one more is not. They take less than a megabyte.
const PLACES_MAX: usize = 4_096;
/// A place is kept for this long after its caller should return: a connection is opened and the request sent.
const RETURN_SLACK: Duration = Duration::from_millis(1_000);
/// A caller may return this much earlier than told, since times are rounded.
const EARLY_MAX: Duration = Duration::from_millis(50);

/// The place of a refused generation.
#[derive(Debug)]
struct Place {
    id: WaiterId,
    rank: u8,
    customer: Option<CustomerId>,
    arrived_at: Time,
    tokens: u32,
    from: Time,
    until: Time,
}

/// The places that are kept.
#[derive(Debug, Default)]
pub(super) struct Places {
    /// Several callers may send the same content.
    by_content: HashMap<Fingerprint, Vec<Place>>,
    ends: BTreeSet<(Time, Fingerprint, WaiterId)>,
    tokens_by_rank: BTreeMap<u8, u64>,
}

impl Places {
    /// Keeps the place of a generation whose caller should return after `retry_after`. One that was refused before and
    /// asked again, not having heard it, may act on either answer.
    pub(super) fn keep(&mut self, now: Time, waiter: &Waiter, retry_after: Duration) {
        let before = self.remove(waiter.content, &waiter.id);
        if self.ends.len() >= PLACES_MAX {
            return;
        }
        let from = now + retry_after.saturating_sub(EARLY_MAX);
        let until = now + retry_after + RETURN_SLACK;
        let place = Place {
            id: waiter.id.clone(),
            rank: waiter.rank,
            customer: waiter.customer.clone(),
            arrived_at: waiter.arrived_at,
            tokens: waiter.need.tokens(),
            from: before.as_ref().map_or(from, |place| place.from.min(from)),
            until: before.map_or(until, |place| place.until.max(until)),
        };
        self.ends
            .insert((place.until, waiter.content, place.id.clone()));
        *self.tokens_by_rank.entry(place.rank).or_default() += u64::from(place.tokens);
        self.by_content
            .entry(waiter.content)
            .or_default()
            .push(place);
    }

    /// Takes the place of a generation that returns and answers its first arrival. A repeat that comes before the time
    /// told has no place, nor has one that asks again because it didn't hear the refusal.
    pub(super) fn take(&mut self, now: Time, waiter: &Waiter) -> Option<Time> {
        let places = self.by_content.get(&waiter.content)?;
        let place = places.iter().find(|place| {
            place.rank == waiter.rank
                && place.customer == waiter.customer
                && place.id != waiter.id
                && place.from <= now
                && now < place.until
        })?;
        let id = place.id.clone();
        self.remove(waiter.content, &id)
            .map(|place| place.arrived_at)
    }

    /// Forgets the places whose callers did not return.
    pub(super) fn expire(&mut self, now: Time) {
        while let Some((until, content, id)) = self.ends.first().cloned() {
            if until > now {
                return;
            }
            self.remove(content, &id);
        }
    }

    /// Tokens needed by those expected back that go before or with a rank.
    pub(super) fn tokens(&self, rank: u8) -> u64 {
        self.tokens_by_rank
            .range(..=rank)
            .map(|(_, tokens)| tokens)
            .sum()
    }

    fn remove(&mut self, content: Fingerprint, id: &WaiterId) -> Option<Place> {
        let places = self.by_content.get_mut(&content)?;
        let index = places.iter().position(|place| place.id == *id)?;
        let place = places.swap_remove(index);
        if places.is_empty() {
            self.by_content.remove(&content);
        }
        self.ends.remove(&(place.until, content, id.clone()));
        if let Some(tokens) = self.tokens_by_rank.get_mut(&place.rank) {
            *tokens -= u64::from(place.tokens);
        }
        Some(place)
    }
}
