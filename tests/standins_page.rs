//! Every fault on the page of the stand-ins is one that the stand-in takes.

use serde::de::DeserializeOwned;

use cedargauge::standin_faults::EngineFault;
use cedargauge::standin_outage::PlatformFault;
use cedargauge::standin_service::ServiceFault;

const PAGE: &str = include_str!("../docs/STANDINS.md");

/// The faults in the section with this heading.
fn faults<F: DeserializeOwned>(heading: &str) -> Vec<F> {
    let marker = format!("\n## {heading}\n");
    let (_, rest) = PAGE.split_once(&marker).expect("the section");
    let section = rest.split("\n## ").next().unwrap_or(rest);
    section
        .lines()
        .filter_map(|line| line.strip_prefix("| `")?.split_once("` |"))
        .map(|(json, _)| serde_json::from_str(json).unwrap_or_else(|e| panic!("{json}: {e}")))
        .collect()
}

#[test]
fn the_page_lists_faults_that_the_stand_ins_take() {
    assert_eq!(faults::<PlatformFault>("Platform").len(), 13);
    assert_eq!(faults::<EngineFault>("Engine").len(), 17);
    assert_eq!(faults::<ServiceFault>("Service").len(), 5);
}
