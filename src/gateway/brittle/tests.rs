use std::time::Duration;

use super::ANNOUNCEMENT_TTL;
use super::AnnouncedRejections;
use super::BUDGET_SHARE;
use super::BrittleUpstreams;
use super::GROWTH_INTERVAL;
use super::PAUSE_MAX;
use super::REJECTION_TTL_MIN;
use super::Share;
use crate::clock::Time;
use crate::gateway::instance::InstanceId;
use crate::gateway::instance::InstanceKey;
use crate::gateway::senders::Sender;
use crate::id::DataCentre;
use crate::id::HostId;
use crate::id::UpstreamId;

fn upstream() -> InstanceId {
    InstanceId::from(UpstreamId::new("brittle"))
}

fn key() -> InstanceKey {
    upstream().key()
}

/// Rejections a second that the upstream bears.
const PER_S: f64 = 16.0;
const SHARE: Share = Share {
    hosts: 4,
    requests: 8,
};

/// The share of each of `count` hosts in an upstream with `slots`.
fn shares(count: usize, slots: u32) -> Vec<Option<Share>> {
    let hosts: Vec<HostId> = (0..count)
        .map(|index| HostId::new(format!("host-{index}")))
        .collect();
    let data_centre = DataCentre::new("here");
    let share = |host: &HostId| {
        let peers: Vec<HostId> = hosts.iter().filter(|peer| *peer != host).cloned().collect();
        let sender = Sender {
            host,
            data_centre: &data_centre,
            peers: &peers,
            uptime: Duration::from_secs(60),
        };
        Share::of(&sender, &upstream(), slots)
    };
    hosts.iter().map(share).collect()
}

#[test]
fn hosts_share_the_slots_of_an_upstream() {
    for (hosts, slots) in [(1, 6), (3, 6), (8, 6), (78, 6), (300, 64)] {
        let requests = shares(hosts, slots).into_iter().flatten();
        let total: u32 = requests.map(|share| share.requests).sum();

        assert!(
            (slots..=slots * 3 / 2 + 1).contains(&total),
            "{hosts}: {total}"
        );
    }
}

#[test]
fn requests_wait_for_answers_beyond_the_window() {
    let mut brittle = BrittleUpstreams::new(0.0);
    for _ in 0..SHARE.requests {
        assert_eq!(
            brittle.wait(Time::ZERO, key(), SHARE, PER_S),
            Some(Duration::ZERO)
        );
        brittle.begin(key());
    }

    let full = brittle.wait(Time::ZERO, key(), SHARE, PER_S);
    brittle.end(key());

    assert_eq!(full, None);
    assert_eq!(
        brittle.wait(Time::ZERO, key(), SHARE, PER_S),
        Some(Duration::ZERO)
    );
}

#[test]
fn a_rejection_pauses_the_host_and_halves_its_window() {
    let mut brittle = BrittleUpstreams::new(0.0);

    let (requests, pause) = brittle.record_rejection(Time::ZERO, key(), SHARE, 8.0 / BUDGET_SHARE);

    assert_eq!((requests, pause), (4, Duration::from_millis(500)));
    assert_eq!(brittle.wait(Time::ZERO, key(), SHARE, PER_S), Some(pause));
}

#[test]
fn rejections_of_requests_sent_together_add_up_to_a_longer_pause() {
    let mut brittle = BrittleUpstreams::new(0.0);
    brittle.record_rejection(Time::ZERO, key(), SHARE, 8.0 / BUDGET_SHARE);
    let (requests, pause) = brittle.record_rejection(Time::ZERO, key(), SHARE, 8.0 / BUDGET_SHARE);

    assert_eq!((requests, pause), (2, Duration::from_secs(1)));

    let (requests, pause) = brittle.record_rejection(Time::ZERO, key(), SHARE, 0.0);
    assert_eq!((requests, pause), (1, PAUSE_MAX));
}

#[test]
fn a_window_grows_back_to_its_share_without_rejections() {
    let mut brittle = BrittleUpstreams::new(0.0);
    brittle.record_rejection(Time::ZERO, key(), SHARE, 8.0 / BUDGET_SHARE);
    for _ in 0..5 {
        brittle.begin(key());
    }

    let early = brittle.wait(Time::ZERO + GROWTH_INTERVAL, key(), SHARE, PER_S);
    let later = brittle.wait(Time::ZERO + GROWTH_INTERVAL * 2, key(), SHARE, PER_S);

    assert_eq!((early, later), (None, Some(Duration::ZERO)));
}

#[test]
fn no_host_sends_while_the_rejections_of_all_have_used_up_the_budget() {
    let mut brittle = BrittleUpstreams::new(0.0);
    let upstream = key();
    let told = |total| [AnnouncedRejections { upstream, total }];
    let other = HostId::new("other");
    let budget = (PER_S * BUDGET_SHARE).ceil() as u32;

    brittle.receive(Time::ZERO, &other, &told(30));
    let below = brittle.wait(Time::ZERO, upstream, SHARE, PER_S);
    brittle.receive(Time::ZERO, &other, &told(30 + budget));
    let used_up = brittle.wait(Time::ZERO, upstream, SHARE, PER_S);
    let later = brittle.wait(Time::ZERO + REJECTION_TTL_MIN, upstream, SHARE, PER_S);

    assert_eq!((below, later), (Some(Duration::ZERO), Some(Duration::ZERO)));
    assert_eq!(used_up, Some(REJECTION_TTL_MIN));
}

