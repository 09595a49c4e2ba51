//! How soon an accepted edit is in force on every entry host.
//!
//! `cargo bench --bench config_spread` runs the stand-in platform, 8 entry hosts in 3 data
//! centres and the administration API as processes. It makes edits one after another and
//! compares, on the machine's one wall clock, when each was sent, when it was accepted, and when
//! each host recorded that it is in force.

#![allow(missing_docs, reason = "a program of its own")]
#![allow(
    clippy::unwrap_used,
    reason = "a measuring program stops at the first failure"
)]

#[path = "../tests/tester/mod.rs"]
mod tester;

use std::collections::BTreeMap;
use std::fs;
use std::time::Duration;

use tester::Deployment;
use tester::DeploymentOptions;
use tester::Program;
use tester::get_json;
use tester::http_agent;
use tester::wait_until;

use cedargauge::adminapi::EditResult;
use cedargauge::adminapi::TableView;
use cedargauge::clock::wall_ms;
use cedargauge::event::Event;
use cedargauge::event::EventCode;
use cedargauge::id::Offset;
use cedargauge::sheet;
use cedargauge::status::HostStatus;
use cedargauge::table::key_sha256;

const HOSTS: usize = 8;
const EDITS: u32 = 300;
const TOKEN: &str = "editor-token";
const BOUND: Duration = Duration::from_secs(30);

/// When an edit was sent and accepted, in milliseconds since the Unix epoch.
struct Edited {
    offset: Offset,
    sent_ms: u64,
    accepted_ms: u64,
}

fn main() {
    let deployment = Deployment::start(&DeploymentOptions {
        data_centres: 3,
        engines: 3,
        hosts: HOSTS,
        ..DeploymentOptions::default()
    });
    let directory = tempfile::tempdir().unwrap();
    let admin = start_admin(&deployment, directory.path());
    let address = admin.ready_value("address");

    let edits: Vec<Edited> = (0..EDITS).map(|number| edit(address, number)).collect();
    let last = edits.last().unwrap().offset;
    for host in &deployment.hosts {
        assert!(wait_until(BOUND, || next_offset(&host.caller) > last));
    }

    let in_force: Vec<_> = deployment
        .hosts
        .iter()
        .map(|host| times(&host.caller))
        .collect();
    let all_ms = |edit: &Edited| {
        in_force
            .iter()
            .map(|host| host[&edit.offset])
            .max()
            .unwrap()
    };
    let from_sent = edits
        .iter()
        .map(|edit| all_ms(edit).saturating_sub(edit.sent_ms));
    let from_accepted = edits
        .iter()
        .map(|edit| all_ms(edit).saturating_sub(edit.accepted_ms));
    let to_accepted = edits.iter().map(|edit| edit.accepted_ms - edit.sent_ms);
    println!("{EDITS} edits, {HOSTS} hosts, 3 data centres; milliseconds:");
    print_line("sent to accepted", to_accepted.collect());
    print_line("sent to in force on all hosts", from_sent.collect());
    print_line("accepted to in force on all hosts", from_accepted.collect());
}

fn print_line(what: &str, mut values_ms: Vec<u64>) {
    values_ms.sort_unstable();
    let at = |share: f64| values_ms[((values_ms.len() - 1) as f64 * share) as usize];
    println!("{what}: p50 {} p99 {} max {}", at(0.5), at(0.99), at(1.0));
}

fn start_admin(deployment: &Deployment, directory: &std::path::Path) -> Program {
    let path = directory.join("admin.json");
    let settings = serde_json::json!({
        "host": "admin",
        "data_centre": "dc-0",
        "address": "127.0.0.1:0",
        "platform_address": deployment.platform.address,
        "tokens": [{"name": "ed", "role": "editor", "token_sha256": key_sha256(TOKEN)}],
    });
    fs::write(&path, settings.to_string()).unwrap();
    let admin = Program::start(
        "cedargauge-admin",
        ["--settings".as_ref(), path.as_os_str()],
    );
    let url = format!("http://{}/readyz", admin.ready_value("address"));
    let ready = || http_agent().get(&url).call().unwrap().status().is_success();
    assert!(wait_until(BOUND, ready));
    admin
}

fn edit(address: &str, number: u32) -> Edited {
    let authorization = format!("Bearer {TOKEN}");
    let url = format!("http://{address}/v1/table");
    let request = http_agent()
        .get(&url)
        .header("authorization", &authorization);
    let view: TableView = request.call().unwrap().body_mut().read_json().unwrap();
    let row = "class/batch".parse().unwrap();
    let weight = (2 + number % 900).to_string();
    let edit = sheet::set_column(&view, &row, "weight", &weight).unwrap();
    let url = format!("http://{address}/v1/edits");
    let sent_ms = wall_ms();
    let request = http_agent()
        .post(&url)
        .header("authorization", &authorization);
    let mut answer = request.send_json(&edit).unwrap();
    let accepted_ms = wall_ms();
    match answer.body_mut().read_json().unwrap() {
        EditResult::Accepted { offset, .. } => Edited {
            offset,
            sent_ms,
            accepted_ms,
        },
        result => panic!("{result:?}"),
    }
}

/// When each edit came in force on a host.
fn times(caller: &str) -> BTreeMap<Offset, u64> {
    let events: Vec<Event> = get_json(caller, "/events");
    events
        .into_iter()
        .filter(|event| event.code == EventCode::EditApplied)
        // The event tells the offset of the record it concerns.
        .filter_map(|event| Some((event.offset?, event.wall_ms)))
        .collect()
}

fn next_offset(caller: &str) -> Offset {
    let status: HostStatus = get_json(caller, "/status");
    status.config.offset.unwrap_or_default()
}
