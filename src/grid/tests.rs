use crate::compare::PolicyName;
use crate::grid::GridOptions;
use crate::grid::median;
use crate::grid::medians;
use crate::grid::ratios;
use crate::grid::run;
use crate::preset::Preset;

#[test]
fn grid_has_a_row_for_each_preset_load_and_policy() {
    let options = GridOptions {
        presets: vec![Preset::hoher_grat()],
        loads: vec![0.5, 0.8],
        seeds: 2,
        duration_ms: 5_000,
        policies: vec![PolicyName::LeastRequests, PolicyName::Oracle],
        ..GridOptions::default()
    };

    let cells = run(&options, || {});

    assert_eq!(medians(&cells).lines().count(), 2 + 4);
    let ratios = ratios(&cells, PolicyName::Oracle, PolicyName::Oracle);
    assert!(
        ratios
            .lines()
            .skip(2)
            .all(|row| row.contains("1.000 (1.000–1.000)"))
    );
}

#[test]
fn median_is_the_middle_value() {
    assert_eq!(median(vec![9.0, 1.0, 5.0]), 5.0);
    assert!(median(Vec::new()).is_nan());
}
