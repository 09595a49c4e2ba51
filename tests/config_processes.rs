//! The configuration with real processes: platform, entry hosts, administration API and command
//! line.

#![allow(clippy::unwrap_used, reason = "fixtures of tests")]

mod tester;

use std::fs;
use std::thread;
use std::time::Duration;

use assert_cmd::Command;
use tempfile::TempDir;
use tester::Deployment;
use tester::DeploymentOptions;
use tester::Program;
use tester::get_json;
use tester::http_agent;
use tester::wait_until;

use cedargauge::adminapi::EditRequest;
use cedargauge::adminapi::EditResult;
use cedargauge::adminapi::TableView;
use cedargauge::id::DataCentre;
use cedargauge::id::Offset;
use cedargauge::platform::CONFIG_STREAM;
use cedargauge::record::RowKey;
use cedargauge::sheet;
use cedargauge::standin_outage::Outage;
use cedargauge::standin_outage::PlatformFault;
use cedargauge::status::HostStatus;
use cedargauge::table::key_sha256;

const VIEWER: &str = "vera-token";
const EDITOR: &str = "ed-token";

/// Bound for what should take a second or two on a busy machine.
const SOON: Duration = Duration::from_secs(20);

#[test]
fn of_two_operators_who_race_one_wins_on_every_host() {
    let deployment = deployment();
    let admins = [
        Admin::start(&deployment, "a"),
        Admin::start(&deployment, "b"),
    ];
    let views = admins.each_ref().map(Admin::table);

    let results: Vec<(u16, EditResult)> = thread::scope(|scope| {
        let edits = admins
            .iter()
            .zip(&views)
            .enumerate()
            .map(|(index, (admin, view))| {
                let edit = set(view, "customer/demo", "key", &format!("key-{index}"));
                scope.spawn(move || admin.edit(EDITOR, &edit))
            });
        let running: Vec<_> = edits.collect();
        running
            .into_iter()
            .map(|edit| edit.join().unwrap())
            .collect()
    });

    let statuses: Vec<u16> = results.iter().map(|(status, _)| *status).collect();
    let winner = statuses.iter().position(|status| *status == 200).unwrap();
    let EditResult::Accepted { offset, .. } = results[winner].1 else {
        panic!("{results:?}");
    };
    let EditResult::Rejected { rejection, .. } = &results[1 - winner].1 else {
        panic!("{results:?}");
    };
    assert_eq!(statuses[1 - winner], 409);
    assert_eq!(
        rejection.conflicts[0].row,
        "customer/demo".parse::<RowKey>().unwrap()
    );
    for host in &deployment.hosts {
        assert!(reaches(&host.caller, offset), "{}", host.host);
        assert_ne!(status_with_key(&host.caller, &format!("key-{winner}")), 401);
        assert_eq!(
            status_with_key(&host.caller, &format!("key-{}", 1 - winner)),
            401
        );
    }
}

#[test]
fn an_edit_whose_answer_was_lost_stands_in_the_log_once_and_is_accepted() {
    let deployment = deployment();
    let admin = Admin::start(&deployment, "a");
    let edit = set(&admin.table(), "class/batch", "weight", "2");
    deployment
        .platform
        .fault(&PlatformFault::LoseAppendAnswers {
            count: 1,
            percent: 100,
        });

    let (status, result) = admin.edit(EDITOR, &edit);

    let EditResult::Accepted { edit_id, .. } = result else {
        panic!("{status}: {result:?}");
    };
    let records = deployment.platform.read(CONFIG_STREAM, 0).records;
    let copies = records
        .iter()
        .filter(|record| record.data.contains(&edit_id.to_string()));
    assert_eq!(copies.count(), 1);
}

#[test]
fn an_edit_is_tried_refused_and_repeated_by_its_id() {
    let deployment = deployment();
    let admin = Admin::start(&deployment, "a");
    let view = admin.table();
    let mut edit = set(&view, "class/batch", "weight", "2");
    edit.edit_id = Some(cedargauge::id::EditId::generate());

    let as_viewer = admin.post_edit(VIEWER, &edit).status().as_u16();
    let unknown = admin.post_edit("nobody", &edit).status().as_u16();
    let bad = admin.edit(EDITOR, &set(&view, "class/batch", "weight", "0"));
    let dry = admin.edit(
        EDITOR,
        &EditRequest {
            dry_run: true,
            ..edit.clone()
        },
    );
    let first = admin.edit(EDITOR, &edit);
    let again = admin.edit(EDITOR, &edit);

    assert_eq!((as_viewer, unknown), (403, 401));
    assert_eq!(bad.0, 422);
    assert!(matches!(dry.1, EditResult::WouldApply { .. }));
    assert_eq!(first.0, 200);
    assert_eq!(again, first);
}

