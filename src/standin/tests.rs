use super::count_key;
use super::directive;
use super::output_text;
use super::output_tokens;
use super::token_text;

#[test]
fn directives_end_at_white_space_or_a_quote() {
    let prompt = "Report on net 7 #key=net-7 \"#tokens=12\"";

    assert_eq!(directive(prompt, "key"), Some("net-7"));
    assert_eq!(directive(prompt, "tokens"), Some("12"));
    assert_eq!(directive(prompt, "to"), None);
}

#[test]
fn a_prompt_decides_its_output() {
    assert_eq!(output_tokens("short #tokens=3"), 3);
    assert_eq!(output_tokens("free"), output_tokens("free"));
    assert!((20..200).contains(&output_tokens("free")));
}

#[test]
fn tokens_differ_by_prompt_and_index() {
    assert_ne!(token_text("a", 0), token_text("b", 0));
    assert_ne!(token_text("a", 0), token_text("a", 1));
    assert_eq!(
        output_text("a", 2),
        token_text("a", 0) + &token_text("a", 1)
    );
}

#[test]
fn texts_without_a_key_are_counted_by_hash() {
    assert_eq!(count_key("x #key=k1 y"), "k1");
    assert_ne!(count_key("x"), count_key("y"));
}
