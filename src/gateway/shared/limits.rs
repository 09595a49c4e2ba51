//! Request rates that upstreams take from all hosts together.

use http::HeaderMap;

use super::Shared;
use super::lock;
use crate::event::EventCode;
use crate::gateway::instance::InstanceId;
use crate::telemetry;

impl Shared {
    /// Records the limit that an upstream names in the headers of an answer, or that it names none.
    pub(crate) fn record_limit(&self, upstream: &InstanceId, headers: &HeaderMap) {
        let requests_per_s = self.protocol().request_limit(headers);
        let now = self.now();
        let change =
            lock(&self.0.upstream_limits).record_answer(now, upstream.key(), requests_per_s);
        if let Some(change) = change {
            let entry = self.log().entry(EventCode::UpstreamLimited);
            entry
                .with("upstream", upstream.as_str())
                .with("change", change.name())
                .with_some("limit_per_s", requests_per_s)
                .with("source", "answer")
                .write();
        }
    }

    /// Forgets limits that upstreams have not named for long, and publishes how many are known.
    pub(crate) fn expire_limits(&self) {
        let now = self.now();
        let mut limits = lock(&self.0.upstream_limits);
        limits.expire(now);
        telemetry::set_upstreams_limited(limits.len());
    }
}
