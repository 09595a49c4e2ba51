use std::collections::HashSet;

use super::Load;
use super::ReportSource;
use super::SharedLoads;
use crate::clock::Time;
use crate::gateway::instance::InstanceId;
use crate::id::DataCentre;
use crate::id::HostId;
use crate::id::UpstreamId;

fn upstream() -> InstanceId {
    InstanceId::from(UpstreamId::new("a"))
}

fn load(requests: u32, tokens: u32, unread_tokens: u32) -> Load {
    Load {
        requests,
        tokens,
        unread_tokens,
    }
}

#[test]
fn a_request_counts_until_its_guard_is_dropped() {
    let shared = SharedLoads::default();
    let first = shared.add_request(&upstream(), 300, 200);
    let second = shared.add_request(&upstream(), 50, 0);
    let both = shared.with(|loads| loads.at(&upstream()));

    drop(first);
    let one = shared.with(|loads| loads.at(&upstream()));
    drop(second);

    assert_eq!(both, load(2, 350, 200));
    assert_eq!(one, load(1, 50, 0));
    assert!(shared.with(|loads| loads.own()).is_empty());
}

#[test]
fn a_prompt_that_was_read_no_longer_counts_as_unread() {
    let shared = SharedLoads::default();
    let mut guard = shared.add_request(&upstream(), 300, 200);

    guard.mark_prompt_read();
    let read = shared.with(|loads| loads.at(&upstream()));
    drop(guard);

    assert_eq!(read, load(1, 300, 0));
    assert_eq!(shared.with(|loads| loads.at(&upstream())), Load::default());
}

#[test]
fn a_grown_request_counts_in_full_and_is_removed_in_full() {
    let shared = SharedLoads::default();
    let mut guard = shared.add_request(&upstream(), 300, 0);

    guard.grow_to(500);
    guard.grow_to(400);
    let grown = shared.with(|loads| loads.at(&upstream()));
    drop(guard);

    assert_eq!(grown, load(1, 500, 0));
    assert_eq!(shared.with(|loads| loads.at(&upstream())), Load::default());
}

#[test]
fn peer_reports_count_until_they_expire() {
    let shared = SharedLoads::default();
    let _own = shared.add_request(&upstream(), 10, 0);
    let report = vec![(upstream().key(), load(2, 90, 5))];
    shared.with(|loads| loads.receive(Time::ZERO, ReportSource::Host(HostId::new("peer")), report));
    let received = shared.with(|loads| loads.at(&upstream()));

    shared.with(|loads| loads.expire(Time::from_ms(4_000)));

    assert_eq!(received, load(3, 100, 5));
    assert_eq!(shared.with(|loads| loads.at(&upstream())), load(1, 10, 0));
}

#[test]
fn a_later_peer_report_replaces_the_earlier_one() {
    let shared = SharedLoads::default();
    let peer = ReportSource::Host(HostId::new("peer"));
    let report = vec![(upstream().key(), load(2, 90, 5))];
    shared.with(|loads| loads.receive(Time::ZERO, peer.clone(), report));

    shared.with(|loads| loads.receive(Time::from_ms(5), peer, Vec::new()));

    assert_eq!(shared.with(|loads| loads.at(&upstream())), Load::default());
}

#[test]
fn reports_of_one_data_centre_replace_each_other() {
    let shared = SharedLoads::default();
    let south = ReportSource::DataCentre(DataCentre::new("south"));
    for report in [load(7, 700, 70), load(8, 800, 80)] {
        let report = vec![(upstream().key(), report)];
        shared.with(|loads| loads.receive(Time::ZERO, south.clone(), report));
    }

    assert_eq!(shared.with(|loads| loads.at(&upstream())), load(8, 800, 80));
}

#[test]
fn a_summary_leaves_out_the_requests_of_its_receiver() {
    let shared = SharedLoads::default();
    let elsewhere = InstanceId::from(UpstreamId::new("b"));
    let _own = shared.add_request(&upstream(), 10, 0);
    let _remote = shared.add_request(&elsewhere, 10, 0);
    let remote_host = |from: &str| ReportSource::RemoteHost {
        host: HostId::new(from),
        data_centre: DataCentre::new(from),
    };
    let near = ReportSource::Host(HostId::new("near"));
    let far = ReportSource::DataCentre(DataCentre::new("south"));
    for source in [near, far, remote_host("south"), remote_host("east")] {
        let report = vec![(upstream().key(), load(2, 90, 5))];
        shared.with(|loads| loads.receive(Time::ZERO, source, report));
    }
    let local = HashSet::from([upstream().key()]);
    let report = |to: &str| {
        shared.with(|loads| loads.summary_for(|key| local.contains(&key), &DataCentre::new(to)))
    };

    // Own requests, those of the host nearby, and those of remote hosts outside the receiver's data centre.
    assert_eq!(report("south"), [(upstream().key(), load(5, 190, 10))]);
    assert_eq!(report("west"), [(upstream().key(), load(7, 280, 15))]);
}

