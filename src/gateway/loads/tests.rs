use super::Load;
use super::LoadBoard;
use super::Teller;
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
    let board = LoadBoard::default();
    let first = board.occupy(&upstream(), 300, 200);
    let second = board.occupy(&upstream(), 50, 0);
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
    let board = LoadBoard::default();
    let mut work = board.occupy(&upstream(), 300, 200);

    work.prompt_read();
    let read = board.with(|loads| loads.at(&upstream()));
    drop(work);

    assert_eq!(read, load(1, 300, 0));
    assert_eq!(board.with(|loads| loads.at(&upstream())), Load::default());
}

#[test]
fn peers_count_until_they_are_silent() {
    let board = LoadBoard::default();
    let _own = board.occupy(&upstream(), 10, 0);
    let told = vec![(upstream().key(), load(2, 90, 5))];
    board.with(|loads| loads.hear(Time::ZERO, Teller::Host(HostId::new("peer")), told));
    let heard = board.with(|loads| loads.at(&upstream()));

    board.with(|loads| loads.lapse(Time::from_ms(4_000)));

    assert_eq!(heard, load(3, 100, 5));
    assert_eq!(board.with(|loads| loads.at(&upstream())), load(1, 10, 0));
}

#[test]
fn a_peers_later_word_replaces_its_earlier_one() {
    let board = LoadBoard::default();
    let peer = Teller::Host(HostId::new("peer"));
    let told = vec![(upstream().key(), load(2, 90, 5))];
    board.with(|loads| loads.hear(Time::ZERO, peer.clone(), told));

    board.with(|loads| loads.hear(Time::from_ms(5), peer, Vec::new()));

    assert_eq!(board.with(|loads| loads.at(&upstream())), Load::default());
}

#[test]
fn a_data_centre_is_counted_once_whoever_tells_of_it() {
    let board = LoadBoard::default();
    let south = Teller::DataCentre(DataCentre::new("south"));
    for told in [load(7, 700, 70), load(8, 800, 80)] {
        let told = vec![(upstream().key(), told)];
        board.with(|loads| loads.hear(Time::ZERO, south.clone(), told));
    }

    assert_eq!(board.with(|loads| loads.at(&upstream())), load(8, 800, 80));
}

#[test]
fn a_host_tells_other_data_centres_what_its_own_runs_and_not_what_others_do() {
    let board = LoadBoard::default();
    let _own = board.occupy(&upstream(), 10, 0);
    let near = Teller::Host(HostId::new("near"));
    let far = Teller::DataCentre(DataCentre::new("south"));
    for teller in [near, far] {
        let told = vec![(upstream().key(), load(2, 90, 5))];
        board.with(|loads| loads.hear(Time::ZERO, teller, told));
    }

    let told = board.with(|loads| loads.data_centre());

    assert_eq!(told, [(upstream().key(), load(3, 100, 5))]);
}
