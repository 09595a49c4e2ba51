use super::InstanceId;
use crate::id::UpstreamId;

fn instance(born_ms: Option<u64>) -> InstanceId {
    InstanceId::new(UpstreamId::new("a"), born_ms)
}

#[test]
fn instances_of_one_upstream_have_different_keys() {
    let keys = [None, Some(1), Some(2)].map(|born_ms| instance(born_ms).key());

    assert!(keys[0] != keys[1] && keys[1] != keys[2] && keys[0] != keys[2]);
}

#[test]
fn an_instance_is_displayed_as_its_upstream_id() {
    assert_eq!(instance(Some(1)).to_string(), "a");
    assert_eq!(instance(Some(1)).as_str(), "a");
}
