use super::Role;
use super::Token;
use super::authorize;
use crate::adminapi::AdminCode;
use crate::table::key_sha256;

#[test]
fn a_token_allows_what_its_role_does_and_no_more() {
    let tokens = [token("vera", Role::Viewer), token("ed", Role::Editor)];

    let viewer_reads = authorize(&tokens, Some("Bearer vera"), Role::Viewer);
    let viewer_edits = authorize(&tokens, Some("Bearer vera"), Role::Editor);
    let editor_reads = authorize(&tokens, Some("Bearer ed"), Role::Viewer);
    let editor_edits = authorize(&tokens, Some("Bearer ed"), Role::Editor);

    assert!(viewer_reads.is_ok() && editor_reads.is_ok() && editor_edits.is_ok());
    assert_eq!(viewer_edits, Err(AdminCode::Forbidden));
}

#[test]
fn a_missing_an_unknown_and_a_hashed_token_are_refused() {
    let tokens = [token("ed", Role::Editor)];
    let hash = format!("Bearer {}", key_sha256("ed"));

    for header in [
        None,
        Some("ed"),
        Some("Bearer "),
        Some("Bearer x"),
        Some(&hash),
    ] {
        let refused = authorize(&tokens, header, Role::Viewer);

        assert_eq!(refused, Err(AdminCode::Unauthorized), "{header:?}");
    }
}

fn token(text: &str, role: Role) -> Token {
    Token {
        name: text.to_owned(),
        role,
        token_sha256: key_sha256(text),
    }
}
