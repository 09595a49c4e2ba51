use bytes::BytesMut;
use serde_json::Value;

use super::CompletionWriter;
use super::FinishReason;
use super::Usage;
use crate::id::RequestId;
use crate::id::ServiceId;
use crate::refusal::Code;
use crate::refusal::Refusal;

fn writer() -> CompletionWriter {
    CompletionWriter::new(
        RequestId::from_u128(7),
        &ServiceId::from("inspection"),
        1_700,
    )
}

fn events(out: &[u8]) -> Vec<String> {
    std::str::from_utf8(out)
        .unwrap()
        .split("\n\n")
        .filter(|event| !event.is_empty())
        .map(str::to_owned)
        .collect()
}

fn data(event: &str) -> Value {
    serde_json::from_str(event.rsplit_once("data: ").unwrap().1).unwrap()
}

#[test]
fn a_token_has_the_official_shape() {
    let mut out = BytesMut::new();

    writer().token("a \"b\"\n", &mut out);

    let events = events(&out);
    let chunk = data(&events[0]);
    assert_eq!(chunk["object"], "text_completion");
    assert_eq!(chunk["created"], 1_700);
    assert_eq!(chunk["model"], "inspection");
    assert_eq!(chunk["choices"][0]["index"], 0);
    assert_eq!(chunk["choices"][0]["text"], "a \"b\"\n");
    assert_eq!(chunk["choices"][0]["finish_reason"], Value::Null);
}

#[test]
fn a_whole_stream_ends_with_usage_and_done() {
    let mut out = BytesMut::new();

    writer().complete(FinishReason::Stop, Some(Usage::new(3, 4, 2)), &mut out);

    let events = events(&out);
    assert_eq!(data(&events[0])["choices"][0]["finish_reason"], "stop");
    assert_eq!(data(&events[1])["usage"]["total_tokens"], 7);
    assert_eq!(events[2], "data: [DONE]");
}

#[test]
fn a_failed_stream_says_how_many_tokens_came() {
    let mut out = BytesMut::new();
    let refusal = Refusal::unknown(Code::UpstreamFailed, "lost");

    writer().failed(&refusal, 5, &mut out);

    let events = events(&out);
    assert!(events[0].starts_with("event: error\n"));
    let error = &data(&events[0])["error"];
    assert_eq!(error["tokens_delivered"], 5);
    assert_eq!(error["ran"], "unknown");
    assert_eq!(events[1], "data: [DONE]");
}
