use super::CallerConnections;

const MAX: usize = 8;

#[test]
fn connections_over_the_bound_are_not_admitted_until_others_end() {
    let connections = CallerConnections::new(MAX);
    let mut open: Vec<_> = (0..MAX).map(|_| connections.admit()).collect();

    let refused = [connections.admit(), connections.admit()];
    open.pop();
    let admitted = connections.admit();

    assert!(open.iter().all(Option::is_some));
    assert!(refused.iter().all(Option::is_none));
    assert!(admitted.is_some());
}

#[test]
fn a_host_is_crowded_above_half_of_the_bound() {
    let connections = CallerConnections::new(MAX);
    let mut open: Vec<_> = (0..MAX / 2).map(|_| connections.admit()).collect();

    let at_half = connections.is_crowded();
    open.push(connections.admit());

    assert!(!at_half);
    assert!(connections.is_crowded());
    drop(open);
    assert!(!connections.is_crowded());
}
