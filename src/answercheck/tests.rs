use crate::answercheck::AnswerCheck;
use crate::answercheck::CheckedAnswer;
use crate::promise::BrokenPromise;
use crate::promise::TryEnd;
use crate::standin::token_text;

const PROMPT: &str = "a prompt";

fn chunk(text: &str) -> String {
    format!("data: {{\"choices\":[{{\"text\":\"{text}\",\"finish_reason\":null}}]}}\n\n")
}

fn token(index: u32) -> String {
    chunk(&token_text(PROMPT, index))
}

fn end() -> String {
    "data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n"
        .to_owned()
}

fn failure(tokens_delivered: u32) -> String {
    format!(
        "event: error\ndata: {{\"error\":{{\"code\":\"upstream_failed\",\"message\":\"m\",\
         \"ran\":\"yes\",\"tokens_delivered\":{tokens_delivered}}}}}\n\ndata: [DONE]\n\n"
    )
}

fn check(expected_tokens: u32, parts: &[String]) -> CheckedAnswer {
    let mut check = AnswerCheck::new(PROMPT, expected_tokens);
    // Odd pieces: events need not arrive whole.
    for piece in parts.concat().as_bytes().chunks(7) {
        check.feed(piece);
    }
    check.finish()
}

#[test]
fn whole_answer_breaks_nothing() {
    let answer = check(2, &[token(0), token(1), end()]);

    assert_eq!(answer.end, TryEnd::Complete);
    assert_eq!(answer.tokens, 2);
    assert_eq!(answer.broken, Vec::new());
}

#[test]
fn doubled_missing_and_foreign_tokens_are_found() {
    let doubled = check(2, &[token(0), token(0), token(1), end()]);
    let missing = check(3, &[token(0), token(2), end()]);
    let foreign = check(1, &[chunk(&token_text("another", 0)), end()]);

    for answer in [doubled, missing, foreign] {
        let first = &answer.broken[0];
        assert!(
            matches!(first, BrokenPromise::WrongToken { .. }),
            "{first:?}"
        );
    }
}

#[test]
fn short_answer_called_complete_is_not_whole() {
    let answer = check(3, &[token(0), token(1), end()]);

    assert_eq!(
        answer.broken,
        vec![BrokenPromise::AnswerNotWhole {
            tokens: 2,
            expected_tokens: 3
        }]
    );
}

#[test]
fn failure_must_tell_the_tokens_that_came() {
    let honest = check(3, &[token(0), failure(1)]);
    let wrong = check(3, &[token(0), failure(2)]);

    assert!(matches!(honest.end, TryEnd::Failed(_)));
    assert_eq!(honest.broken, Vec::new());
    assert_eq!(
        wrong.broken,
        vec![BrokenPromise::MiscountedFailure {
            told_tokens: 2,
            tokens: 1
        }]
    );
}

#[test]
fn token_after_the_end_is_found() {
    let answer = check(1, &[token(0), end(), token(1)]);

    assert_eq!(answer.broken, vec![BrokenPromise::DataAfterEnd]);
}

#[test]
fn connection_that_just_ends_is_a_cut() {
    let answer = check(2, &[token(0)]);

    assert_eq!(answer.end, TryEnd::Cut);
    assert_eq!(answer.broken, Vec::new());
}
