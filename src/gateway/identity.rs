//! Second filter: whose request it is.

use std::sync::Arc;

use http::HeaderMap;
use http::header::AUTHORIZATION;

use crate::gateway::configuration::Configuration;
use crate::gateway::configuration::Customer;
use crate::gateway::route::Route;

/// Whose request it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Caller {
    /// The customer that holds the key.
    Known(Arc<Customer>),
    /// Nobody in particular: the route is public or keys are not used.
    Anonymous,
    /// The key is missing or names no customer.
    Unauthorized,
}

/// Looks the caller's key up.
pub fn identify(
    configuration: &Configuration,
    route: &Route,
    headers: &HeaderMap,
    scheme: &str,
) -> Caller {
    let Some(customers) = &configuration.customers else {
        return Caller::Anonymous;
    };
    if route.public {
        return Caller::Anonymous;
    }
    let key = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| parse_key(value, scheme));
    match key.and_then(|key| customers.get(key)) {
        Some(customer) => Caller::Known(customer.clone()),
        None => Caller::Unauthorized,
    }
}

/// The key after the scheme, whose case doesn't matter.
fn parse_key<'v>(value: &'v str, scheme: &str) -> Option<&'v str> {
    let (given, key) = value.trim().split_once(' ')?;
    given.eq_ignore_ascii_case(scheme).then(|| key.trim())
}

#[cfg(test)]
mod tests;
