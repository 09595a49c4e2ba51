use super::is_asker;
use crate::gateway::instance::InstanceId;
use crate::id::HostId;
use crate::id::UpstreamId;

fn hosts(count: usize) -> Vec<HostId> {
    (0..count)
        .map(|index| HostId::new(format!("host-{index}")))
        .collect()
}

fn askers(hosts: &[HostId], engine: &InstanceId) -> usize {
    let others_of = |host: &HostId| -> Vec<HostId> {
        let others = hosts.iter().filter(|other| *other != host);
        others.cloned().collect()
    };
    let askers = hosts
        .iter()
        .filter(|host| is_asker(host, &others_of(host), engine));
    askers.count()
}

#[test]
fn each_engine_is_asked_by_one_host() {
    let hosts = hosts(26);

    for index in 0..45 {
        let engine = InstanceId::from(UpstreamId::new(format!("engine-{index}")));
        assert_eq!(askers(&hosts, &engine), 1);
    }
}

#[test]
fn a_host_alone_asks_all() {
    let host = HostId::new("host-0");

    assert!(is_asker(
        &host,
        &[],
        &InstanceId::from(UpstreamId::new("engine-0"))
    ));
}
