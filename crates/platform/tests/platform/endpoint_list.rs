//! How the endpoint list applies discovery responses.

use cloverstile::{DestinationId, EndpointId, EndpointState};
use cloverstile_platform::config::SettingNames;
use cloverstile_platform::endpoint_list::EndpointList;
use cloverstile_platform::endpoint_list_response::EndpointListResponse;

fn response(is_snapshot: bool, entries: &[(&str, u16, &str, u16)]) -> EndpointListResponse {
    let instances: Vec<String> = entries
        .iter()
        .map(|(id, port, lifecycle, cell)| {
            format!(r#"{{"instanceId":"{id}","hostPort":"127.0.0.1:{port}","zone":"a","machineType":"m","cell":{cell},"lifecycle":"{lifecycle}","weight":2.5,"startedAtMs":0}}"#)
        })
        .collect();
    serde_json::from_str(&format!(
        r#"{{"generation":4,"reset":{is_snapshot},"instances":[{}]}}"#,
        instances.join(",")
    ))
    .unwrap()
}

#[test]
fn endpoint_list_applies_snapshots_changes_and_reused_addresses() {
    let names = SettingNames {
        kinds: vec!["l".into(), "m".into()],
        zones: vec!["a".into()],
        ..SettingNames::default()
    };
    let mut list = EndpointList::default();
    list.apply(&response(true, &[("s1", 1, "SERVING", 3), ("s2", 2, "SERVING", 3)]), &names);
    let port = |list: &EndpointList, id| list.address(EndpointId(id)).map(|address| address.port());
    assert_eq!((port(&list, 1), port(&list, 2)), (Some(1), Some(2)));
    assert_eq!((list.endpoints()[0].kind.0, list.endpoints()[0].weight), (1, 2.5));
    // s1 drains at a new address, s2 is deleted, and s3 is a different endpoint that reuses the address of s2.
    let invalid_ids = list.apply(
        &response(
            false,
            &[
                ("s1", 5, "DRAINING", 3),
                ("s2", 2, "DELETED", 3),
                ("s3", 2, "SERVING", 4),
                ("s4", 2, "ODD", 4),
            ],
        ),
        &names,
    );
    assert_eq!((invalid_ids, list.endpoints().len()), (vec!["s4".to_owned()], 2));
    assert_eq!((port(&list, 1), port(&list, 2), port(&list, 3)), (Some(5), None, Some(2)));
    assert_eq!(list.endpoints()[0].state, EndpointState::Draining);
    list.apply(&response(true, &[("s3", 2, "SERVING", 4)]), &names);
    assert_eq!((list.endpoints().len(), port(&list, 1)), (1, None));
    // A destination stays known while its endpoints are being replaced.
    assert!(list.has_destination(DestinationId(3)) && !list.has_destination(DestinationId(9)));
}
