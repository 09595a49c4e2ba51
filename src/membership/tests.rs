use std::collections::BTreeMap;
use std::time::Duration;

use super::Change;
use super::Heard;
use super::Identity;
use super::Membership;
use super::MembershipAction;
use super::MembershipInput;
use super::MembershipOptions;
use crate::clock::Time;
use crate::id::DataCentre;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::Offset;
use crate::platform::HostKind;
use crate::platform::HostList;
use crate::platform::HostState;
use crate::platform::ListedHost;

const STEP_MS: u64 = 100;

/// Several members joined by links that may be cut one way.
struct Net {
    now: Time,
    hosts: BTreeMap<String, Membership>,
    cut: Vec<(String, String)>,
    noted: Vec<(HostId, Change, HostId)>,
}

impl Net {
    fn new(count: usize) -> Self {
        let mut net = Net {
            now: Time::ZERO,
            hosts: BTreeMap::new(),
            cut: Vec::new(),
            noted: Vec::new(),
        };
        for n in 0..count {
            net.start(n, 1);
        }
        net.run(31_000);
        net.noted.clear();
        net
    }

    fn start(&mut self, n: usize, incarnation: u64) {
        let identity = Identity {
            host: host(n),
            incarnation: Incarnation(incarnation),
            data_centre: DataCentre::new("dc-a"),
            address: address(n),
        };
        let mut membership = Membership::new(
            MembershipOptions::default(),
            identity,
            self.now,
            n as u64 + 100 * incarnation,
        );
        membership.step(
            self.now,
            MembershipInput::Known(vec![address(0), address(1)]),
        );
        self.hosts.insert(address(n), membership);
    }

    fn kill(&mut self, n: usize) {
        self.hosts.remove(&address(n));
    }

    fn cut(&mut self, from: usize, to: usize) {
        self.cut.push((address(from), address(to)));
    }

    fn feed(&mut self, at: &str, input: MembershipInput) {
        let mut queue = vec![(at.to_owned(), input)];
        while let Some((at, input)) = queue.pop() {
            let Some(membership) = self.hosts.get_mut(&at) else {
                continue;
            };
            let actions = membership.step(self.now, input);
            let from = membership.identity().clone();
            let (sequence, leaving) = (membership.sequence(), membership.is_leaving());
            for action in actions {
                match action {
                    MembershipAction::Noted { change, host } => {
                        self.noted.push((from.host.clone(), change, host));
                    }
                    MembershipAction::OwnersChanged => {}
                    MembershipAction::Probe { address, rumours } => {
                        let there = !self.cut.contains(&(at.clone(), address.clone()));
                        let back = !self.cut.contains(&(address.clone(), at.clone()));
                        let receiver = self.hosts.get(&address).map(Membership::identity).cloned();
                        if there && receiver.is_some() {
                            let heard = Heard {
                                host: from.host.clone(),
                                incarnation: from.incarnation,
                                address: from.address.clone(),
                                sequence,
                                leaving,
                                config_offset: Offset(0),
                                rumours,
                            };
                            queue.push((address.clone(), MembershipInput::Heard(heard)));
                        }
                        let answer = match receiver {
                            Some(receiver) if there && back => MembershipInput::Answered {
                                address,
                                host: receiver.host,
                                incarnation: receiver.incarnation,
                            },
                            _ => MembershipInput::Unanswered { address },
                        };
                        queue.push((at.clone(), answer));
                    }
                }
            }
        }
    }

    fn run(&mut self, ms: u64) {
        let addresses: Vec<String> = self.hosts.keys().cloned().collect();
        for _ in 0..ms / STEP_MS {
            self.now = self.now + Duration::from_millis(STEP_MS);
            for address in &addresses {
                self.feed(address, MembershipInput::Tick);
            }
        }
    }

    fn owners(&self, n: usize) -> Vec<HostId> {
        self.hosts[&address(n)].owners().to_vec()
    }

    fn saw(&self, change: Change) -> bool {
        self.noted.iter().any(|(_, seen, _)| *seen == change)
    }
}

fn host(n: usize) -> HostId {
    HostId::new(format!("entry-{n:02}"))
}

fn address(n: usize) -> String {
    format!("10.0.0.{n:02}:7000")
}

fn all(count: usize) -> Vec<HostId> {
    (0..count).map(host).collect()
}

