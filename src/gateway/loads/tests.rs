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
fn work_counts_until_its_guard_is_dropped() {
    let board = SharedLoads::default();
    let first = board.add_request(&upstream(), 300, 200);
    let second = board.add_request(&upstream(), 50, 0);
    let both = board.with(|loads| loads.at(&upstream()));

    drop(first);
    let one = board.with(|loads| loads.at(&upstream()));
    drop(second);

    assert_eq!(both, load(2, 350, 200));
    assert_eq!(one, load(1, 50, 0));
    assert!(board.with(|loads| loads.own()).is_empty());
}

#[test]
fn a_prompt_that_was_read_is_waited_for_no_more() {
    let board = SharedLoads::default();
    let mut work = board.add_request(&upstream(), 300, 200);

    work.mark_prompt_read();
    let read = board.with(|loads| loads.at(&upstream()));
    drop(work);

    assert_eq!(read, load(1, 300, 0));
    assert_eq!(board.with(|loads| loads.at(&upstream())), Load::default());
}

#[test]
fn work_that_grows_counts_as_what_it_has_grown_to_and_ends_whole() {
    let board = SharedLoads::default();
    let mut work = board.add_request(&upstream(), 300, 0);

    work.grow_to(500);
    work.grow_to(400);
    let grown = board.with(|loads| loads.at(&upstream()));
    drop(work);

    assert_eq!(grown, load(1, 500, 0));
    assert_eq!(board.with(|loads| loads.at(&upstream())), Load::default());
}

#[test]
fn peers_count_until_they_are_silent() {
    let board = SharedLoads::default();
    let _own = board.add_request(&upstream(), 10, 0);
    let told = vec![(upstream().key(), load(2, 90, 5))];
    board.with(|loads| loads.receive(Time::ZERO, ReportSource::Host(HostId::new("peer")), told));
    let heard = board.with(|loads| loads.at(&upstream()));

    board.with(|loads| loads.expire(Time::from_ms(4_000)));

    assert_eq!(heard, load(3, 100, 5));
    assert_eq!(board.with(|loads| loads.at(&upstream())), load(1, 10, 0));
}

#[test]
fn a_peers_later_word_replaces_its_earlier_one() {
    let board = SharedLoads::default();
    let peer = ReportSource::Host(HostId::new("peer"));
    let told = vec![(upstream().key(), load(2, 90, 5))];
    board.with(|loads| loads.receive(Time::ZERO, peer.clone(), told));

    board.with(|loads| loads.receive(Time::from_ms(5), peer, Vec::new()));

    assert_eq!(board.with(|loads| loads.at(&upstream())), Load::default());
}

#[test]
fn a_data_centre_is_counted_once_whoever_tells_of_it() {
    let board = SharedLoads::default();
    let south = ReportSource::DataCentre(DataCentre::new("south"));
    for told in [load(7, 700, 70), load(8, 800, 80)] {
        let told = vec![(upstream().key(), told)];
        board.with(|loads| loads.receive(Time::ZERO, south.clone(), told));
    }

    assert_eq!(board.with(|loads| loads.at(&upstream())), load(8, 800, 80));
}

#[test]
fn a_data_centre_tells_all_that_its_upstreams_run_but_what_the_listener_knows_itself() {
    let board = SharedLoads::default();
    let elsewhere = InstanceId::from(UpstreamId::new("b"));
    let _own = board.add_request(&upstream(), 10, 0);
    let _visit = board.add_request(&elsewhere, 10, 0);
    let visitor = |from: &str| ReportSource::RemoteHost {
        host: HostId::new(from),
        data_centre: DataCentre::new(from),
    };
    let near = ReportSource::Host(HostId::new("near"));
    let far = ReportSource::DataCentre(DataCentre::new("south"));
    for teller in [near, far, visitor("south"), visitor("east")] {
        let told = vec![(upstream().key(), load(2, 90, 5))];
        board.with(|loads| loads.receive(Time::ZERO, teller, told));
    }
    let home = HashSet::from([upstream().key()]);
    let told = |to: &str| {
        board.with(|loads| loads.summary_for(|key| home.contains(&key), &DataCentre::new(to)))
    };

    // Its own, a neighbour's, and those of the visitors from elsewhere.
    assert_eq!(told("south"), [(upstream().key(), load(5, 190, 10))]);
    assert_eq!(told("west"), [(upstream().key(), load(7, 280, 15))]);
}

#[test]
fn what_a_host_runs_elsewhere_is_told_there() {
    let board = SharedLoads::default();
    let elsewhere = InstanceId::from(UpstreamId::new("b"));
    let _home = board.add_request(&upstream(), 10, 0);
    let _visit = board.add_request(&elsewhere, 20, 4);
    let place = |id: &InstanceId| match id.as_str() {
        "a" => Some(DataCentre::new("north")),
        _ => Some(DataCentre::new("south")),
    };

    let by_place = board.with(|loads| loads.own_by_data_centre(place));

    let south = &by_place[&DataCentre::new("south")];
    assert_eq!(south, &[(elsewhere.key(), load(1, 20, 4))]);
}

// A look at one upstream walked all hosts.
#[test]
fn sums_kept_as_peers_tell_are_those_of_what_they_told_last() {
    let board = SharedLoads::default();
    let host = |index: u32| ReportSource::Host(HostId::new(format!("host-{index}")));
    let key = upstream().key();
    for index in 0..30 {
        let told = vec![(key, load(index, 10, 0))];
        board.with(|loads| loads.receive(Time::ZERO, host(index), told));
    }
    for index in 0..10 {
        let told = vec![(key, load(1, 7, 3))];
        board.with(|loads| loads.receive(Time::from_ms(3_000), host(index), told));
    }
    board.with(|loads| loads.receive(Time::from_ms(3_000), host(10), Vec::new()));

    let all = board.with(|loads| loads.at(&upstream()));
    let left = board.with(|loads| {
        loads.expire(Time::from_ms(4_500));
        loads.at(&upstream())
    });

    assert_eq!(all, load(10 + (11..30).sum::<u32>(), 10 * 7 + 19 * 10, 30));
    assert_eq!(left, load(10, 70, 30));
}
