//! `cedargauge` from outside, against a small HTTP server in the place of an entry host.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::thread;

use actix_web::App;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::web;
use assert_cmd::Command;
use serde_json::Value;

use cedargauge::board::StatusBoard;
use cedargauge::event::Event;
use cedargauge::event::EventCode;
use cedargauge::id::Incarnation;
use cedargauge::id::Offset;
use cedargauge::id::RequestId;
use cedargauge::inspect;
use cedargauge::inspect::Inspection;
use cedargauge::status::ConfigStatus;
use cedargauge::status::LimitName;
use cedargauge::status::LimitStatus;
use cedargauge::status::UpstreamState;
use cedargauge::status::UpstreamStatus;
use cedargauge::table::key_sha256;
use cedargauge::telemetry::Telemetry;

const REQUEST: RequestId = RequestId::from_u128(0x0193_0000_0000_7000_8000_0000_0000_0007);
const TOKEN: &str = "night-shift";

/// A server that answers as an entry host does to operators.
struct Host {
    address: SocketAddr,
    is_draining: Arc<AtomicBool>,
}

fn start(name: &'static str, not_ready: Option<&'static str>, events: Vec<Event>) -> Host {
    let is_draining = Arc::new(AtomicBool::new(false));
    let drained = is_draining.clone();
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        let run = async move {
            let server = HttpServer::new(move || {
                let events = events.clone();
                let drained = drained.clone();
                let inspection = Inspection {
                    board: board(name, not_ready),
                    telemetry: Telemetry::install(),
                    operator_token_sha256: Some(key_sha256(TOKEN)),
                    drain: Rc::new(move || drained.store(true, Ordering::SeqCst)),
                };
                App::new()
                    .configure(|config| inspect::routes(config, inspection))
                    .route(
                        "/events",
                        web::get().to(move || {
                            let answer = HttpResponse::Ok().json(&events);
                            async move { answer }
                        }),
                    )
            });
            let server = server.workers(1).bind("127.0.0.1:0").expect("a free port");
            sender.send(server.addrs()[0]).expect("the test waits");
            server.run().await.expect("the server runs");
        };
        actix_web::rt::System::new().block_on(run);
    });
    Host {
        address: receiver.recv().expect("the server starts"),
        is_draining,
    }
}

fn board(name: &str, not_ready: Option<&'static str>) -> StatusBoard {
    let board = StatusBoard::new(name.into(), "a".into(), Incarnation(1));
    board.add(move |status| {
        status.not_ready = not_ready.map(str::to_owned).into_iter().collect();
        status.config = ConfigStatus {
            offset: Some(Offset(17)),
            age_ms: Some(40),
        };
        status.upstreams = vec![UpstreamStatus {
            upstream: "127.0.0.1:9001".into(),
            service: "inspection".into(),
            owner: Some(status.host.clone()),
            state: UpstreamState::Ready,
            running: 3,
            waiting: 1,
            memory_percent: 51.5,
            preemptions_total: 2,
            report_age_ms: Some(120),
        }];
        status.limits = vec![LimitStatus {
            customer: "canton".into(),
            limit: LimitName::TokensPerS,
            share: 100.0,
            used: 95.0,
        }];
    });
    board
}

fn event(host: &str, sequence: u64, wall_ms: u64, code: EventCode, detail: &str) -> Event {
    Event {
        code,
        host: host.into(),
        incarnation: Incarnation(1),
        sequence,
        monotonic_us: 0,
        wall_ms,
        request: Some(REQUEST),
        attempt: None,
        upstream: None,
        offset: None,
        detail: detail.to_owned(),
    }
}

fn cedargauge(arguments: &[&str]) -> Command {
    let mut command = Command::cargo_bin("cedargauge").expect("the program is built");
    command.args(arguments).env_remove("CEDARGAUGE_ENTRY");
    command
}

fn stdout(command: &mut Command, exit_code: i32) -> String {
    let assert = command.assert().code(exit_code);
    String::from_utf8(assert.get_output().stdout.clone()).expect("UTF-8")
}

/// An address where nothing listens.
fn dead_address() -> String {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    address.to_string()
}

