use super::CompletionRequest;
use crate::refusal::Code;
use crate::refusal::Ran;

fn refusal_message(body: &str) -> String {
    let refusal = CompletionRequest::parse(body.as_bytes()).unwrap_err();
    assert_eq!(refusal.code, Code::InvalidRequest);
    assert_eq!(refusal.ran, Ran::No);
    refusal.message
}

#[test]
fn the_official_body_is_understood() {
    let body = br#"{"model":"inspection","prompt":"net 7","max_tokens":9,"stream":true,"n":1}"#;

    let request = CompletionRequest::parse(body).unwrap();

    assert_eq!(request.service.as_str(), "inspection");
    assert_eq!(request.max_tokens, 9);
    assert!(request.stream);
    assert_eq!(request.prompt_tokens(), 2);
}

#[test]
fn a_refusal_names_the_field() {
    let cases = [
        (r#"{"model":"a","prompt":"p","colour":1}"#, "colour"),
        (r#"{"model":"a","prompt":7}"#, "prompt"),
        (r#"{"model":"a"}"#, "prompt"),
        (r#"{"model":"","prompt":"p"}"#, "model"),
        (r#"{"model":"a","prompt":"p","max_tokens":0}"#, "max_tokens"),
        (
            r#"{"model":"a","prompt":"p","max_tokens":-1}"#,
            "max_tokens",
        ),
        (
            r#"{"model":"a","prompt":"p","temperature":0.2}"#,
            "temperature",
        ),
        (
            r#"{"model":"a","prompt":"p","stream_options":{"x":1}}"#,
            "stream_options",
        ),
        (r#"{"model":"a","prompt":"p"} {}"#, "body"),
    ];

    for (body, field) in cases {
        let message = refusal_message(body);

        assert!(message.contains(field), "{body}: {message}");
    }
}

#[test]
fn prefix_hashes_agree_as_long_as_the_prompts_do() {
    let shared = "a".repeat(128);
    let ask = |tail: &str| {
        let body = serde_json::json!({"model": "m", "prompt": format!("{shared}{tail}")});
        CompletionRequest::parse(body.to_string().as_bytes()).unwrap()
    };

    let one = ask(&"b".repeat(64)).prefix_hashes();
    let two = ask(&"c".repeat(64)).prefix_hashes();

    assert_eq!(one.len(), 3);
    assert_eq!(one[..2], two[..2]);
    assert_ne!(one[2], two[2]);
}
