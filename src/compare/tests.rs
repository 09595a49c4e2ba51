use crate::compare::PolicyName;

#[test]
fn policy_names_parse_back() {
    for name in PolicyName::ALL {
        let parsed: PolicyName = name.as_str().parse().unwrap();

        assert_eq!(parsed, name);
    }
}

#[test]
fn unknown_policy_is_refused_with_the_known_ones() {
    let error = "random".parse::<PolicyName>().unwrap_err();

    assert!(error.to_string().contains("least-requests"));
}
