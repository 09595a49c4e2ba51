//! Membership of a data centre: by number of its hosts.

use crate::fit::Series;
use crate::fit::bytes_held;
use crate::fit::nanos_each;
use cedargauge::clock::Time;
use cedargauge::id::DataCentre;
use cedargauge::id::HostId;
use cedargauge::id::Incarnation;
use cedargauge::id::Offset;
use cedargauge::membership::Heard;
use cedargauge::membership::Identity;
use cedargauge::membership::Membership;
use cedargauge::membership::MembershipInput;
use cedargauge::membership::MembershipOptions;

const HOSTS: [usize; 4] = [8, 24, 73, 146];
const HEARTBEATS: usize = 2_000;
const TICKS: usize = 500;
const SEED: u64 = 1;

/// Prints the slopes of membership.
pub fn measure() {
    Series::measure("membership, held by hosts", &HOSTS, |hosts| {
        bytes_held(|| membership(hosts))
    })
    .print("bytes");
    Series::measure("take in one heartbeat", &HOSTS, |hosts| {
        let mut membership = membership(hosts);
        nanos_each(HEARTBEATS, |index| {
            let now = Time::from_ms(index as u64);
            membership.step(now, MembershipInput::Heard(heard(index % hosts)))
        })
    })
    .print("ns");
    Series::measure("one round of probes", &HOSTS, |hosts| {
        let mut membership = membership(hosts);
        nanos_each(TICKS, |index| {
            let now = Time::from_ms(1_000 * index as u64);
            for host in 0..hosts {
                membership.step(now, MembershipInput::Heard(heard(host)));
            }
            membership.step(now, MembershipInput::Tick)
        })
    })
    .print("ns, with a heartbeat of every host");
}

fn membership(hosts: usize) -> Membership {
    let identity = Identity {
        host: HostId::from("self"),
        incarnation: Incarnation(1),
        data_centre: DataCentre::from("a"),
        address: "127.0.0.1:1".to_owned(),
    };
    let options = MembershipOptions::default();
    let mut membership = Membership::new(options, identity, Time::ZERO, SEED);
    for host in 0..hosts {
        membership.step(Time::ZERO, MembershipInput::Heard(heard(host)));
    }
    membership
}

fn heard(index: usize) -> Heard {
    Heard {
        host: HostId::new(format!("host-{index:04}")),
        incarnation: Incarnation(1),
        address: format!("127.0.0.1:{}", 10_000 + index),
        sequence: 0,
        leaving: false,
        config_offset: Offset(7),
        rumours: Vec::new(),
    }
}
