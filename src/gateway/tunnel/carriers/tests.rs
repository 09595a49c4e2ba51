use std::net::SocketAddr;

use super::BACKOFF;
use super::Carrier;
use super::CarrierDistance;
use super::FailedCarriers;
use crate::clock::Time;
use crate::id::DataCentre;
use crate::id::HostId;

fn carrier(name: &str, port: u16, data_centre: &str) -> Carrier {
    Carrier {
        host: HostId::new(name),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        data_centre: DataCentre::new(data_centre),
    }
}

fn order(failed: &FailedCarriers, now: Time, carriers: &[Carrier]) -> Vec<String> {
    let distance = |carrier: &Carrier| match carrier.data_centre.as_str() {
        "here" => CarrierDistance::Local,
        _ => CarrierDistance::Far,
    };
    let ordered = failed.order(now, carriers.to_vec(), distance, || 0);
    let names = ordered.iter();
    names
        .map(|carrier| carrier.host.as_str().to_owned())
        .collect()
}

#[test]
fn near_carriers_go_first() {
    let carriers = [carrier("far", 1, "there"), carrier("near", 2, "here")];

    let order = order(&FailedCarriers::default(), Time::ZERO, &carriers);

    assert_eq!(order, ["near", "far"]);
}

#[test]
fn a_carrier_that_failed_goes_last_for_a_while() {
    let carriers = [carrier("near", 1, "here"), carrier("far", 2, "there")];
    let mut failed = FailedCarriers::default();
    failed.record(Time::ZERO, carriers[0].address);

    let at_once = order(&failed, Time::ZERO, &carriers);
    let later = order(&failed, Time::ZERO + BACKOFF, &carriers);

    assert_eq!(at_once, ["far", "near"]);
    assert_eq!(later, ["near", "far"]);
}
