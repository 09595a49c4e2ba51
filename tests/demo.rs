//! `cedargauge-demo`: many callers at once, and the shape of a stream.

mod tester;

use std::io::Read;
use std::thread;
use std::time::Duration;

use serde_json::Value;

use crate::tester::Program;
use crate::tester::completion_request;
use crate::tester::http_agent;
use cedargauge::standin::output_text;
use cedargauge::standin_service::Echo;
use cedargauge::standin_table::CREW_APP;
use cedargauge::standin_table::DEMO_KEY;
use cedargauge::standin_table::INSPECTION;

const CALLERS: u32 = 200;
const DONE: &str = "[DONE]";

struct Demo {
    program: Program,
    caller: String,
}

fn demo() -> Demo {
    let program = Program::start("cedargauge-demo", ["--port", "0"]);
    let caller = program.ready_value("caller").to_owned();
    Demo { program, caller }
}

fn complete(caller: &str, prompt: &str, stream: bool) -> (u16, String) {
    let mut answer = http_agent()
        .post(format!("http://{caller}/v1/completions"))
        .header("authorization", format!("Bearer {DEMO_KEY}"))
        .send_json(completion_request(INSPECTION, prompt, stream))
        .expect("an answer");
    let mut body = String::new();
    answer
        .body_mut()
        .as_reader()
        .read_to_string(&mut body)
        .expect("a body");
    (answer.status().as_u16(), body)
}

/// The payloads of a stream's events, which must be nothing but `data` lines and blank ones.
fn payloads(body: &str) -> Vec<&str> {
    body.split_terminator("\n\n")
        .map(|event| event.strip_prefix("data: ").expect("a data line"))
        .inspect(|payload| assert!(!payload.contains('\n'), "one line an event"))
        .collect()
}

fn streamed_text(body: &str) -> String {
    payloads(body)
        .into_iter()
        .filter(|payload| *payload != DONE)
        .map(|payload| serde_json::from_str::<Value>(payload).expect("JSON"))
        .map(|chunk| {
            chunk["choices"][0]["text"]
                .as_str()
                .unwrap_or("")
                .to_owned()
        })
        .collect()
}

fn whole_text(body: &str) -> String {
    let answer: Value = serde_json::from_str(body).expect("JSON");
    answer["choices"][0]["text"]
        .as_str()
        .unwrap_or("")
        .to_owned()
}

#[test]
fn two_hundred_callers_at_once_each_get_their_own_whole_answer() {
    let demo = demo();

    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let caller = demo.caller.clone();
            thread::spawn(move || {
                let tokens = 5 + number % 60;
                let prompt = format!("barrier {number} #tokens={tokens}");
                let is_stream = number % 2 == 0;
                let (status, body) = complete(&caller, &prompt, is_stream);
                let text = if is_stream {
                    streamed_text(&body)
                } else {
                    whole_text(&body)
                };
                assert_eq!(status, 200, "{body}");
                assert_eq!(text, output_text(&prompt, tokens));
            })
        })
        .collect();

    let failed = callers.into_iter().filter_map(|c| c.join().err()).count();
    assert_eq!(failed, 0);
}

#[test]
fn a_stream_has_the_shape_that_clients_of_the_official_api_expect() {
    let demo = demo();

    let (status, body) = complete(&demo.caller, "net 7 #tokens=3", true);

    let events = payloads(&body);
    let (done, chunks) = events.split_last().unwrap();
    let chunks: Vec<Value> = chunks
        .iter()
        .map(|chunk| serde_json::from_str(chunk).unwrap())
        .collect();
    let finishes: Vec<&Value> = chunks
        .iter()
        .map(|chunk| &chunk["choices"][0]["finish_reason"])
        .collect();
    assert_eq!(status, 200);
    assert_eq!(*done, DONE);
    for chunk in &chunks {
        assert_eq!(chunk["object"], "text_completion");
        assert_eq!(chunk["model"], INSPECTION);
        assert_eq!(chunk["id"], chunks[0]["id"]);
        assert!(chunk["created"].is_u64());
        assert_eq!(chunk["choices"][0]["index"], 0);
    }
    assert_eq!(finishes.last().unwrap().as_str(), Some("stop"));
    assert!(finishes.iter().rev().skip(1).all(|finish| finish.is_null()));
    assert_eq!(streamed_text(&body), output_text("net 7 #tokens=3", 3));
}

#[test]
fn the_plain_service_is_called_through_the_demo() {
    let demo = demo();

    let mut answer = http_agent()
        .post(format!(
            "http://{}/v1/services/{CREW_APP}/shifts/7",
            demo.caller
        ))
        .header("authorization", format!("Bearer {DEMO_KEY}"))
        .send("spare parts")
        .unwrap();

    let echo: Echo = answer.body_mut().read_json().unwrap();
    assert_eq!(answer.status(), 200);
    assert_eq!(echo.path, "/shifts/7");
    assert_eq!(echo.body, "spare parts");
}

#[test]
fn a_signal_ends_the_demo_cleanly() {
    let mut demo = demo();

    demo.program.terminate();

    let status = demo.program.wait_exit(Duration::from_secs(20));
    assert_eq!(status.and_then(|status| status.code()), Some(0));
}
