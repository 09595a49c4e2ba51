use std::time::Duration;

use super::CallCounts;
use super::FailureChange;
use super::FailureRates;
use super::ServiceCalls;
use super::TOLD_TTL;
use super::WINDOW;
use crate::clock::Time;
use crate::gateway::instance::InstanceId;
use crate::id::HostId;
use crate::id::ServiceId;
use crate::id::UpstreamId;

const HOSTS: usize = 40;
const UPSTREAMS: usize = 20;

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

fn service() -> ServiceId {
    ServiceId::new("nets")
}

fn upstream(index: usize) -> InstanceId {
    InstanceId::new(UpstreamId::new(format!("up-{index}")), Some(1))
}

fn host(index: usize) -> HostId {
    HostId::new(format!("host-{index}"))
}

/// Hosts that tell each other of their calls.
struct Fleet {
    hosts: Vec<FailureRates>,
}

impl Fleet {
    fn new() -> Self {
        let hosts = (0..HOSTS).map(|_| FailureRates::default());
        Fleet {
            hosts: hosts.collect(),
        }
    }

    /// Each host calls each upstream `calls` times; `fails` says which calls fail, by upstream and a count.
    fn call(&mut self, now: Time, calls: usize, fails: impl Fn(usize, usize) -> bool) {
        let mut counts = [0; UPSTREAMS];
        for host in &mut self.hosts {
            for (index, count) in counts.iter_mut().enumerate() {
                for _ in 0..calls {
                    *count += 1;
                    host.record(now, &service(), &upstream(index), fails(index, *count));
                }
            }
        }
    }

    /// All hosts review what they know and tell each other. Returns the changes at the first host.
    fn exchange(&mut self, now: Time) -> Vec<FailureChange> {
        let review = |rates: &mut FailureRates| rates.review(now, HOSTS, 0.5, |_| UPSTREAMS);
        let changes: Vec<_> = self.hosts.iter_mut().map(review).collect();
        let told: Vec<_> = self.hosts.iter().map(FailureRates::announce).collect();
        for (receiver, rates) in self.hosts.iter_mut().enumerate() {
            for (sender, told) in told.iter().enumerate() {
                if sender != receiver {
                    rates.receive(now, &host(sender), told.clone());
                }
            }
        }
        changes.into_iter().next().unwrap_or_default()
    }

    fn failing_at(&self, host: usize) -> Vec<usize> {
        let rates = &self.hosts[host];
        let failing = (0..UPSTREAMS).filter(|index| rates.is_failing(&upstream(*index)));
        failing.collect()
    }
}

#[test]
fn all_hosts_find_a_failing_upstream_within_a_second() {
    let mut fleet = Fleet::new();
    fleet.call(at(0), 2, |index, _| index == 3);

    for round in 0..=4 {
        fleet.exchange(at(round * 250));
    }

    let all_found = (0..HOSTS).all(|host| fleet.failing_at(host) == [3]);
    assert!(all_found);
}

#[test]
fn requests_that_fail_everywhere_blame_no_upstream() {
    let mut fleet = Fleet::new();
    let mut changes = 0;

    for round in 0..80 {
        fleet.call(at(round * 250), 1, |index, count| {
            (count + index * 5) % 7 == 0
        });
        changes += fleet.exchange(at(round * 250)).len();
    }

    assert_eq!(changes, 0);
}

#[test]
fn an_upstream_that_fails_is_found_among_requests_that_fail_everywhere() {
    let mut fleet = Fleet::new();
    fleet.call(at(0), 2, |index, count| {
        index == 3 || (count + index * 5) % 7 == 0
    });

    for round in 0..=4 {
        fleet.exchange(at(round * 250));
    }

    assert_eq!(fleet.failing_at(0), [3]);
}

// Guards against hosts that don't call an upstream counting as if they had called it with success.
#[test]
fn an_upstream_that_a_quarter_of_the_hosts_call_is_found() {
    let mut fleet = Fleet::new();
    for (host, rates) in fleet.hosts.iter_mut().enumerate() {
        for index in (0..UPSTREAMS).filter(|index| (host + index) % 4 == 0) {
            for call in 0..2 {
                let fails = index == 3 || (host / 4 + index + call) % 7 == 0;
                rates.record(at(0), &service(), &upstream(index), fails);
            }
        }
    }

    for round in 0..=4 {
        fleet.exchange(at(round * 250));
    }

    assert_eq!(fleet.failing_at(0), [3]);
}