fn listed(n: usize, state: HostState) -> HostList {
    HostList {
        hosts: vec![ListedHost {
            address: address(n),
            kind: HostKind::Entry,
            data_centre: DataCentre::new("dc-a"),
            state,
        }],
    }
}

#[test]
fn hosts_find_one_another_from_two_known_addresses() {
    let net = Net::new(20);

    for n in 0..20 {
        assert_eq!(net.owners(n), all(20), "host {n}");
    }
}

#[test]
fn a_killed_host_is_dead_everywhere_within_four_seconds() {
    let mut net = Net::new(8);

    net.kill(7);
    net.run(4_000);

    for n in 0..7 {
        assert_eq!(net.owners(n), all(7), "host {n}");
    }
    assert!(net.saw(Change::Suspected));
    assert!(net.saw(Change::Died));
}

#[test]
fn a_killed_host_among_seventy_is_dead_everywhere_within_eight_seconds() {
    let mut net = Net::new(70);

    net.kill(69);
    net.run(8_000);

    for n in 0..69 {
        assert_eq!(net.owners(n), all(69), "host {n}");
    }
}

#[test]
fn one_link_stalled_one_way_moves_nothing() {
    let mut net = Net::new(5);

    net.cut(1, 2);
    for _ in 0..300 {
        net.run(STEP_MS);
        for n in 0..5 {
            assert_eq!(net.owners(n), all(5), "host {n}");
        }
    }

    assert!(net.saw(Change::Suspected));
    assert!(net.saw(Change::Refuted));
    assert!(!net.saw(Change::Died));
}

#[test]
fn a_restarted_host_is_a_new_incarnation_and_no_longer_leaving() {
    let mut net = Net::new(3);
    net.feed(&address(2), MembershipInput::Leave);
    net.run(1_000);
    assert_eq!(net.owners(0), all(2));

    net.start(2, 2);
    net.run(3_000);

    assert_eq!(net.owners(0), all(3));
}

#[test]
fn leaving_is_sticky_for_the_incarnation() {
    let mut net = Net::new(3);

    net.feed(
        &address(0),
        MembershipInput::Listed(listed(2, HostState::Leaving)),
    );
    net.run(2_000);
    net.feed(
        &address(0),
        MembershipInput::Listed(listed(2, HostState::Live)),
    );
    net.run(2_000);

    for n in 0..2 {
        assert_eq!(net.owners(n), all(2), "host {n}");
    }
}

#[test]
fn a_stale_list_does_not_make_a_new_incarnation_leave() {
    let mut net = Net::new(3);
    let stale = listed(2, HostState::Leaving);
    net.feed(&address(0), MembershipInput::Listed(stale.clone()));
    net.run(1_000);

    net.start(2, 2);
    net.run(2_000);
    net.feed(&address(0), MembershipInput::Listed(stale));
    net.run(1_000);

    assert_eq!(net.owners(0), all(3));
}

#[test]
fn a_host_that_reads_a_stale_list_first_does_not_mark_a_new_incarnation() {
    let mut net = Net::new(3);
    net.start(2, 2);
    net.run(2_000);

    net.feed(
        &address(0),
        MembershipInput::Listed(listed(2, HostState::Leaving)),
    );
    net.run(1_000);

    assert_eq!(net.owners(0), all(3));
}

#[test]
fn a_host_that_hears_from_nobody_is_alone_and_buries_nobody_yet() {
    let mut net = Net::new(4);

    for n in 1..4 {
        net.cut(0, n);
        net.cut(n, 0);
    }
    net.run(6_000);

    assert!(net.hosts[&address(0)].is_alone());
    assert_eq!(net.owners(0), all(4));
    assert_eq!(net.owners(1), vec![host(1), host(2), host(3)]);

    net.cut.clear();
    net.run(4_000);

    assert!(!net.hosts[&address(0)].is_alone());
    assert_eq!(net.owners(0), all(4));
    assert_eq!(net.owners(1), all(4));
}

#[test]
fn of_two_hosts_the_one_left_takes_over() {
    let mut net = Net::new(2);

    net.kill(1);
    net.run(4_000);

    assert_eq!(net.owners(0), vec![host(0)]);
    assert!(!net.hosts[&address(0)].is_alone());
}
