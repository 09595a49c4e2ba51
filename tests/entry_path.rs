//! A request's way through an entry host to an engine and back, in one process.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use actix_web::App;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::web;
use awc::Client;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt;
use serde_json::Value;
use serde_json::json;

use cedargauge::config::ConfigHandle;
use cedargauge::controller::EntryHost;
use cedargauge::row::Row;
use cedargauge::settings;
use cedargauge::table::Table;
use cedargauge::table::key_sha256;
use cedargauge::wire::EngineEvent;
use cedargauge::wire::GenerateRequest;

const TOKENS: u32 = 5;

fn token_text(prompt: &str, index: u32) -> String {
    format!("{index}-{prompt} ")
}

/// Answers every generation at once, tied to its prompt.
async fn generate(request: web::Json<GenerateRequest>) -> HttpResponse {
    let mut body = String::new();
    for index in 0..TOKENS {
        push_event(
            &mut body,
            &EngineEvent::Token {
                attempt: request.attempt,
                index,
                text: token_text(&request.prompt, index),
            },
        );
    }
    push_event(
        &mut body,
        &EngineEvent::Done {
            attempt: request.attempt,
            output_tokens: TOKENS,
            cached_prompt_tokens: 1,
        },
    );
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .body(body)
}

fn push_event(body: &mut String, event: &EngineEvent) {
    let data = serde_json::to_string(event).unwrap();
    body.push_str(&format!("data: {data}\n\n"));
}

/// Starts a server with these routes and returns its address.
fn start_fake(routes: impl Fn(&mut web::ServiceConfig) + Clone + Send + 'static) -> String {
    let server = HttpServer::new(move || App::new().configure(routes.clone()))
        .workers(1)
        .disable_signals()
        .bind("127.0.0.1:0")
        .unwrap();
    let address = server.addrs()[0].to_string();
    actix_rt::spawn(server.run());
    address
}

/// Starts an engine that answers at once and returns its address.
fn start_engine() -> String {
    start_fake(|config| {
        config.route("/v1/generations", web::post().to(generate));
    })
}

fn table(engine: &str) -> Table {
    let rows: Vec<Row> = serde_json::from_value(json!([
        {"kind": "customer", "customer": "forest-office", "key_sha256": [key_sha256("key-1")],
         "weight": 1, "classes": ["standard"], "requests_per_s": 100, "tokens_per_s": 10000,
         "concurrent_generations": 100, "queue_length": 100},
        {"kind": "class", "class": "standard", "weight": 1, "engine_priority": 1,
         "max_wait_ms": 1000},
        {"kind": "class", "class": "urgent", "weight": 8, "engine_priority": 9,
         "max_wait_ms": 1000},
        {"kind": "service", "service": "inspection",
         "backing": {"type": "generation", "model": "m@1", "max_output_tokens": 1000},
         "pool": "p", "repeatable": true, "retry_budget_percent": 20, "deadline_ms": 10000},
        {"kind": "pool", "pool": "p", "high_water_percent": 90, "ejected_percent_max": 50,
         "upstreams": [{"upstream": engine, "data_centre": "a", "checks_fence": true}]},
    ]))
    .unwrap();
    Table::from_rows(rows)
}

/// Starts an entry host before one fake engine and returns its URL.
async fn start_entry() -> (EntryHost, String) {
    let bounds = r#"{"body_bytes_max": 4096, "header_bytes_max": 2048}"#;
    start_entry_before(&start_engine(), bounds).await
}

async fn start_entry_before(engine: &str, bounds: &str) -> (EntryHost, String) {
    let settings = settings::parse(&format!(
        r#"{{"host": "entry-1", "data_centre": "a", "caller_address": "127.0.0.1:0",
            "peer_address": "127.0.0.1:0", "platform_address": "127.0.0.1:1",
            "server": {bounds}}}"#,
    ))
    .unwrap();
    let config = ConfigHandle::fixed(table(engine));
    let host = EntryHost::start_with(settings, config).await.unwrap();
    let url = format!("http://{}/v1/completions", host.caller_address());
    (host, url)
}

async fn post(url: &str, key: &str, body: String) -> (u16, String) {
    let mut response = Client::default()
        .post(url)
        .bearer_auth(key)
        .send_body(body)
        .await
        .unwrap();
    let text = response.body().limit(1 << 20).await.unwrap();
    let text = String::from_utf8(text.to_vec()).unwrap();
    (response.status().as_u16(), text)
}

fn expected(prompt: &str) -> String {
    (0..TOKENS).map(|index| token_text(prompt, index)).collect()
}

/// The text of a streamed answer; fails unless it ends as a whole one does.
fn streamed_text(stream: &str) -> String {
    let events: Vec<&str> = stream
        .split("\n\n")
        .filter(|event| !event.is_empty())
        .collect();
    let (end, chunks) = events.split_last().unwrap();
    assert_eq!(*end, "data: [DONE]");
    let chunks: Vec<Value> = chunks
        .iter()
        .map(|event| serde_json::from_str(event.strip_prefix("data: ").unwrap()).unwrap())
        .collect();
    assert_eq!(
        chunks.last().unwrap()["choices"][0]["finish_reason"],
        "stop"
    );
    chunks
        .iter()
        .map(|chunk| chunk["choices"][0]["text"].as_str().unwrap())
        .collect()
}

