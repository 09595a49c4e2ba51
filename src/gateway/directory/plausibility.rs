//! Checks of listings that can be decoded but can't be right. Anybody may write to the topic of the upstreams.

use std::net::IpAddr;
use std::time::Duration;

use super::Upstream;

/// Longest name of a service, a data centre or a version: that of a key in the log.
const NAME_BYTES_MAX: usize = 255;
/// Most concurrent requests of an upstream: far more than any accelerator runs.
const SLOTS_MAX: u32 = 1_000_000;
/// Highest sequence number, which no upstream reaches by counting. With a higher one, no later statement would count.
const SEQUENCE_MAX: u64 = 1 << 53;
/// Latest start time: the year 2200. With a later one, no later instance would count.
const BORN_MS_MAX: u64 = 7_258_118_400_000;
/// Longest time for which an upstream is cold.
const COLD_TIME_MAX: Duration = Duration::from_secs(24 * 60 * 60);

impl Upstream {
    /// Why this can't be the listing of an upstream, if it can't.
    pub fn flaw(&self) -> Option<&'static str> {
        let names = [
            self.service.as_str(),
            self.data_centre.as_str(),
            self.version.as_str(),
        ];
        let checks = [
            (
                names.iter().any(|name| name.len() > NAME_BYTES_MAX),
                "a name is too long",
            ),
            (self.address.port() == 0, "port 0"),
            (!is_host(self.address.ip()), "the address is no host's"),
            (self.slots > SLOTS_MAX, "too many slots"),
            (
                self.sequence > SEQUENCE_MAX,
                "the sequence number is too high",
            ),
            (
                self.id.born_ms().is_some_and(|ms| ms > BORN_MS_MAX),
                "the start time is too late",
            ),
            (
                Duration::from_millis(self.cold_left_ms.into()) > COLD_TIME_MAX,
                "it is cold for too long",
            ),
        ];
        let flaw = checks.iter().find(|(is_flawed, _)| *is_flawed);
        flaw.map(|(_, reason)| *reason)
    }
}

/// Whether an address can be that of one host.
fn is_host(address: IpAddr) -> bool {
    let is_broadcast = matches!(address, IpAddr::V4(ip) if ip.is_broadcast());
    !address.is_unspecified() && !address.is_multicast() && !is_broadcast
}
