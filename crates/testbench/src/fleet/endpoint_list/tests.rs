//! Parsing of the query strings of discovery requests.

use super::query_number;

#[test]
fn query_number_finds_whole_parameter_names_only() {
    let target = "/registry/instances?after=41&wait_ms=20000";
    assert_eq!([query_number(target, "after"), query_number(target, "wait_ms")], [Some(41), Some(20000)]);
    assert_eq!([query_number(target, "wait"), query_number("/registry/instances", "after")], [None, None]);
}
