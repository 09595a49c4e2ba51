use super::Gate;
use crate::id::RequestId;

#[test]
fn a_gate_stays_open_while_a_request_is_in_flight() {
    let gate = Gate::new();
    let pass = gate.enter_if_open(RequestId::generate());

    let is_closed = gate.close_if_idle();
    let later = gate.enter_if_open(RequestId::generate());

    assert!(pass.is_some());
    assert!(!is_closed);
    assert!(later.is_some());
    assert_eq!(gate.in_flight(), 2);
}

#[test]
fn an_idle_gate_closes_and_lets_nothing_in() {
    let gate = Gate::new();
    drop(gate.enter_if_open(RequestId::generate()));

    let is_closed = gate.close_if_idle();
    let later = gate.enter_if_open(RequestId::generate());

    assert!(is_closed);
    assert!(later.is_none());
    assert_eq!(gate.in_flight(), 0);
}

#[test]
fn a_gate_closed_under_requests_lets_nothing_in_and_counts_them_until_they_end() {
    let gate = Gate::new();
    let pass = gate.enter_if_open(RequestId::generate());

    gate.close();
    let later = gate.enter_if_open(RequestId::generate());
    let in_flight = gate.in_flight();
    drop(pass);

    assert!(later.is_none());
    assert_eq!(in_flight, 1);
    assert_eq!(gate.in_flight(), 0);
    assert!(gate.close_if_idle());
}
