use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderValue;
use http::header::AUTHORIZATION;

use super::Caller;
use super::identify;
use crate::gateway::configuration::CallerLimits;
use crate::gateway::configuration::Configuration;
use crate::gateway::configuration::Customer;
use crate::gateway::route::Route;
use crate::gateway::route::RouteKind;
use crate::gateway::route::RouteTable;
use crate::id::CustomerId;

fn route(public: bool) -> Route {
    Route {
        name: "nets".to_owned(),
        host: "a.example".to_owned(),
        path_prefix: "/".to_owned(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_secs(1),
        priority: 0,
        targets: Vec::new(),
        attempts: 1,
        public,
        regions: None,
    }
}

fn customer() -> Arc<Customer> {
    Arc::new(Customer {
        name: CustomerId::new("canton"),
        priority: Some(1),
        weight: 1,
        regions: None,
    })
}

fn configuration(with_keys: bool) -> Configuration {
    let customers = HashMap::from([("key-1".to_owned(), customer())]);
    Configuration {
        version: 1,
        routes: RouteTable::default(),
        services: HashMap::new(),
        limits: CallerLimits {
            header_bytes_max: 1_000,
            body_bytes_max: 1_000,
            header_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(1),
        },
        customers: with_keys.then_some(customers),
    }
}

fn caller(with_keys: bool, public: bool, authorization: Option<&'static str>) -> Caller {
    let mut headers = HeaderMap::new();
    if let Some(text) = authorization {
        headers.insert(AUTHORIZATION, HeaderValue::from_static(text));
    }
    identify(&configuration(with_keys), &route(public), &headers, "Token")
}

#[test]
fn a_key_identifies_its_customer() {
    let known = Caller::Known(customer());

    assert_eq!(caller(true, false, Some("Token key-1")), known);
    assert_eq!(caller(true, false, Some("token  key-1")), known);
}

#[test]
fn other_keys_and_schemes_are_unauthorized() {
    for authorization in [
        None,
        Some("Token key-2"),
        Some("Bearer key-1"),
        Some("key-1"),
    ] {
        assert_eq!(
            caller(true, false, authorization),
            Caller::Unauthorized,
            "{authorization:?}"
        );
    }
}

#[test]
fn public_routes_and_configurations_without_keys_need_none() {
    assert_eq!(caller(true, true, None), Caller::Anonymous);
    assert_eq!(caller(false, false, None), Caller::Anonymous);
}
