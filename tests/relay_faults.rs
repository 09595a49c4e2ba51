//! The relay's promises with real processes: platform, four engines and two entry hosts. Runs are
//! counted by the engines.

mod tester;

use std::thread;
use std::time::Duration;

use crate::tester::Ask;
use crate::tester::Deployment;
use crate::tester::DeploymentOptions;
use crate::tester::DeploymentOptionsBuilder;
use crate::tester::Engine;
use crate::tester::OpenAnswer;
use crate::tester::get_json;
use crate::tester::wait_until;
use cedargauge::standin_faults::EngineFault;
use cedargauge::standin_faults::StreamFault;
use cedargauge::standin_faults::StreamFaultKind;
use cedargauge::wire::EngineRefusalReason;

const BOUND: Duration = Duration::from_secs(20);

/// A caller who leaves has its generation cancelled within this time.
const CANCEL_WITHIN: Duration = Duration::from_secs(1);

/// Long enough to outlast any test.
const FOREVER_MS: u64 = 600_000;

fn deploy() -> Deployment {
    let deployment = Deployment::start(&options().build().expect("options"));
    wait_ready(&deployment);
    deployment
}

fn options() -> DeploymentOptionsBuilder {
    let mut options = DeploymentOptionsBuilder::default();
    options.engines(4).hosts(2).services(0);
    options
}

/// Entry hosts are ready once they have the table.
fn wait_ready(deployment: &Deployment) {
    for host in &deployment.hosts {
        let url = format!("http://{}/readyz", host.caller);
        let agent = tester::http_agent();
        let ready = wait_until(BOUND, || {
            agent
                .get(&url)
                .call()
                .is_ok_and(|answer| answer.status() == 200)
        });
        assert!(ready, "{} is not ready", host.host);
    }
}

fn stream_fault(kind: StreamFaultKind, after_tokens: u32, times: u32) -> EngineFault {
    EngineFault::Stream(StreamFault {
        kind,
        attempt: None,
        key: None,
        after_tokens,
        times,
    })
}

fn fault_all(deployment: &Deployment, fault: &EngineFault) {
    for engine in &deployment.engines {
        engine.fault(fault);
    }
}

/// Takes the engine that runs `key` out of the deployment.
fn take_engine(deployment: &mut Deployment, key: &str) -> Engine {
    let mut found = None;
    let runs = wait_until(BOUND, || {
        found = deployment
            .engines
            .iter()
            .position(|engine| engine.counters().keys.contains_key(key));
        found.is_some()
    });
    assert!(runs, "no engine runs {key}");
    deployment.engines.remove(found.expect("an engine"))
}

fn streams(deployment: &Deployment, ask: &Ask) -> OpenAnswer {
    ask.open(&deployment.hosts[0].caller).read_all()
}

fn error_field<'a>(answer: &'a OpenAnswer, field: &str) -> &'a serde_json::Value {
    &answer.error.as_ref().expect("a failure")[field]
}

/// Opens `ask` in another thread, waits until an engine runs it and kills that engine before it
/// sends a token.
fn kill_before_first_token(deployment: &mut Deployment, ask: Ask, key: &str) -> OpenAnswer {
    let silent = stream_fault(StreamFaultKind::Stall { ms: FOREVER_MS }, 0, u32::MAX);
    fault_all(deployment, &silent);
    let caller = deployment.hosts[0].caller.clone();
    let asking = thread::spawn(move || ask.open(&caller).read_all());
    let mut engine = take_engine(deployment, key);
    fault_all(deployment, &EngineFault::Clear);
    engine.program.kill();
    asking.join().expect("an answer")
}

#[test]
fn an_engine_killed_before_its_first_token_is_replaced_for_a_repeatable_request() {
    let mut deployment = deploy();
    let ask = Ask::new("report #tokens=20 #key=a");

    let answer = kill_before_first_token(&mut deployment, ask.clone(), "a");

    assert!(answer.is_complete(), "{:?}", answer.error);
    assert_eq!(answer.text, ask.expected(20));
    assert_eq!(deployment.times_started("a"), 1);
}

#[test]
fn an_engine_killed_before_its_first_token_leaves_a_non_repeatable_request_unknown() {
    let mut deployment = deploy();
    let ask = Ask::once("flag #tokens=20 #key=a");

    let answer = kill_before_first_token(&mut deployment, ask, "a");

    assert_eq!(error_field(&answer, "ran"), "unknown");
    assert!(error_field(&answer, "retry_after_ms").is_u64());
    assert_eq!(answer.tokens, 0);
    assert_eq!(deployment.times_started("a"), 0);
}

