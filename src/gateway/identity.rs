//! Second filter of a request: identifies its customer by the API key.

use std::sync::Arc;

use http::HeaderMap;
use http::header::AUTHORIZATION;

use crate::gateway::configuration::Configuration;
use crate::gateway::configuration::Customer;
use crate::gateway::route::Route;

/// The caller of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Caller {
    /// The customer that the key belongs to.
    Known(Arc<Customer>),
    /// No customer: the route is public, or the configuration has no keys.
    Anonymous,
    /// The key is missing or belongs to no customer.
    Unauthorized,
}

/// Identifies the caller by the key in the `Authorization` header.
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

/// Returns the key after `scheme`, which is compared without regard to case.
fn parse_key<'v>(value: &'v str, scheme: &str) -> Option<&'v str> {
    let (given, key) = value.trim().split_once(' ')?;
    given.eq_ignore_ascii_case(scheme).then(|| key.trim())
}

#[cfg(test)]
mod tests;
