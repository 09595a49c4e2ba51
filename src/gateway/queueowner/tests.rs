use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use super::Announcement;
use super::Contact;
use super::Contacts;
use super::Grants;
use super::OpenAnnouncer;
use super::OwnerBeliefs;
use super::QueueOwner;
use super::choose_owner;
use crate::clock::Time;
use crate::gateway::instance::InstanceId;
use crate::gateway::sharedqueue::WaiterId;
use crate::id::HostId;
use crate::id::ServiceId;
use crate::id::UpstreamId;

fn host(number: u16) -> HostId {
    HostId::new(format!("host-{number}"))
}

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9_000 + number))
}

fn hosts(numbers: impl IntoIterator<Item = u16>) -> Vec<(HostId, SocketAddr)> {
    let hosts = numbers.into_iter();
    hosts
        .map(|number| (host(number), address(number)))
        .collect()
}

fn service(number: u16) -> ServiceId {
    ServiceId::new(format!("service-{number}"))
}

fn owner(number: u16) -> QueueOwner {
    QueueOwner {
        host: host(number),
        address: Some(address(number)),
    }
}

fn at(ms: u64) -> Time {
    Time::from_ms(10_000 + ms)
}

fn id(number: u64) -> WaiterId {
    WaiterId {
        host: host(1),
        number,
    }
}

fn engine() -> InstanceId {
    InstanceId::from(UpstreamId::new("engine"))
}

fn contact(ms: u64, renewal: u32) -> Contact {
    Contact {
        address: Some(address(1)),
        renewal,
        received_at: at(ms),
        prompt_tokens: 100,
    }
}

#[test]
fn all_hosts_choose_the_same_owner() {
    for number in 0..20 {
        let service = service(number);
        let by_each = (0..5).map(|own| {
            let others = hosts((0..5).filter(|other| *other != own));
            choose_owner(&service, Some(&host(own)), others)
                .unwrap()
                .host
        });
        let by_each: Vec<HostId> = by_each.collect();

        assert!(by_each.iter().all(|chosen| *chosen == by_each[0]));
    }
}

#[test]
fn services_are_spread_over_hosts() {
    let mut owned: BTreeMap<HostId, usize> = BTreeMap::new();
    for number in 0..100 {
        let chosen = choose_owner(&service(number), None, hosts(0..5)).unwrap();
        *owned.entry(chosen.host).or_default() += 1;
    }

    assert!(
        owned.len() == 5 && owned.values().all(|count| *count >= 8),
        "{owned:?}"
    );
}

#[test]
fn a_lost_owner_changes_only_the_services_that_it_owned() {
    for number in 0..50 {
        let service = service(number);
        let before = choose_owner(&service, None, hosts(0..5)).unwrap();
        let after = choose_owner(&service, None, hosts(0..4)).unwrap();

        assert!(before == after || before.host == host(4));
    }
}

#[test]
fn this_host_owns_a_queue_by_no_address_and_none_owns_it_without_hosts() {
    let alone = choose_owner(&service(1), Some(&host(1)), Vec::new()).unwrap();

    assert_eq!((alone.host, alone.address), (host(1), None));
    assert_eq!(choose_owner(&service(1), None, Vec::new()), None);
}

#[test]
fn an_open_queue_is_believed_until_it_closes_or_its_owner_falls_silent() {
    let mut beliefs = OwnerBeliefs::default();
    beliefs.receive_open(at(0), &service(1), &owner(1));

    assert!(beliefs.is_open(at(299), &service(1)));
    assert!(!beliefs.is_open(at(299), &service(2)));
    assert!(beliefs.is_any_open(at(299)) && !beliefs.is_any_open(at(300)));
    assert!(!beliefs.is_open(at(300), &service(1)));

    beliefs.receive_open(at(300), &service(1), &owner(1));
    beliefs.receive_closed(&service(1), &host(1));
    assert!(!beliefs.is_open(at(301), &service(1)));
}

// Two hosts may own one queue for seconds while they don't hear each other.
#[test]
fn the_end_of_one_owners_queue_does_not_close_that_of_another() {
    let mut beliefs = OwnerBeliefs::default();
    beliefs.receive_open(at(0), &service(1), &owner(1));
    beliefs.receive_open(at(0), &service(1), &owner(2));
    let both = beliefs.open_addresses(at(1), &service(1));

    beliefs.receive_closed(&service(1), &host(1));

    assert_eq!(both, [address(1), address(2)]);
    assert_eq!(beliefs.open_addresses(at(1), &service(1)), [address(2)]);
    assert!(beliefs.is_opened_by(at(1), &host(2)) && !beliefs.is_opened_by(at(1), &host(1)));
}

#[test]
fn silence_is_a_change_once_until_the_owner_answers() {
    let mut beliefs = OwnerBeliefs::default();

    assert!(beliefs.mark_silent(at(0), &host(1)));
    assert!(!beliefs.mark_silent(at(900), &host(1)));
    assert!(beliefs.is_silent(at(1_899), &host(1)));
    assert!(!beliefs.is_silent(at(1_900), &host(1)));
    assert!(!beliefs.mark_silent(at(2_000), &host(1)));
    assert!(beliefs.mark_answering(&host(1)));
    assert!(!beliefs.mark_answering(&host(1)));
    assert!(!beliefs.is_silent(at(2_001), &host(1)));
}