#[test]
fn an_engine_killed_mid_stream_fails_the_stream_with_the_tokens_delivered() {
    let mut deployment = deploy();
    let ask = Ask::new("report #tokens=5000 #key=a");
    let mut answer = ask.open(&deployment.hosts[0].caller);
    answer.read_tokens(5);

    take_engine(&mut deployment, "a").program.kill();
    let answer = answer.read_all();

    assert!(answer.is_terminated);
    assert_eq!(answer.text, ask.expected(answer.tokens));
    assert_eq!(error_field(&answer, "tokens_delivered"), answer.tokens);
    assert_eq!(error_field(&answer, "ran"), "yes");
    assert_eq!(deployment.times_started("a"), 0);
}

#[test]
fn every_fault_of_a_link_is_mended_without_a_doubled_or_lost_token() {
    let deployment = deploy();
    let faults = [
        StreamFaultKind::Stall { ms: FOREVER_MS },
        StreamFaultKind::Break,
        StreamFaultKind::Duplicate,
        StreamFaultKind::Reorder,
        StreamFaultKind::Gap,
        StreamFaultKind::Cross,
    ];

    for (number, kind) in faults.into_iter().enumerate() {
        for after_tokens in [0, 7, 29] {
            let key = format!("{number}-{after_tokens}");
            let ask = Ask::new(format!("report #tokens=30 #key={key}"));
            fault_all(&deployment, &stream_fault(kind, after_tokens, 1));
            let answer = streams(&deployment, &ask);
            fault_all(&deployment, &EngineFault::Clear);

            assert!(answer.is_complete(), "{kind:?}: {:?}", answer.error);
            assert_eq!(answer.text, ask.expected(30), "{kind:?}");
            assert_eq!(deployment.times_started(&key), 1, "{kind:?}");
        }
    }
}

#[test]
fn a_non_repeatable_request_starts_once_whatever_happens_to_its_connection() {
    let deployment = deploy();
    let faults = [
        (EngineFault::ResetOnAccept { count: 1 }, 0, Some("unknown")),
        (EngineFault::ResetAfterStart { count: 1 }, 1, None),
        (refuse_once(), 0, Some("no")),
    ];

    for (fault, started, ran) in faults {
        let ask = Ask::once(format!("flag #tokens=10 #key={started}{ran:?}"));
        fault_all(&deployment, &fault);
        let answer = streams(&deployment, &ask);
        fault_all(&deployment, &EngineFault::Clear);

        let got = answer.error.as_ref().map(|error| error["ran"].clone());
        assert_eq!(got, ran.map(Into::into), "{fault:?}");
        assert_eq!(answer.is_complete(), ran.is_none(), "{fault:?}");
        assert_eq!(
            deployment.times_started(&format!("{started}{ran:?}")),
            started
        );
    }
}

fn refuse_once() -> EngineFault {
    EngineFault::Refuse {
        count: 1,
        reason: EngineRefusalReason::Leaving,
    }
}

#[test]
fn a_repeatable_request_that_an_engine_refuses_goes_elsewhere() {
    let deployment = deploy();
    let ask = Ask::new("report #tokens=10 #key=a");
    deployment.engines[..3]
        .iter()
        .for_each(|engine| engine.fault(&refuse_once()));

    let answer = streams(&deployment, &ask);

    assert!(answer.is_complete(), "{:?}", answer.error);
    assert_eq!(deployment.times_started("a"), 1);
}

#[test]
fn a_caller_who_leaves_has_the_generation_cancelled() {
    let mut deployment = deploy();
    let ask = Ask::new("report #tokens=20000 #key=a");
    let mut answer = ask.open(&deployment.hosts[0].caller);
    answer.read_tokens(3);
    let engine = take_engine(&mut deployment, "a");

    drop(answer);

    let cancelled = wait_until(CANCEL_WITHIN, || engine.counters().keys["a"].cancelled == 1);
    assert!(cancelled);
}

#[test]
fn a_caller_who_leaves_before_the_first_token_has_the_generation_cancelled() {
    let mut deployment = deploy();
    let silent = stream_fault(StreamFaultKind::Stall { ms: FOREVER_MS }, 0, u32::MAX);
    fault_all(&deployment, &silent);
    let connection = send_and_keep(&deployment.hosts[0].caller, "report #tokens=20000 #key=a");
    let engine = take_engine(&mut deployment, "a");

    drop(connection);

    let cancelled = wait_until(CANCEL_WITHIN, || engine.counters().keys["a"].cancelled == 1);
    assert!(cancelled);
}