#[test]
fn status_prints_plain_aligned_tables_into_a_pipe() {
    let host = start("entry-a", None, Vec::new());
    let address = host.address.to_string();

    let text = stdout(&mut cedargauge(&["status", "--entry", &address]), 0);

    assert!(!text.contains('\u{1b}'), "{text}");
    let lines: Vec<&str> = text.lines().collect();
    let column = lines[0].find("CONFIG").unwrap();
    assert!(lines[1].starts_with("entry-a"), "{text}");
    assert!(lines[1][column..].starts_with("17"), "{text}");
    assert!(text.contains("canton"), "{text}");
}

#[test]
fn status_ends_with_1_if_a_host_is_not_ready_or_silent() {
    let waiting = start("entry-b", Some("no configuration yet"), Vec::new());
    let address = waiting.address.to_string();
    let well = start("entry-a", None, Vec::new()).address.to_string();
    let dead = dead_address();

    let text = stdout(&mut cedargauge(&["status", "--entry", &address]), 1);
    cedargauge(&["status", "--entry", &well, "--entry", &dead])
        .assert()
        .code(1);

    assert!(text.contains("not ready: no configuration yet"), "{text}");
}

#[test]
fn status_as_json_is_the_hosts_own_answer() {
    let host = start("entry-a", None, Vec::new());
    let variable = host.address.to_string();

    let text = stdout(
        cedargauge(&["status", "--json"]).env("CEDARGAUGE_ENTRY", variable),
        0,
    );

    let answers: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(answers[0]["answer"]["config"]["offset"], 17);
}

#[test]
fn upstreams_are_told_once_with_owner_load_and_state() {
    let a = start("entry-a", None, Vec::new()).address.to_string();
    let b = start("entry-b", None, Vec::new()).address.to_string();

    let text = stdout(
        &mut cedargauge(&["upstreams", "--entry", &a, "--entry", &b]),
        0,
    );

    let told: Vec<&str> = text.lines().filter(|line| line.contains(":9001")).collect();
    assert_eq!(told.len(), 1, "{text}");
    assert!(told[0].contains("ready"), "{text}");
}

#[test]
fn explain_tells_a_request_over_two_hosts_in_order() {
    let a = vec![
        event(
            "entry-a",
            0,
            1_000,
            EventCode::RequestReceived,
            "prompt_tokens=7",
        ),
        event(
            "entry-a",
            1,
            1_050,
            EventCode::RequestComplete,
            "output_tokens=3",
        ),
    ];
    let b = vec![event(
        "entry-b",
        0,
        1_020,
        EventCode::RequestGranted,
        "headroom=900",
    )];
    let a = start("entry-a", None, a).address.to_string();
    let b = start("entry-b", None, b).address.to_string();
    let id = REQUEST.to_string();

    let text = stdout(
        &mut cedargauge(&["explain", &id, "--entry", &a, "--entry", &b]),
        0,
    );

    let places: Vec<usize> = ["prompt_tokens=7", "headroom=900", "output_tokens=3"]
        .iter()
        .map(|detail| text.find(detail).unwrap())
        .collect();
    assert!(places.is_sorted(), "{text}");
    assert!(text.contains("+20"), "{text}");
}

#[test]
fn explain_takes_the_id_as_an_answer_gives_it() {
    let received = event("entry-a", 0, 1_000, EventCode::RequestReceived, "");
    let host = start("entry-a", None, vec![received]).address.to_string();
    let id = format!("cmpl-{}", REQUEST.0.simple());

    cedargauge(&["explain", &id, "--entry", &host])
        .assert()
        .code(0);
}

#[test]
fn explain_of_an_unknown_request_ends_with_1() {
    let host = start("entry-a", None, Vec::new()).address.to_string();

    cedargauge(&["explain", &REQUEST.to_string(), "--entry", &host])
        .assert()
        .code(1);
}