#[test]
fn a_host_that_declined_is_passed_over_for_a_while() {
    let mut beliefs = OwnerBeliefs::default();
    beliefs.mark_declined(at(0), &host(1));

    assert!(beliefs.has_declined(at(299), &host(1)));
    assert!(!beliefs.has_declined(at(300), &host(1)));
    assert!(!beliefs.has_declined(at(0), &host(2)));
}

#[test]
fn a_generation_that_is_not_renewed_is_forgotten() {
    let mut contacts = Contacts::default();
    assert!(contacts.renew(id(1), contact(0, 0)));
    assert!(contacts.renew(id(2), contact(0, 0)));
    assert!(!contacts.renew(id(2), contact(100, 1)));

    assert!(contacts.expire(at(349)).is_empty());
    assert_eq!(contacts.expire(at(350)), [id(1)]);
    assert!(contacts.get(&id(1)).is_none() && contacts.get(&id(2)).is_some());
}

// Numbers start at random, so a host that restarts under its name doesn't take the place of what it left behind.
#[test]
fn a_restarted_hosts_generations_are_others_than_before() {
    let mut contacts = Contacts::default();
    contacts.renew(id(7_000), contact(0, 4));

    let is_new = contacts.renew(id(123_456), contact(100, 0));

    assert!(is_new);
    assert_eq!(contacts.expire(at(350)), [id(7_000)]);
}

#[test]
fn a_grant_counts_until_its_host_reports_one_request_more() {
    let mut grants = Grants::default();
    let (first, second) = (Rc::new(()), Rc::new(()));
    grants.add(at(0), id(1), engine(), 2, first.clone());
    grants.add(at(5), id(2), engine(), 2, second.clone());

    grants.settle(at(10), |_, _| 2);
    assert_eq!(
        (Rc::strong_count(&first), Rc::strong_count(&second)),
        (2, 2)
    );

    grants.settle(at(20), |_, _| 3);
    assert_eq!(
        (Rc::strong_count(&first), Rc::strong_count(&second)),
        (1, 2)
    );
}

#[test]
fn one_report_accounts_for_as_many_grants_as_it_shows_requests() {
    let mut grants = Grants::default();
    for number in 0..3 {
        grants.add(at(0), id(number), engine(), 2, ());
    }

    grants.settle(at(20), |_, _| 4);

    assert_eq!(grants.engine_of(&id(1)), None);
    assert_eq!(grants.engine_of(&id(2)), Some(&engine()));
}

// Without it a grant counted as started only once the host ran more than before the grant, although one had ended.
#[test]
fn a_request_that_ends_meanwhile_does_not_hide_the_start_of_another() {
    let mut grants = Grants::default();
    grants.add(at(0), id(1), engine(), 2, ());

    grants.settle(at(10), |_, _| 1);
    grants.settle(at(20), |_, _| 2);

    assert!(grants.is_empty());
}

#[test]
fn a_grant_without_a_sign_of_its_generation_lapses() {
    let mut grants = Grants::default();
    grants.add(at(0), id(1), engine(), 0, ());

    grants.settle(at(749), |_, _| 0);
    assert!(!grants.is_empty());
    grants.settle(at(750), |_, _| 0);
    assert!(grants.is_empty());
}

#[test]
fn a_start_at_the_owners_own_host_counts_twice_for_milliseconds_only() {
    let mut grants = Grants::default();
    grants.add(at(0), id(1), engine(), 0, ());

    grants.start_own(at(10), &id(1));

    grants.settle(at(14), |_, _| 0);
    assert!(!grants.is_empty());
    grants.settle(at(15), |_, _| 0);
    assert!(grants.is_empty());
}

#[test]
fn a_lost_grant_is_repeated_for_the_rest_of_its_validity() {
    let mut grants = Grants::default();
    grants.add(at(40), id(1), engine(), 0, ());

    let first = grants.message(at(40), &id(1), &contact(0, 3)).unwrap();
    let again = grants.message(at(120), &id(1), &contact(110, 4)).unwrap();

    assert_eq!(
        (first.renewal, first.after_ms, first.valid_for_ms),
        (3, 40, 250)
    );
    assert_eq!(
        (again.renewal, again.after_ms, again.valid_for_ms),
        (4, 10, 170)
    );
    assert_eq!(grants.message(at(290), &id(1), &contact(280, 5)), None);
}

#[test]
fn an_open_queue_is_announced_at_an_interval_and_once_when_it_closes() {
    let mut announcer = OpenAnnouncer::default();
    let open = |is_logged| Some(Announcement::Open { is_logged });
    let closed = |is_logged| Some(Announcement::Closed { is_logged });

    assert_eq!(announcer.next(at(0), false), None);
    assert_eq!(announcer.next(at(0), true), open(true));
    assert_eq!(announcer.next(at(99), true), None);
    assert_eq!(announcer.next(at(100), true), open(false));
    assert_eq!(announcer.next(at(150), false), closed(true));
    assert_eq!(announcer.next(at(160), false), None);
}

#[test]
fn a_queue_that_opens_and_closes_at_once_is_announced_and_logged_at_a_bounded_rate() {
    let mut announcer = OpenAnnouncer::default();
    let mut announcements = Vec::new();
    for ms in (0..1_000).step_by(10) {
        announcements.extend(announcer.next(at(ms), true));
        announcements.extend(announcer.next(at(ms + 5), false));
    }

    let is_logged = |announcement: &&Announcement| match announcement {
        Announcement::Open { is_logged } | Announcement::Closed { is_logged } => *is_logged,
    };
    assert_eq!(announcements.len(), 20);
    assert_eq!(announcements.iter().filter(is_logged).count(), 2);
}
