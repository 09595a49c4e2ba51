//! Fingerprints of requests by their content: two requests with one fingerprint ask the same of an
//! upstream for the same customer, whatever ids they bear. Parts that requests share have their own.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::error::Error;
use crate::error::Result;
use crate::id::CustomerId;
use crate::id::ServiceId;

/// Bytes of a fingerprint. Nobody can make two contents with one fingerprint: that takes 2^64 tries.
const BYTES: usize = 16;
/// Bytes of it that logs show, in hexadecimal digits.
const SHOWN_BYTES: usize = 8;

/// What identifies a request beside its id.
#[derive(Debug, Clone, Copy)]
pub struct Content<'a> {
    /// Whose it is; none where customers are not told apart.
    pub customer: Option<&'a CustomerId>,
    /// The method.
    pub method: &'a str,
    /// The host that the caller named.
    pub authority: &'a str,
    /// Path and query as they came.
    pub target: &'a str,
    /// The body.
    pub body: &'a [u8],
}

/// A digest of a request's content, from which the content can't be told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint([u8; BYTES]);

impl Fingerprint {
    /// The first one in their order.
    pub const MIN: Fingerprint = Fingerprint([0; BYTES]);

    /// All of its digits, in hexadecimal.
    pub fn to_hex(self) -> String {
        format!("{:032x}", u128::from_be_bytes(self.0))
    }

    /// The fingerprint of a request.
    pub fn of(content: &Content<'_>) -> Self {
        let mut hasher = blake3::Hasher::new();
        let customer = content.customer.map_or("", CustomerId::as_str);
        let head = [customer, content.method, content.authority, content.target];
        for part in head {
            // The length keeps the end of one part from being taken for the start of the next.
            hasher.update(&part.len().to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(content.body);
        Fingerprint::from_hasher(&hasher)
    }

    /// The fingerprint of a part of the prompts that requests of a service share.
    pub fn of_part(service: &ServiceId, id: &str) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(PARTS_CONTEXT);
        let service = service.as_str();
        hasher.update(&service.len().to_le_bytes());
        hasher.update(service.as_bytes());
        hasher.update(id.as_bytes());
        Fingerprint::from_hasher(&hasher)
    }

    fn from_hasher(hasher: &blake3::Hasher) -> Self {
        let mut bytes = [0; BYTES];
        hasher.finalize_xof().fill(&mut bytes);
        Fingerprint(bytes)
    }
}

/// The domain of the hashes of parts, which no content's hash shares.
const PARTS_CONTEXT: &str = "cedargauge prompt part";

/// Its first digits, as logs show it.
impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let shown = self.0.iter().take(SHOWN_BYTES);
        shown
            .into_iter()
            .try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// From all of its digits.
impl FromStr for Fingerprint {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        // The standard library's reader takes a sign as well.
        let is_digits = text.len() == 2 * BYTES && !text.starts_with('+');
        let number = u128::from_str_radix(text, 16);
        number
            .ok()
            .filter(|_| is_digits)
            .map(|number| Fingerprint(number.to_be_bytes()))
            .ok_or_else(|| Error::Fingerprint(text.to_owned()))
    }
}

#[cfg(test)]
mod tests;
