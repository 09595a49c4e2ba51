use std::time::Duration;

use super::Route;
use super::RouteKind;
use super::RouteTable;
use super::Target;
use crate::id::ServiceId;

fn route(name: &str, host: &str, path_prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: path_prefix.to_owned(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(300),
        priority: 0,
        targets: vec![target("nets", 3), target("rakes", 1)],
        attempts: 1,
        public: false,
        regions: None,
    }
}

fn target(service: &str, weight: u32) -> Target {
    Target {
        service: ServiceId::new(service),
        weight,
    }
}

fn table() -> RouteTable {
    RouteTable::new(vec![
        route("all", "a.example", "/"),
        route("nets", "a.example", "/nets/"),
        route("urgent", "a.example", "/nets/urgent/"),
        route("other", "b.example", "/nets/"),
    ])
}

fn find_name(host: &str, path: &str) -> Option<String> {
    table().find(host, path).map(|route| route.name.clone())
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    assert_eq!(
        find_name("a.example", "/nets/urgent/7"),
        Some("urgent".into())
    );
    assert_eq!(find_name("a.example", "/nets/7"), Some("nets".into()));
    assert_eq!(find_name("a.example", "/nets"), Some("all".into()));
    assert_eq!(find_name("b.example", "/nets/7"), Some("other".into()));
}

#[test]
fn the_host_is_compared_without_port_and_case() {
    assert_eq!(find_name("A.Example:8080", "/nets/7"), Some("nets".into()));
}

#[test]
fn an_unknown_path_or_host_has_no_route() {
    assert_eq!(find_name("b.example", "/rakes/7"), None);
    assert_eq!(find_name("c.example", "/nets/7"), None);
}

#[test]
fn targets_share_draws_by_weight() {
    let route = route("nets", "a.example", "/");
    let nets = (0..400)
        .filter(|draw| {
            route
                .choose_service(*draw)
                .is_some_and(|s| s.as_str() == "nets")
        })
        .count();

    assert_eq!(nets, 300);
}

#[test]
fn a_route_without_targets_has_no_service() {
    let mut route = route("nets", "a.example", "/");
    route.targets.clear();

    assert_eq!(route.choose_service(7), None);
}
