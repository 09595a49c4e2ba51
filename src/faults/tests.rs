use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use crate::faults::Fault;
use crate::faults::faults;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(dead_code)]
struct Outer {
    name: String,
    inner: Inner,
    #[serde(default)]
    list: Vec<Inner>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(dead_code)]
struct Inner {
    size_bytes: u32,
    mode: Mode,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Mode {
    Fast,
    Slow,
}

fn sample() -> Value {
    let inner = json!({"size_bytes": 1, "mode": "fast"});
    json!({"name": "a", "inner": inner, "list": [inner]})
}

fn told(value: Value) -> Vec<String> {
    faults::<Outer>(&value, &sample())
        .iter()
        .map(Fault::to_string)
        .collect()
}

#[test]
fn a_valid_value_has_none() {
    assert_eq!(told(sample()), Vec::<String>::new());
}

#[test]
fn every_fault_is_told_with_its_path_value_and_what_is_allowed() {
    let value = json!({
        "nmae": "a",
        "inner": {"size_bytes": -1, "mode": "quick"},
        "list": [
            {"size_bytes": 1, "mode": "slow"},
            {"size_bytes": "big", "mode": "slow", "extra": 1},
        ],
    });

    let mut told = told(value);

    told.sort();
    let expected = [
        "inner.mode: \"quick\"; allowed: `fast` or `slow`",
        "inner.size_bytes: -1; allowed: u32",
        "list[1].extra: 1; allowed: a field that is `size_bytes` or `mode`",
        "list[1].size_bytes: \"big\"; allowed: u32",
        "name: missing; allowed: a value; the field is required",
        "nmae: \"a\"; allowed: a field that is one of `name`, `inner`, `list`",
    ];
    assert_eq!(told, expected);
}

#[test]
fn a_value_of_the_wrong_shape_is_one_fault() {
    let told = told(json!(5));

    assert_eq!(told, ["(whole file): 5; allowed: struct Outer"]);
}
