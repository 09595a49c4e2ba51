//! Last filter of a generation: charges its tokens to the customer and measures its stream.

use crate::clock::Time;
use crate::limits::Admission;
use crate::schedule::Ticket;
use crate::telemetry::StreamMeter;

/// Tokens are charged in batches of this many.
const CHARGE_TOKENS: u32 = 16;

/// The account of one request. Dropping it charges the rest and gives the admission back.
#[derive(Debug)]
pub struct Account {
    admission: Admission,
    meter: StreamMeter,
    uncharged_tokens: u32,
}

impl Account {
    /// The account of an admitted request that arrived at `now`.
    pub(crate) fn open(now: Time, admission: Admission, ticket: &Ticket) -> Self {
        Account {
            admission,
            meter: StreamMeter::start(now, &ticket.service, &ticket.class),
            uncharged_tokens: 0,
        }
    }

    /// Waits until the customer may run one more generation.
    pub(crate) async fn started(&mut self) {
        self.admission.started().await;
    }

    /// An upstream was granted.
    pub(crate) fn granted(&self, now: Time) {
        self.meter.granted(now);
    }

    /// A token was passed on.
    pub(crate) fn token(&mut self, now: Time) {
        self.meter.token(now);
        self.uncharged_tokens += 1;
        if self.uncharged_tokens >= CHARGE_TOKENS {
            self.charge();
        }
    }

    fn charge(&mut self) {
        self.admission.account_tokens(self.uncharged_tokens);
        self.uncharged_tokens = 0;
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        self.charge();
    }
}