#[test]
fn a_new_host_starts_from_its_peers_while_the_platform_is_down() {
    let mut deployment = deployment();
    let admin = Admin::start(&deployment, "a");
    let edit = set(&admin.table(), "customer/demo", "key", "newer");
    let (_, EditResult::Accepted { offset, .. }) = admin.edit(EDITOR, &edit) else {
        panic!("the edit must be accepted");
    };
    assert!(
        deployment
            .hosts
            .iter()
            .all(|host| reaches(&host.caller, offset))
    );
    deployment.platform.fault(&PlatformFault::Down {
        outage: Outage::Reset,
    });

    let index = deployment.add_host(DataCentre::new("dc-0"));

    let caller = &deployment.hosts[index].caller;
    assert!(reaches(caller, offset));
    assert_ne!(status_with_key(caller, "newer"), 401);
}

#[test]
fn a_data_centre_that_was_cut_off_converges_and_never_goes_back() {
    let deployment = deployment();
    let admin = Admin::start(&deployment, "a");
    deployment.platform.fault(&PlatformFault::Partition {
        data_centres: vec![DataCentre::new("dc-2")],
    });

    let mut seen = vec![Offset(0); deployment.hosts.len()];
    let mut last = Offset(0);
    for weight in 2..6 {
        let edit = set(&admin.table(), "class/batch", "weight", &weight.to_string());
        let (_, EditResult::Accepted { offset, .. }) = admin.edit(EDITOR, &edit) else {
            panic!("the edit must be accepted");
        };
        last = offset;
        check_offsets(&deployment, &mut seen);
    }
    deployment.platform.fault(&PlatformFault::Clear);
    let converged = wait_until(SOON, || {
        check_offsets(&deployment, &mut seen);
        seen.iter().all(|next| *next > last)
    });

    assert!(converged, "{seen:?} after {last}");
}