#[actix_rt::test]
async fn a_stream_brings_every_token_and_an_explicit_end() {
    let (host, url) = start_entry().await;
    let body = json!({"model": "inspection", "prompt": "net 7", "stream": true});

    let (status, answer) = post(&url, "key-1", body.to_string()).await;

    assert_eq!(status, 200);
    assert_eq!(streamed_text(&answer), expected("net 7"));
    host.stop().await;
}

#[actix_rt::test]
async fn one_answer_brings_the_whole_text_and_its_usage() {
    let (host, url) = start_entry().await;
    let body = json!({"model": "inspection", "prompt": "net 7"});

    let (status, answer) = post(&url, "key-1", body.to_string()).await;

    let answer: Value = serde_json::from_str(&answer).unwrap();
    assert_eq!(status, 200);
    assert_eq!(answer["choices"][0]["text"], expected("net 7"));
    assert_eq!(answer["usage"]["completion_tokens"], TOKENS);
    assert_eq!(answer["usage"]["prompt_tokens_details"]["cached_tokens"], 1);
    host.stop().await;
}

#[actix_rt::test]
async fn what_cannot_be_served_is_refused_clearly() {
    let (host, url) = start_entry().await;
    let good = json!({"model": "inspection", "prompt": "p"});
    let with = |field: &str, value: Value| {
        let mut body = good.clone();
        body[field] = value;
        body.to_string()
    };
    let cases = [
        ("key-1", "{".to_owned(), 400, "invalid_request"),
        ("key-1", with("colour", json!(1)), 400, "invalid_request"),
        (
            "key-1",
            with("max_tokens", json!(0)),
            400,
            "invalid_request",
        ),
        (
            "key-1",
            with("prompt", json!("x".repeat(5000))),
            413,
            "too_large",
        ),
        (
            "key-1",
            with("model", json!("none")),
            404,
            "unknown_service",
        ),
        (
            "key-1",
            with("priority_class", json!("urgent")),
            403,
            "class_not_allowed",
        ),
        ("key-2", good.to_string(), 401, "unauthorized"),
        (&"k".repeat(3000), good.to_string(), 413, "too_large"),
    ];

    for (key, body, status, code) in cases {
        let (got, answer) = post(&url, key, body).await;

        let answer: Value = serde_json::from_str(&answer).unwrap();
        assert_eq!(got, status, "{answer}");
        assert_eq!(answer["error"]["code"], code);
        assert_eq!(answer["error"]["ran"], "no");
        assert!(answer["error"]["request_id"].is_string());
    }
    host.stop().await;
}

/// A server whose generations never end and come as fast as they are read.
async fn generate_for_ever(request: web::Json<GenerateRequest>) -> HttpResponse {
    let attempt = request.attempt;
    let tokens = futures_util::stream::iter(0..).map(move |index| {
        let mut event = String::new();
        let text = "x".repeat(1_000);
        push_event(
            &mut event,
            &EngineEvent::Token {
                attempt,
                index,
                text,
            },
        );
        Ok::<_, actix_web::Error>(Bytes::from(event))
    });
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .streaming(tokens)
}

#[actix_rt::test]
async fn a_caller_who_does_not_read_is_given_up_with_an_explicit_failure() {
    let cancelled = Arc::new(AtomicUsize::new(0));
    let count = cancelled.clone();
    let engine = start_fake(move |config| {
        let count = count.clone();
        config.route("/v1/generations", web::post().to(generate_for_ever));
        config.route(
            "/v1/generations/{attempt}",
            web::delete().to(move || {
                count.fetch_add(1, Ordering::SeqCst);
                async { HttpResponse::NoContent().finish() }
            }),
        );
    });
    let (host, url) = start_entry_before(&engine, r#"{"slow_caller_timeout_ms": 300}"#).await;
    let body = json!({"model": "inspection", "prompt": "p", "stream": true});
    let mut answer = Client::default()
        .post(&url)
        .bearer_auth("key-1")
        .send_body(body.to_string())
        .await
        .unwrap();

    let is_cancelled = poll_until(|| cancelled.load(Ordering::SeqCst) == 1).await;
    let mut rest = BytesMut::new();
    while let Some(chunk) = answer.next().await {
        rest.extend_from_slice(&chunk.unwrap());
    }

    let rest = String::from_utf8(rest.to_vec()).unwrap();
    assert!(is_cancelled);
    assert!(rest.contains("\"code\":\"slow_caller\""));
    assert!(rest.ends_with("data: [DONE]\n\n"));
    host.stop().await;
}

/// Polls a condition for a bounded time.
async fn poll_until(condition: impl Fn() -> bool) -> bool {
    for _ in 0..500 {
        if condition() {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    false
}