/// Writes a request for one whole answer and leaves the connection open without reading.
fn send_and_keep(caller: &str, prompt: &str) -> std::net::TcpStream {
    use std::io::Write;

    let body = serde_json::json!({"model": "inspection", "prompt": prompt}).to_string();
    let mut connection = std::net::TcpStream::connect(caller).expect("a connection");
    write!(
        connection,
        "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer demo-key\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .expect("a request");
    connection
}

#[test]
fn two_hundred_callers_at_once_each_get_their_own_answer_whole() {
    let deployment = deploy();
    let asking: Vec<_> = (0..200)
        .map(|caller| {
            let host = deployment.hosts[caller % 2].caller.clone();
            let ask = Ask::new(format!("report {caller} #tokens=40 #key=c{caller}"));
            thread::spawn(move || (ask.open(&host).read_all(), ask))
        })
        .collect();

    for asking in asking {
        let (answer, ask) = asking.join().expect("an answer");

        assert!(answer.is_complete(), "{:?}", answer.error);
        assert_eq!(answer.text, ask.expected(40));
    }
}

#[test]
fn a_terminated_host_finishes_every_open_stream_and_exits_cleanly() {
    let mut deployment = Deployment::start(&DeploymentOptions {
        hosts: 1,
        ..options().build().expect("options")
    });
    wait_ready(&deployment);
    let caller = deployment.hosts[0].caller.clone();
    let mut answers: Vec<(Ask, OpenAnswer)> = (0..50)
        .map(|number| {
            let ask = Ask::new(format!("report {number} #tokens=150"));
            let answer = ask.open(&caller);
            (ask, answer)
        })
        .collect();
    answers
        .iter_mut()
        .for_each(|(_, answer)| answer.read_tokens(1));

    deployment.hosts[0].program.terminate();
    let asking: Vec<_> = answers
        .into_iter()
        .map(|(ask, answer)| thread::spawn(move || (ask, answer.read_all())))
        .collect();

    for asking in asking {
        let (ask, answer) = asking.join().expect("an answer");
        assert!(answer.is_complete(), "{:?}", answer.error);
        assert_eq!(answer.text, ask.expected(150));
    }
    let status = deployment.hosts[0].program.wait_exit(BOUND);
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
}

#[test]
fn a_host_that_shuts_down_says_so_and_still_takes_requests_for_a_while() {
    let mut deployment = Deployment::start(&DeploymentOptions {
        hosts: 1,
        entry_settings: serde_json::json!({"shutdown": {"drain_accept_ms": 5_000}}),
        ..options().build().expect("options")
    });
    wait_ready(&deployment);
    let caller = deployment.hosts[0].caller.clone();
    let url = format!("http://{caller}/readyz");
    let agent = tester::http_agent();

    deployment.hosts[0].program.terminate();
    let not_ready = wait_until(BOUND, || {
        agent
            .get(&url)
            .call()
            .is_ok_and(|answer| answer.status() == 503)
    });
    let answer = streams(&deployment, &Ask::new("report #tokens=5"));
    let status = deployment.hosts[0].program.wait_exit(BOUND);

    assert!(not_ready);
    assert!(answer.is_complete(), "{:?}", answer.error);
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
}

#[test]
fn a_second_signal_ends_every_stream_with_a_failure_and_names_it() {
    let mut deployment = Deployment::start(&DeploymentOptions {
        hosts: 1,
        ..options().build().expect("options")
    });
    wait_ready(&deployment);
    let ask = Ask::new("report #tokens=20000");
    let mut answer = ask.open(&deployment.hosts[0].caller);
    answer.read_tokens(1);

    deployment.hosts[0].program.terminate();
    let begun = wait_until(BOUND, || log_of(&deployment).contains("ShutdownBegan"));
    deployment.hosts[0].program.terminate();
    let answer = answer.read_all();
    let status = deployment.hosts[0].program.wait_exit(BOUND);

    assert!(begun);
    assert_eq!(error_field(&answer, "code"), "stopped");
    assert_eq!(error_field(&answer, "tokens_delivered"), answer.tokens);
    assert_eq!(answer.text, ask.expected(answer.tokens));
    assert!(status.is_some_and(|status| !status.success()), "{status:?}");
    assert!(log_of(&deployment).contains("ShutdownForced request="));
}

fn log_of(deployment: &Deployment) -> String {
    deployment.hosts[0].program.log_text()
}

#[test]
fn the_journal_tells_the_life_of_a_request() {
    let deployment = deploy();
    streams(&deployment, &Ask::new("report #tokens=5"));

    let events: Vec<serde_json::Value> = get_json(&deployment.hosts[0].caller, "/events?from=0");

    let codes: Vec<&str> = events
        .iter()
        .filter_map(|event| event["code"].as_str())
        .collect();
    for code in [
        "RequestReceived",
        "RequestGranted",
        "RequestDispatched",
        "RequestComplete",
    ] {
        assert!(codes.contains(&code), "{code} is not in {codes:?}");
    }
}