#[test]
fn a_new_host_starts_from_a_snapshot_after_retention_passed_over_all_edits() {
    let mut deployment = Deployment::start(&DeploymentOptions {
        hosts: 2,
        entry_settings: serde_json::json!({
            "config": {"snapshot": {"jitter_ms": 100, "rank_delay_ms": 500}},
        }),
        ..DeploymentOptions::default()
    });
    let admin = Admin::start(&deployment, "a");
    let (_, EditResult::Accepted { offset, .. }) = admin.edit(
        EDITOR,
        &set(&admin.table(), "customer/demo", "key", "newer"),
    ) else {
        panic!("the edit must be accepted");
    };
    assert!(
        deployment
            .hosts
            .iter()
            .all(|host| reaches(&host.caller, offset))
    );
    deployment.platform.append(CONFIG_STREAM, &["not a record"]);

    deployment.platform.fault(&PlatformFault::Retention {
        age_ms: None,
        records: Some(1),
    });
    let has_snapshot = wait_until(SOON, || {
        let records = deployment.platform.read(CONFIG_STREAM, 0).records;
        records
            .iter()
            .any(|record| record.data.contains(r#""type":"snapshot""#))
    });
    let index = deployment.add_host(DataCentre::new("dc-0"));

    assert!(has_snapshot);
    let caller = &deployment.hosts[index].caller;
    assert!(reaches(caller, offset));
    assert_ne!(status_with_key(caller, "newer"), 401);
}

#[test]
fn operators_edit_the_table_from_the_command_line() {
    let deployment = deployment();
    let admin = Admin::start(&deployment, "a");
    let file = admin.directory.path().join("edit.json");

    let printed = admin.table_command(&["get"]);
    let csv = admin.table_command(&["get", "--csv"]);
    let set = admin.table_command(&["set", "class/batch", "weight", "3"]);
    let mut view = admin.table();
    view.rows[0].version = Offset(0);
    let edit = sheet::set_column(&view, &RowKey::of(&view.rows[0].row), "weight", "9").unwrap();
    view.rows[0].row = edit.rows[0].row.clone();
    fs::write(&file, serde_json::to_string(&view).unwrap()).unwrap();
    let stale = admin.table_command(&["edit", file.to_str().unwrap()]);
    let history = admin.table_command(&["history"]);

    assert!(printed.text.contains("class/batch"), "{}", printed.text);
    assert!(csv.text.starts_with("row,version,weight,"), "{}", csv.text);
    assert!(set.text.starts_with("accepted at offset 1"), "{}", set.text);
    assert_eq!(stale.code, 1);
    let conflict = "changed since: made from 0, in force is 1";
    assert!(stale.text.contains(conflict), "{}", stale.text);
    assert_eq!(
        history.text.matches("applied").count(),
        2,
        "{}",
        history.text
    );
}

/// Three hosts in three data centres.
fn deployment() -> Deployment {
    Deployment::start(&DeploymentOptions {
        data_centres: 3,
        engines: 3,
        hosts: 3,
        ..DeploymentOptions::default()
    })
}

/// The administration API as a process.
struct Admin {
    address: String,
    directory: TempDir,
    _program: Program,
}

struct Printed {
    text: String,
    code: i32,
}

impl Admin {
    fn start(deployment: &Deployment, name: &str) -> Self {
        let directory = tempfile::tempdir().unwrap();
        let path = directory.path().join("admin.json");
        let token = |name: &str, role: &str, text: &str| serde_json::json!({"name": name, "role": role, "token_sha256": key_sha256(text)});
        let settings = serde_json::json!({
            "host": name,
            "data_centre": "dc-0",
            "address": "127.0.0.1:0",
            "platform_address": deployment.platform.address,
            "tokens": [token("vera", "viewer", VIEWER), token("ed", "editor", EDITOR)],
        });
        fs::write(&path, settings.to_string()).unwrap();
        let program = Program::start(
            "cedargauge-admin",
            ["--settings".as_ref(), path.as_os_str()],
        );
        let address = program.ready_value("address").to_owned();
        let ready = || {
            let url = format!("http://{address}/readyz");
            http_agent().get(&url).call().unwrap().status().is_success()
        };
        assert!(wait_until(SOON, ready));
        Admin {
            address,
            directory,
            _program: program,
        }
    }

    fn table(&self) -> TableView {
        let url = format!("http://{}/v1/table", self.address);
        let request = http_agent().get(&url);
        let mut answer = request
            .header("authorization", format!("Bearer {VIEWER}"))
            .call()
            .unwrap();
        answer.body_mut().read_json().unwrap()
    }

    fn edit(&self, token: &str, edit: &EditRequest) -> (u16, EditResult) {
        let mut answer = self.post_edit(token, edit);
        (
            answer.status().as_u16(),
            answer.body_mut().read_json().unwrap(),
        )
    }

    fn post_edit(&self, token: &str, edit: &EditRequest) -> ureq::http::Response<ureq::Body> {
        let url = format!("http://{}/v1/edits", self.address);
        let request = http_agent().post(&url);
        request
            .header("authorization", format!("Bearer {token}"))
            .send_json(edit)
            .unwrap()
    }

    fn table_command(&self, arguments: &[&str]) -> Printed {
        let output = Command::cargo_bin("cedargauge")
            .unwrap()
            .env("CEDARGAUGE_ADMIN", &self.address)
            .env("CEDARGAUGE_ADMIN_TOKEN", EDITOR)
            .arg("table")
            .args(arguments)
            .output()
            .unwrap();
        Printed {
            text: String::from_utf8(output.stdout).unwrap(),
            code: output.status.code().unwrap(),
        }
    }
}

fn set(view: &TableView, row: &str, column: &str, value: &str) -> EditRequest {
    sheet::set_column(view, &row.parse().unwrap(), column, value).unwrap()
}

/// Whether a host comes to have the record at `offset` in force.
fn reaches(caller: &str, offset: Offset) -> bool {
    wait_until(SOON, || next_offset(caller) > offset)
}

fn next_offset(caller: &str) -> Offset {
    let status: HostStatus = get_json(caller, "/status");
    status.config.offset.unwrap_or_default()
}

/// Reads every host's offset and holds it against the one read before.
fn check_offsets(deployment: &Deployment, seen: &mut [Offset]) {
    for (host, seen) in deployment.hosts.iter().zip(seen) {
        let next = next_offset(&host.caller);
        assert!(
            next >= *seen,
            "{} went back from {seen} to {next}",
            host.host
        );
        *seen = next;
    }
}

/// The status of a request with a customer's key for a service that isn't there.
fn status_with_key(caller: &str, key: &str) -> u16 {
    let url = format!("http://{caller}/v1/completions");
    let request = http_agent().post(&url);
    let body = tester::completion_request("no-such-service", "x", false);
    let answer = request
        .header("authorization", format!("Bearer {key}"))
        .send_json(body);
    answer.unwrap().status().as_u16()
}
