//! The plain service's stand-in as a process: its echo, its counts and its faults.

mod tester;

use crate::tester::Service;
use crate::tester::http_agent;
use cedargauge::standin_service::Echo;
use cedargauge::standin_service::KeyRuns;
use cedargauge::standin_service::ServiceFault;

fn call(service: &Service, key: &str) -> Result<Echo, ureq::Error> {
    let url = format!("http://{}/shifts/7", service.address);
    let request = http_agent().post(&url).header("idempotency-key", key);
    request.send("body")?.body_mut().read_json()
}

#[test]
fn a_call_is_echoed_and_counted_by_its_key() {
    let service = Service::start();

    let first = call(&service, "k").unwrap();
    let second = call(&service, "k").unwrap();

    assert_eq!(first.path, "/shifts/7");
    assert_eq!(first.body, "body");
    assert_eq!([first.ran, second.ran], [1, 2]);
}

#[test]
fn a_call_that_is_reset_has_run() {
    let service = Service::start();

    service.fault(&ServiceFault::ResetAfterRun { count: 1 });
    let answer = call(&service, "k");

    let expected = KeyRuns {
        key: "k".to_owned(),
        ran: 1,
    };
    assert!(answer.is_err());
    assert_eq!(service.counters().keys, [expected]);
}
