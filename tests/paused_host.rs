//! A host that is paused, and goes on, answers what arrived meanwhile.

mod tester;

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use crate::tester::Ask;
use crate::tester::Deployment;
use crate::tester::DeploymentOptions;
use crate::tester::completion_request;
use cedargauge::standin_table::DEMO_KEY;
use cedargauge::standin_table::INSPECTION;

/// Longer than the HTTP library's own timeout of a request's head, which is 5 s.
const PAUSE: Duration = Duration::from_secs(8);

const CALLERS: usize = 20;

const TOKENS: u32 = 5;

#[test]
fn requests_that_arrive_during_a_pause_are_answered_whole() {
    let deployment = Deployment::start(&DeploymentOptions::default());
    deployment.wait_ready();
    let host = &deployment.hosts[0];
    let mut callers: Vec<TcpStream> = (0..CALLERS)
        .map(|_| TcpStream::connect(&host.caller).unwrap())
        .collect();
    // An answered request shows that the connections made before it were accepted.
    let first = Ask::new("before the pause #tokens=1");
    assert!(first.open(&host.caller).read_all().is_complete());

    host.program.freeze();
    callers.iter_mut().for_each(send);
    thread::sleep(PAUSE);
    host.program.thaw();
    let answers: Vec<String> = callers.into_iter().map(read_all).collect();

    for answer in answers {
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert!(answer.contains(&Ask::new(prompt()).expected(TOKENS)));
    }
}

fn prompt() -> String {
    format!("during a pause #tokens={TOKENS}")
}

fn send(caller: &mut TcpStream) {
    let body = completion_request(INSPECTION, &prompt(), false).to_string();
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {DEMO_KEY}\r\n\
         content-type: application/json\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    caller
        .write_all(request.as_bytes())
        .expect("an open connection");
}

fn read_all(mut caller: TcpStream) -> String {
    let mut answer = String::new();
    caller.read_to_string(&mut answer).expect("an answer");
    answer
}
