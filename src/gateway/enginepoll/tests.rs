use super::is_poller;
use crate::gateway::instance::InstanceId;
use crate::id::HostId;
use crate::id::UpstreamId;

fn hosts(count: usize) -> Vec<HostId> {
    (0..count)
        .map(|index| HostId::new(format!("host-{index}")))
        .collect()
}

fn pollers(hosts: &[HostId], engine: &InstanceId) -> usize {
    let others_of = |host: &HostId| -> Vec<HostId> {
        let others = hosts.iter().filter(|other| *other != host);
        others.cloned().collect()
    };
    let pollers = hosts
        .iter()
        .filter(|host| is_poller(host, &others_of(host), engine));
    pollers.count()
}

#[test]
fn each_engine_is_polled_by_one_host() {
    let hosts = hosts(26);

    for index in 0..45 {
        let engine = InstanceId::from(UpstreamId::new(format!("engine-{index}")));
        assert_eq!(pollers(&hosts, &engine), 1);
    }
}

#[test]
fn a_lone_host_polls_all_engines() {
    let host = HostId::new("host-0");

    assert!(is_poller(
        &host,
        &[],
        &InstanceId::from(UpstreamId::new("engine-0"))
    ));
}
