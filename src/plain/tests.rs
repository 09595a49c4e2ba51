use bytes::Bytes;
use http::HeaderMap;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use super::PlainCall;
use super::PlainClient;
use super::PlainOutcome;
use crate::engine::EngineOptions;
use crate::id::UpstreamId;

const ANSWER_BYTES_MAX: usize = 64;

/// Answers one connection with `answer` and closes it.
async fn upstream(answer: &'static str) -> UpstreamId {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        let (mut connection, _) = listener.accept().await.unwrap();
        let mut request = [0; 1024];
        let read = connection.read(&mut request).await.unwrap();
        assert!(read > 0);
        connection.write_all(answer.as_bytes()).await.unwrap();
    });
    UpstreamId::new(address)
}

/// An address that nobody listens on.
async fn nobody() -> UpstreamId {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    UpstreamId::new(listener.local_addr().unwrap().to_string())
}

async fn call(upstream: &UpstreamId) -> PlainOutcome {
    let client = PlainClient::new(&EngineOptions::default(), ANSWER_BYTES_MAX);
    let call = PlainCall {
        path: "log".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::from_static(b"shift"),
        repeatable: false,
    };
    client.call(upstream, &call).await
}

#[actix_rt::test]
async fn a_whole_answer_is_taken() {
    let upstream = upstream("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").await;

    let outcome = call(&upstream).await;

    assert!(matches!(outcome, PlainOutcome::Answered(answer) if answer.body == "ok"));
}

#[actix_rt::test]
async fn a_truncated_answer_is_never_taken_for_a_whole_one() {
    let truncated = [
        "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nhalf",
        "HTTP/1.1 200 OK\r\nContent-Le",
        "",
    ];

    for answer in truncated {
        let outcome = call(&upstream(answer).await).await;

        assert!(
            matches!(outcome, PlainOutcome::Lost(_)),
            "{answer:?}: {outcome:?}"
        );
    }
}

#[actix_rt::test]
async fn a_refused_connection_was_not_written() {
    let upstream = nobody().await;

    let outcome = call(&upstream).await;

    assert!(
        matches!(outcome, PlainOutcome::NotWritten(_)),
        "{outcome:?}"
    );
}

#[actix_rt::test]
async fn an_answer_beyond_the_bound_is_told_apart() {
    let upstream = upstream(
        "HTTP/1.1 200 OK\r\nContent-Length: 70\r\n\r\n\
         0123456789012345678901234567890123456789012345678901234567890123456789",
    )
    .await;

    let outcome = call(&upstream).await;

    assert!(matches!(outcome, PlainOutcome::TooLong), "{outcome:?}");
}