#[test]
fn an_upstream_is_used_again_once_it_is_well() {
    let mut fleet = Fleet::new();
    fleet.call(at(0), 2, |index, _| index == 3);
    for round in 0..=4 {
        fleet.exchange(at(round * 250));
    }
    let found = fleet.failing_at(0);

    let later = Time::ZERO + WINDOW + TOLD_TTL;
    fleet.call(later, 2, |_, _| false);
    let changes = fleet.exchange(later);

    assert_eq!(found, [3]);
    assert_eq!(changes.len(), 1);
    assert!(fleet.failing_at(0).is_empty());
}

#[test]
fn nothing_is_told_while_all_is_well() {
    let mut fleet = Fleet::new();
    fleet.call(at(0), 5, |_, _| false);

    fleet.exchange(at(0));

    assert!(fleet.hosts[0].announce().is_empty());
}

#[test]
fn half_of_a_service_at_most_is_avoided() {
    let mut fleet = Fleet::new();
    fleet.call(at(0), 4, |index, _| index < 12);
    for round in 0..=4 {
        fleet.exchange(at(round * 250));
    }

    assert!(fleet.failing_at(0).len() <= UPSTREAMS / 2);
}

#[test]
fn a_host_with_wrong_counts_is_outweighed() {
    let mut fleet = Fleet::new();
    fleet.call(at(0), 2, |_, _| false);
    let wrong = ServiceCalls {
        service: service(),
        all: (10, 10),
        called: 1,
        upstreams: vec![(
            upstream(3).key(),
            CallCounts {
                calls: u16::MAX,
                failed: u16::MAX,
            },
        )],
    };

    for round in 0..=4 {
        for rates in &mut fleet.hosts {
            rates.receive(at(round * 250), &host(HOSTS), vec![wrong.clone()]);
        }
        fleet.exchange(at(round * 250));
    }

    assert!(fleet.failing_at(0).is_empty());
}

#[test]
fn what_a_silent_host_told_is_dropped() {
    let mut rates = FailureRates::default();
    let told = |failed| ServiceCalls {
        service: service(),
        all: (100, failed),
        called: 20,
        upstreams: vec![(
            upstream(3).key(),
            CallCounts {
                calls: 10,
                failed: 10,
            },
        )],
    };
    rates.receive(at(0), &host(1), vec![told(10)]);

    let found = rates.review(at(0), HOSTS, 0.5, |_| UPSTREAMS);
    let dropped = rates.review(Time::ZERO + TOLD_TTL, HOSTS, 0.5, |_| UPSTREAMS);

    assert_eq!((found.len(), dropped.len()), (1, 1));
}

#[test]
fn a_host_that_tells_again_is_not_counted_twice() {
    let mut rates = FailureRates::default();
    let told = ServiceCalls {
        service: service(),
        all: (20, 2),
        called: 10,
        upstreams: vec![(
            upstream(3).key(),
            CallCounts {
                calls: 2,
                failed: 2,
            },
        )],
    };

    for _ in 0..5 {
        rates.receive(at(0), &host(1), vec![told.clone()]);
    }

    assert!(rates.review(at(0), HOSTS, 0.5, |_| UPSTREAMS).is_empty());
}

#[test]
fn a_new_instance_of_a_failing_upstream_starts_anew() {
    let mut fleet = Fleet::new();
    fleet.call(at(0), 2, |index, _| index == 3);
    for round in 0..=4 {
        fleet.exchange(at(round * 250));
    }

    let reborn = InstanceId::new(UpstreamId::new("up-3"), Some(2));

    assert!(!fleet.hosts[0].is_failing(&reborn));
}

#[test]
fn an_avoided_upstream_is_probed_now_and_then() {
    let mut fleet = Fleet::new();
    fleet.call(at(0), 2, |index, _| index == 3);
    for round in 0..=4 {
        fleet.exchange(at(round * 250));
    }
    let rates = &mut fleet.hosts[0];
    let interval = super::probe_interval(HOSTS);

    let found = rates.is_avoided(at(1_000), &upstream(3));
    let due = at(1_000) + interval;
    let probed = rates.is_avoided(due, &upstream(3));
    rates.record_send(due, &upstream(3), HOSTS);
    let sent = rates.is_avoided(due, &upstream(3));

    assert_eq!((found, probed, sent), (true, false, true));
}