#[test]
fn drain_needs_the_token_and_the_name() {
    let host = start("entry-a", None, Vec::new());
    let address = host.address.to_string();
    let arguments = ["drain", "entry-a", "--entry", &address];

    cedargauge(&arguments)
        .env("CEDARGAUGE_TOKEN", "guess")
        .assert()
        .code(3);
    cedargauge(&["drain", "entry-x", "--entry", &address])
        .env("CEDARGAUGE_TOKEN", TOKEN)
        .assert()
        .code(3);
    assert!(!host.is_draining.load(Ordering::SeqCst));
    cedargauge(&arguments)
        .env("CEDARGAUGE_TOKEN", TOKEN)
        .assert()
        .code(0);

    assert!(host.is_draining.load(Ordering::SeqCst));
}

#[test]
fn check_tells_all_faults_at_once() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("entry.json");
    let settings = r#"{"host": "a", "caller_address": "nowhere", "peer_address": 5, "colour": 1}"#;
    fs::write(&path, settings).unwrap();

    let text = stdout(&mut cedargauge(&["check", path.to_str().unwrap()]), 1);

    for fault in [
        "caller_address: \"nowhere\"",
        "peer_address: 5",
        "colour: 1",
        "data_centre: missing",
        "platform_address: missing",
    ] {
        assert!(text.contains(fault), "{fault} not in {text}");
    }
    assert!(text.contains("5 faults"), "{text}");
}

#[test]
fn check_names_numbers_out_of_range() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("entry.json");
    let settings = r#"{"host": "a", "data_centre": "a", "caller_address": "127.0.0.1:1",
        "peer_address": "127.0.0.1:2", "platform_address": "127.0.0.1:3",
        "limits": {"burst_ms": 0, "lending": {"valid_ms": 86400001}}}"#;
    fs::write(&path, settings).unwrap();

    let text = stdout(&mut cedargauge(&["check", path.to_str().unwrap()]), 1);

    for fault in [
        "limits.burst_ms: 0; allowed: 1 to 86400000",
        "limits.lending.valid_ms: 86400001; allowed: 1 to 86400000",
    ] {
        assert!(text.contains(fault), "{fault} not in {text}");
    }
}

#[test]
fn check_of_a_table_tells_what_the_fold_would_reject() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("table.json");
    let rows = r#"[
        {"kind": "class", "class": "urgent", "weight": 1001, "engine_priority": 1, "max_wait_ms": 1},
        {"kind": "service", "service": "s", "backing": {"type": "plain"}, "pool": "nowhere",
         "repeatable": true, "retry_budget_percent": 10, "deadline_ms": 1000}]"#;
    fs::write(&path, rows).unwrap();

    let text = stdout(&mut cedargauge(&["check", path.to_str().unwrap()]), 1);

    assert!(text.contains("[0].weight: 1001"), "{text}");
}

#[test]
fn check_finds_no_fault_in_the_examples() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/small-deployment");
    for name in ["entry-0.json", "table.json"] {
        let path = examples.join(name);

        cedargauge(&["check", path.to_str().unwrap()])
            .assert()
            .code(0);
    }
}

#[test]
fn check_of_a_table_names_row_and_column() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("table.json");
    let rows = r#"[{"kind": "class", "class": "urgent", "weight": "much", "engine_priority": 1},
                   {"kind": "colour"}]"#;
    fs::write(&path, rows).unwrap();

    let text = stdout(&mut cedargauge(&["check", path.to_str().unwrap()]), 1);

    for fault in [
        "[0].weight: \"much\"",
        "[0].max_wait_ms: missing",
        "[1].kind: \"colour\"",
    ] {
        assert!(text.contains(fault), "{fault} not in {text}");
    }
}

#[test]
fn exit_codes_tell_a_wrong_command_line_and_silence_apart() {
    cedargauge(&["status", "--colour"]).assert().code(2);
    cedargauge(&["status"]).assert().code(3);
    cedargauge(&["status", "--entry", &dead_address()])
        .assert()
        .code(3);
}

#[test]
fn help_shows_examples() {
    for command in ["status", "upstreams", "explain", "drain", "check"] {
        let text = stdout(&mut cedargauge(&[command, "--help"]), 0);

        assert!(text.contains("Examples:"), "{text}");
    }
}
