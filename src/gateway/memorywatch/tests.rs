use super::Level;
use super::parse_resident;

#[test]
fn the_resident_memory_is_read_in_kilobytes() {
    assert_eq!(
        parse_resident("Name:\tx\nVmRSS:\t    7052 kB\n"),
        Some(7_052 * 1_024)
    );
    assert_eq!(parse_resident("Name:\tx\n"), None);
    assert_eq!(parse_resident("VmRSS:\tmany kB\n"), None);
}

#[test]
fn a_level_changes_once_at_each_bound() {
    let levels: Vec<Level> = [70, 76, 70, 66, 64, 70]
        .into_iter()
        .scan(Level::Usual, |level, share| {
            *level = level.next(share, 100);
            Some(*level)
        })
        .collect();

    use Level::High;
    use Level::Usual;
    assert_eq!(levels, [Usual, High, High, High, Usual, Usual]);
}
