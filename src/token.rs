//! Bearer tokens of the administration API and what their holders may do.

use serde::Deserialize;
use serde::Serialize;

use crate::adminapi::AdminCode;
use crate::table::key_sha256;

/// What a token's holder may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Read the table and its history.
    Viewer,
    /// Edit the table as well.
    Editor,
}

/// A token of the administration API.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Token {
    /// Who holds it: the author of the edits made with it.
    pub name: String,
    /// What its holder may do.
    pub role: Role,
    /// SHA-256 of the token in hexadecimal. Tokens are never stored.
    pub token_sha256: String,
}

/// The token of an `Authorization` header, if it allows what `needed` does.
pub(crate) fn authorize<'a>(
    tokens: &'a [Token],
    authorization: Option<&str>,
    needed: Role,
) -> Result<&'a Token, AdminCode> {
    let text = authorization.and_then(|text| text.strip_prefix("Bearer "));
    let hash = key_sha256(text.ok_or(AdminCode::Unauthorized)?);
    let token = tokens.iter().find(|token| token.token_sha256 == hash);
    match token.ok_or(AdminCode::Unauthorized)? {
        token if token.role >= needed => Ok(token),
        _ => Err(AdminCode::Forbidden),
    }
}

#[cfg(test)]
mod tests;
