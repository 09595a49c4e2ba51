use super::LoadReport;

fn report(incarnation: u64, preemptions_total: u64) -> LoadReport {
    LoadReport {
        incarnation,
        preemptions_total,
        ..LoadReport::default()
    }
}

#[test]
fn preemptions_count_from_the_earlier_report() {
    let earlier = report(1, 40);

    assert_eq!(report(1, 47).preemptions_since(&earlier), 7);
    assert_eq!(report(1, 39).preemptions_since(&earlier), 0);
}

#[test]
fn a_restarted_engine_counts_from_nothing() {
    let earlier = report(1, 40);

    assert_eq!(report(2, 3).preemptions_since(&earlier), 3);
}