#[test]
fn a_rejection_that_is_told_again_counts_once() {
    let mut brittle = BrittleUpstreams::new(0.0);
    let told = [AnnouncedRejections {
        upstream: key(),
        total: 3,
    }];
    for _ in 0..20 {
        brittle.receive(Time::ZERO, &HostId::new("other"), &told);
    }

    assert_eq!(
        brittle.wait(Time::ZERO, key(), SHARE, PER_S),
        Some(Duration::ZERO)
    );
}

#[test]
fn a_host_announces_its_own_rejections_for_a_while() {
    let mut brittle = BrittleUpstreams::new(0.0);
    for _ in 0..2 {
        brittle.record_rejection(Time::ZERO, key(), SHARE, PER_S);
    }

    let announced = brittle.announce(Time::ZERO);

    let expected = AnnouncedRejections {
        upstream: key(),
        total: 2,
    };
    assert_eq!(announced, [expected]);
    assert!(brittle.announce(Time::ZERO + ANNOUNCEMENT_TTL).is_empty());
}

/// Hosts with more callers than their upstream takes, whose room shrinks.
struct Play {
    hosts: usize,
    slots: u32,
    /// Requests that the upstream takes from the fifth second on.
    room: u32,
    /// Time that a request runs.
    run_ms: u64,
    rejections_per_s: f64,
}

impl Play {
    /// Returns the most rejections in any second, and the share of the room that was used in the end.
    fn run(&self) -> (usize, f64) {
        const STEP_MS: u64 = 10;
        let shares = shares(self.hosts, self.slots);
        let names: Vec<HostId> = (0..self.hosts)
            .map(|index| HostId::new(format!("{index}")))
            .collect();
        let mut all: Vec<BrittleUpstreams> = (0..self.hosts)
            .map(|index| BrittleUpstreams::new(index as f64 / self.hosts as f64))
            .collect();
        let mut running: Vec<(u64, usize)> = Vec::new();
        let mut rejected: Vec<u64> = Vec::new();
        let (mut used, mut steps, mut sent) = (0, 0, 0);
        for ms in (0..60_000).step_by(STEP_MS as usize) {
            let now = Time::from_ms(ms);
            let (ended, still): (Vec<_>, Vec<_>) =
                running.into_iter().partition(|(end, _)| *end <= ms);
            running = still;
            for (_, host) in ended {
                all[host].end(key());
            }
            let room = if ms < 5_000 {
                self.slots * 2
            } else {
                self.room
            };
            for host in 0..self.hosts {
                while let Some(share) = shares[host]
                    && all[host].wait(now, key(), share, self.rejections_per_s)
                        == Some(Duration::ZERO)
                {
                    all[host].begin(key());
                    if running.len() < room as usize {
                        // Requests take half to one and a half times as long, also those sent together.
                        sent += 1;
                        let extra_ms = (sent * 101 + host as u64 * 37) % self.run_ms;
                        running.push((ms + self.run_ms / 2 + extra_ms, host));
                        continue;
                    }
                    all[host].end(key());
                    all[host].record_rejection(now, key(), share, self.rejections_per_s);
                    rejected.push(ms);
                }
            }
            // Hosts hear of each other's rejections in the next step.
            let told: Vec<_> = all.iter().map(|host| host.announce(now)).collect();
            for (host, brittle) in all.iter_mut().enumerate() {
                for (other, told) in told.iter().enumerate().filter(|(other, _)| *other != host) {
                    brittle.receive(now, &names[other], told);
                }
                brittle.expire(now);
            }
            if ms > 30_000 {
                used += running.len();
                steps += 1;
            }
        }
        let in_second = |from: &u64| {
            rejected
                .iter()
                .filter(|at| (*from..from + 1_000).contains(at))
                .count()
        };
        let most = rejected.iter().map(in_second).max().unwrap_or(0);
        (
            most,
            f64::from(used as u32) / f64::from(steps) / f64::from(self.room),
        )
    }
}

// Guards against an upstream that falls over: hosts went on sending to it while it turned requests away.
#[test]
fn hosts_together_keep_rejections_rare_and_use_the_room_that_is_left() {
    let calls = [(1, 6, 3), (3, 6, 4), (8, 6, 3), (8, 6, 6)].map(|case| (case, 60));
    let generations = [(8, 64, 12), (24, 64, 20), (78, 64, 30)].map(|case| (case, 4_000));
    for ((hosts, slots, room), run_ms) in calls.into_iter().chain(generations) {
        for rejections_per_s in [8.0, 20.0] {
            let play = Play {
                hosts,
                slots,
                room,
                run_ms,
                rejections_per_s,
            };

            let (most, used) = play.run();

            let case = format!("{hosts} hosts, room {room} of {slots}, {rejections_per_s}/s");
            assert!(most as f64 <= rejections_per_s, "{case}: {most} rejections");
            assert!(used > 0.6, "{case}: {used:.2} of the room used");
        }
    }
}
