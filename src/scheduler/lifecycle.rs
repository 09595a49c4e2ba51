//! The life of a granted request: its part of the ledger, the forecast and the charges.

use super::Scheduler;
use crate::admission::Trajectory;
use crate::clock::Time;
use crate::id::RequestId;
use crate::id::UpstreamId;
use crate::ledger::Running;
use crate::placement::Choice;
use crate::placement::Slot;
use crate::schedule::Ending;
use crate::schedule::Ticket;

impl Scheduler {
    pub(super) fn progress(&mut self, now: Time, request: RequestId, output_tokens: u32) {
        let Some(running) = self.ledger.get_mut(request) else {
            return;
        };
        let before = running.output_tokens;
        if output_tokens <= before {
            return;
        }
        running.output_tokens = output_tokens;
        let class = &running.class;
        let customer = &running.customer;
        self.estimator
            .passed(now, class, customer, before, output_tokens);
        let due = running.due_tokens() - running.charged_tokens;
        if due > 0 {
            running.charged_tokens += due;
            self.queue.charge(class, customer, due);
        }
        let prompt_tokens = u64::from(running.prompt_tokens);
        let slot = running.slot;
        let renew = output_tokens >= running.renew_at_tokens;
        if before == 0 {
            self.placement.update(now, slot, |upstream| {
                upstream.prefill_tokens = upstream.prefill_tokens.saturating_sub(prompt_tokens);
            });
        }
        if renew {
            self.renew(now, request);
        }
    }

    /// Brings a running request's part of the forecast up to date.
    pub(super) fn renew(&mut self, now: Time, request: RequestId) {
        let Some(running) = self.ledger.get_mut(request) else {
            return;
        };
        let curve = self.estimator.curve(now, &running.class, &running.customer);
        let new = Trajectory::new(
            curve,
            running.prompt_tokens,
            running.output_tokens,
            running.max_output_tokens,
        );
        let old = std::mem::replace(&mut running.trajectory, new);
        running.renewed();
        self.placement.update(now, running.slot, |upstream| {
            upstream.forecast.replace(&old, &new);
        });
    }

    pub(super) fn finished(
        &mut self,
        now: Time,
        request: RequestId,
        ending: Ending,
        cached_tokens: u32,
    ) {
        self.moves.remove(&request);
        let Some(running) = self.ledger.get(request) else {
            return;
        };
        let own_end = running.output_tokens < running.max_output_tokens;
        if ending == Ending::Complete && own_end {
            self.estimator.ended(
                now,
                &running.class,
                &running.customer,
                running.output_tokens,
            );
        }
        let cached = f64::from(cached_tokens) / f64::from(running.prompt_tokens.max(1));
        if ending == Ending::Complete {
            let affinity = &mut self.placement.affinity;
            affinity.compare(running.slot, running.cached_share, cached);
        }
        self.judge(now, running.slot, ending);
        self.release(now, request);
    }

    /// Accounts an ending to its upstream's health.
    pub(super) fn judge(&mut self, now: Time, slot: Slot, ending: Ending) {
        let Some(upstream) = self.placement.get(slot) else {
            return;
        };
        let id = upstream.spec.upstream.clone();
        let percent = self.options.ejected_percent_max as usize;
        let ejected_max = self.placement.len() * percent / 100;
        let ejector = &mut self.placement.ejector;
        match ending {
            Ending::Complete => ejector.succeeded(&id),
            Ending::Cancelled => ejector.abandoned(&id),
            Ending::UpstreamFailed | Ending::UpstreamRefused => {
                if ejector.failed(now, &id, ejected_max) {
                    self.placement.shelve(now, slot);
                }
            }
        }
    }

    pub(super) fn adopt(
        &mut self,
        now: Time,
        ticket: &Ticket,
        id: &UpstreamId,
        output_tokens: u32,
    ) {
        if self.ledger.get(ticket.request).is_some() {
            self.progress(now, ticket.request, output_tokens);
            return;
        }
        self.withdraw(now, ticket.request);
        let Some(slot) = self.placement.slot(id) else {
            return;
        };
        let choice = Choice {
            slot,
            cached_share: 0.0,
        };
        self.run(now, ticket, choice, output_tokens, None);
    }

    /// Enters a request into the ledger, the forecast and the charges.
    pub(super) fn run(
        &mut self,
        now: Time,
        ticket: &Ticket,
        choice: Choice,
        output_tokens: u32,
        expires: Option<Time>,
    ) {
        let curve = self.estimator.curve(now, &ticket.class, &ticket.customer);
        let limit = ticket.max_output_tokens;
        let trajectory = Trajectory::new(curve, ticket.prompt_tokens, output_tokens, limit);
        let mut running = Running {
            slot: choice.slot,
            customer: ticket.customer.clone(),
            class: ticket.class.clone(),
            repeatable: ticket.repeatable,
            prompt_tokens: ticket.prompt_tokens,
            max_output_tokens: limit,
            output_tokens,
            adopted_tokens: output_tokens,
            charged_tokens: i64::from(ticket.prompt_tokens),
            cached_share: choice.cached_share,
            granted: now,
            expires,
            attempt: None,
            missing_reports: 0,
            relocating: false,
            trajectory,
            renew_at_tokens: 0,
        };
        running.renewed();
        self.queue.start(&ticket.class, &ticket.customer);
        self.queue
            .charge(&ticket.class, &ticket.customer, running.charged_tokens);
        self.placement.update(now, choice.slot, |upstream| {
            upstream.running.insert(ticket.request);
            upstream.forecast += &trajectory;
            if output_tokens == 0 {
                upstream.prefill_tokens += u64::from(ticket.prompt_tokens);
            }
        });
        self.ledger.insert(ticket.request, running);
    }

    /// Takes a request out of the ledger, the forecast and the charges.
    pub(super) fn release(&mut self, now: Time, request: RequestId) {
        let Some(running) = self.ledger.remove(now, request) else {
            return;
        };
        let used = running.attempt.is_some() || running.output_tokens > 0;
        let due = if used { running.due_tokens() } else { 0 };
        self.queue.charge(
            &running.class,
            &running.customer,
            due - running.charged_tokens,
        );
        self.queue.end(&running.class, &running.customer);
        self.placement.update(now, running.slot, |upstream| {
            upstream.running.remove(&request);
            upstream.forecast -= &running.trajectory;
            if running.output_tokens == 0 {
                let prompt_tokens = u64::from(running.prompt_tokens);
                upstream.prefill_tokens = upstream.prefill_tokens.saturating_sub(prompt_tokens);
            }
        });
    }
}
