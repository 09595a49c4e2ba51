//! Last filter: a session's outputs, or a refusal, as an HTTP answer.

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use actix_web::http::header;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt;
use futures_util::stream;

use crate::completion::CompletionWriter;
use crate::completion::FinishReason;
use crate::completion::Usage;
use crate::gate::Pass;
use crate::id::RequestId;
use crate::refusal::Code;
use crate::refusal::ErrorBody;
use crate::refusal::Refusal;
use crate::relay::Completion;
use crate::session::Output;
use crate::session::Session;
use crate::watch::SlowCallers;

/// When to ask again after a refusal that doesn't say so itself, in milliseconds.
const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;

/// A refusal as an HTTP answer.
pub fn refuse(refusal: Refusal) -> HttpResponse {
    let refusal = with_retry_after(refusal);
    let status = StatusCode::from_u16(refusal.code.http_status())
        .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = HttpResponse::build(status);
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        let seconds = retry_after_ms.div_ceil(1_000);
        response.insert_header((header::RETRY_AFTER, seconds.to_string()));
    }
    response.json(ErrorBody { error: refusal })
}

/// A refusal that another time may lift says when.
pub(crate) fn with_retry_after(refusal: Refusal) -> Refusal {
    let status = refusal.code.http_status();
    let may_pass = status == 429 || status >= 500;
    if may_pass && refusal.retry_after_ms.is_none() {
        return refusal.retry_after_ms(DEFAULT_RETRY_AFTER_MS);
    }
    refusal
}

/// Turns a session's outputs into what the caller receives.
pub(crate) struct Answer {
    /// Writes the chunks.
    pub(crate) writer: CompletionWriter,
    /// Tokens of the prompt.
    pub(crate) prompt_tokens: u32,
    /// The bound on the output, in tokens.
    pub(crate) max_output_tokens: u32,
    /// Whether the caller asked for the usage.
    pub(crate) include_usage: bool,
    /// Tokens handed to the caller.
    pub(crate) delivered: u32,
}

impl Answer {
    /// A request that fails before its first token is answered with its own status.
    pub(crate) async fn stream(
        mut self,
        mut session: Session,
        pass: Pass,
        slow_callers: &SlowCallers,
    ) -> HttpResponse {
        let first = match session.next().await {
            Some(Output::Failed(refusal)) => return refuse(refusal),
            Some(output) => output,
            None => return refuse(ended_silently()),
        };
        let request_id = session.request_id();
        let first = self.chunk(first);
        let stream = AnswerStream {
            answer: self,
            session,
            _pass: pass,
        };
        let rest = slow_callers.watch(stream);
        HttpResponse::Ok()
            .content_type("text/event-stream")
            .insert_header((header::CACHE_CONTROL, "no-cache"))
            .insert_header(("x-request-id", request_id.to_string()))
            .streaming(stream::iter([Ok(first)]).chain(rest))
    }

    fn chunk(&mut self, output: Output) -> Bytes {
        let mut out = BytesMut::new();
        match output {
            Output::Token(text) => {
                self.delivered += 1;
                self.writer.token(&text, &mut out);
            }
            Output::Discard => {}
            Output::Complete(completion) => {
                let usage = self.include_usage.then(|| self.usage(completion));
                let finish = self.finish_reason(completion);
                self.writer.complete(finish, usage, &mut out);
            }
            Output::Failed(refusal) => {
                let refusal = with_retry_after(refusal);
                self.writer.failed(&refusal, self.delivered, &mut out);
            }
        }
        out.freeze()
    }

    /// Collects the whole answer.
    pub(crate) async fn whole(self, mut session: Session) -> HttpResponse {
        let mut text = String::new();
        while let Some(output) = session.next().await {
            match output {
                Output::Token(token) => text.push_str(&token),
                Output::Discard => text.clear(),
                Output::Complete(completion) => {
                    return self.whole_answer(&text, completion, session.request_id());
                }
                Output::Failed(refusal) => return refuse(refusal),
            }
        }
        refuse(Refusal::unknown(
            Code::Internal,
            "the session ended silently",
        ))
    }

    fn whole_answer(&self, text: &str, completion: Completion, id: RequestId) -> HttpResponse {
        let finish = self.finish_reason(completion);
        let body = self.writer.whole(text, finish, self.usage(completion));
        HttpResponse::Ok()
            .content_type("application/json")
            .insert_header(("x-request-id", id.to_string()))
            .body(body)
    }

    fn usage(&self, completion: Completion) -> Usage {
        Usage::new(
            self.prompt_tokens,
            completion.output_tokens,
            completion.cached_prompt_tokens,
        )
    }

    fn finish_reason(&self, completion: Completion) -> FinishReason {
        if completion.output_tokens >= self.max_output_tokens {
            FinishReason::Length
        } else {
            FinishReason::Stop
        }
    }
}

/// An answer that is being streamed.
pub(crate) struct AnswerStream {
    answer: Answer,
    session: Session,
    _pass: Pass,
}

impl AnswerStream {
    /// The next bytes for the caller; `None` after the terminal event.
    pub(crate) async fn next(&mut self) -> Option<Bytes> {
        let output = self.session.next().await?;
        Some(self.answer.chunk(output))
    }

    /// Gives up on a caller who doesn't read: the generation is cancelled, and what the caller
    /// reads in the end is an explicit failure.
    pub(crate) fn give_up(mut self) -> Option<Bytes> {
        let output = self.session.give_up_slow_caller()?;
        Some(self.answer.chunk(output))
    }
}

fn ended_silently() -> Refusal {
    Refusal::unknown(Code::Internal, "the session ended silently")
}