#[test]
fn own_loads_are_grouped_by_data_centre() {
    let shared = SharedLoads::default();
    let elsewhere = InstanceId::from(UpstreamId::new("b"));
    let _local = shared.add_request(&upstream(), 10, 0);
    let _remote = shared.add_request(&elsewhere, 20, 4);
    let data_centre_of = |id: &InstanceId| match id.as_str() {
        "a" => Some(DataCentre::new("north")),
        _ => Some(DataCentre::new("south")),
    };

    let by_data_centre = shared.with(|loads| loads.own_by_data_centre(data_centre_of));

    let south = &by_data_centre[&DataCentre::new("south")];
    assert_eq!(south, &[(elsewhere.key(), load(1, 20, 4))]);
}

// Finding the load of one upstream took a pass over all hosts, so sums are kept as reports come in.
#[test]
fn sums_match_the_latest_report_of_each_peer() {
    let shared = SharedLoads::default();
    let host = |index: u32| ReportSource::Host(HostId::new(format!("host-{index}")));
    let key = upstream().key();
    for index in 0..30 {
        let report = vec![(key, load(index, 10, 0))];
        shared.with(|loads| loads.receive(Time::ZERO, host(index), report));
    }
    for index in 0..10 {
        let report = vec![(key, load(1, 7, 3))];
        shared.with(|loads| loads.receive(Time::from_ms(3_000), host(index), report));
    }
    shared.with(|loads| loads.receive(Time::from_ms(3_000), host(10), Vec::new()));

    let all = shared.with(|loads| loads.at(&upstream()));
    let left = shared.with(|loads| {
        loads.expire(Time::from_ms(4_500));
        loads.at(&upstream())
    });

    assert_eq!(all, load(10 + (11..30).sum::<u32>(), 10 * 7 + 19 * 10, 30));
    assert_eq!(left, load(10, 70, 30));
}

#[test]
fn a_hosts_load_at_one_upstream_is_replaced_and_its_others_stay() {
    let shared = SharedLoads::default();
    let other = InstanceId::from(UpstreamId::new("b"));
    let reported = vec![
        (upstream().key(), load(2, 300, 50)),
        (other.key(), load(1, 70, 0)),
    ];
    let host = HostId::new("host-1");
    let source = ReportSource::Host(host.clone());
    let loads_at = |upstream: &InstanceId| shared.with(|loads| loads.at(upstream));
    let now = Time::from_ms(10);
    shared.with(|loads| loads.receive(now, source, reported));

    shared.with(|loads| loads.receive_one(now, host.clone(), upstream().key(), load(1, 200, 0)));
    let (fallen, kept) = (loads_at(&upstream()), loads_at(&other));
    shared.with(|loads| loads.receive_one(now, host.clone(), upstream().key(), Load::default()));

    assert_eq!((fallen, kept), (load(1, 200, 0), load(1, 70, 0)));
    assert_eq!(loads_at(&upstream()), Load::default());
    let reported = shared.with(|loads| loads.reported_by(&host, other.key()));
    assert_eq!(reported, Some(load(1, 70, 0)));
}

#[test]
fn the_load_of_a_host_without_a_report_counts_until_it_expires() {
    let shared = SharedLoads::default();
    let host = HostId::new("host-1");

    shared.with(|loads| loads.receive_one(Time::ZERO, host, upstream().key(), load(1, 200, 0)));
    let counted = shared.with(|loads| loads.at(&upstream()));
    shared.with(|loads| loads.expire(Time::from_ms(4_000)));

    assert_eq!(counted, load(1, 200, 0));
    assert_eq!(shared.with(|loads| loads.at(&upstream())), Load::default());
}

#[test]
fn each_fall_of_the_own_load_is_told_once_it_is_watched() {
    let shared = SharedLoads::default();
    let mut falls = shared.with(|loads| loads.watch_falls());

    let mut guard = shared.add_request(&upstream(), 300, 200);
    let at_start = falls.try_recv().ok();
    guard.mark_prompt_read();
    let at_prompt = falls.try_recv().ok();
    drop(guard);

    assert_eq!((at_start, at_prompt), (None, Some(upstream())));
    assert_eq!(falls.try_recv().ok(), Some(upstream()));
}
