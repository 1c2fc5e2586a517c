//! Hand-ins, the list and the configuration.

use cloverstile::{parse_settings, Class, DestinationId, Effect, EndpointId, EndpointState, OrderKey, Time};
use cloverstile_platform::client_request::{self, ClientRequest, PutRequest, RequestClasses, RequestError};
use cloverstile_platform::config::{flatten_settings, parse, SettingNames};
use cloverstile_platform::endpoint_list::EndpointList;
use cloverstile_platform::endpoint_list_response::EndpointListResponse;
use std::time::Duration;

fn put(words: &[&[u8]]) -> Result<PutRequest, RequestError> {
    let classes = [
        Class { effect: Effect::Keyed, ..Class::default() },
        Class { effect: Effect::Unsafe, ..Class::default() },
    ];
    let names = ["notice".to_owned(), "payment".to_owned()];
    let words: Vec<Vec<u8>> = words.iter().map(|word| word.to_vec()).collect();
    let classes = RequestClasses { classes: &classes, names: &names };
    match client_request::parse(Time(5), &words, classes, |to| to.0 < 9)? {
        ClientRequest::Put(put) => Ok(*put),
        ClientRequest::Ping => panic!("a ping"),
    }
}

const KEY: &[u8] = b"7f3a9c21e0b4d655";
const ID: &[u8] = b"9b1f03aa5c7e2d41";

#[test]
fn a_hand_in_keeps_all_that_it_says() {
    let body = b"any \r\n bytes \x00\xff";
    let taken = put(&[b"msg.put", KEY, ID, b"c=notice,d=8000,k=5c0f,dest=7,new=1", body]).unwrap();
    assert_eq!((taken.body.as_slice(), taken.idempotency_key.as_deref()), (&body[..], Some(&b"5c0f"[..])));
    let hand_in = &taken.submission;
    assert_eq!(
        (hand_in.order_key, hand_in.destination),
        (Some(OrderKey(0x7f3a_9c21_e0b4_d655)), DestinationId(7))
    );
    assert_eq!(hand_in.deadline, Time(5) + Duration::from_secs(8));
    assert_eq!((hand_in.resubmitted, hand_in.from_lost_instance), (false, false));
    let again = put(&[b"MSG.PUT", b"0000000000000000", ID, b"c=notice,d=1,k=5,dest=0,r=1,again=1", b""])
        .unwrap()
        .submission;
    assert_eq!((again.order_key, again.resubmitted, again.from_lost_instance), (None, true, true));
    // A client hands in again what may not be repeated only where it did not run.
    assert!(
        !put(&[b"MSG.PUT", b"0", ID, b"c=payment,d=1,dest=0,again=1", b""])
            .unwrap()
            .submission
            .from_lost_instance
    );
}

#[test]
fn what_can_t_be_used_is_named_and_taken_nowhere() {
    let field = |fields: &str| match put(&[b"MSG.PUT", KEY, ID, fields.as_bytes(), b""]) {
        Err(RequestError::InvalidField { field, .. }) => field,
        other => panic!("{fields}: {other:?}"),
    };
    for (fields, named) in [
        ("c=unknown,d=8,k=5,dest=7", "c"),
        ("d=8,k=5,dest=7", "c"),
        ("c=notice,d=0,k=5,dest=7", "d"),
        ("c=notice,d=-4,k=5,dest=7", "d"),
        ("c=notice,d=1e3,k=5,dest=7", "d"),
        ("c=notice,k=5,dest=7", "d"),
        ("c=notice,d=99999999999999999999999,k=5,dest=7", "d"),
        ("c=notice,d=8,k=5,dest=9", "dest"),
        ("c=notice,d=8,k=5,dest=-1", "dest"),
        ("c=notice,d=8,k=5,dest=99999", "dest"),
        ("c=notice,d=8,k=5", "dest"),
        ("c=notice,d=8,dest=7", "k"),
        ("c=notice,d=8,k=a b,dest=7", "k"),
        ("c=notice,d=8,k=,dest=7", "k"),
        ("nonsense", "fields"),
    ] {
        assert_eq!(field(fields), named, "{fields}");
    }
    let good: &[u8] = b"c=notice,d=8,k=5,dest=7";
    let long = vec![b'a'; 65];
    for id in [&b""[..], b"a b", b"a\r\nX: 1", &long] {
        assert!(
            matches!(
                put(&[b"MSG.PUT", KEY, id, good, b""]),
                Err(RequestError::InvalidField { field: "id", .. })
            ),
            "{id:?}"
        );
    }
    for key in [&b""[..], b"zz", b"+1", b"11112222333344445"] {
        assert!(
            matches!(
                put(&[b"MSG.PUT", key, ID, good, b""]),
                Err(RequestError::InvalidField { field: "key", .. })
            ),
            "{key:?}"
        );
    }
    assert!(matches!(
        put(&[b"MSG.PUT", KEY, ID, good]),
        Err(RequestError::WrongArgumentCount { command: "MSG.PUT", expected: 4, actual: 3 })
    ));
    assert!(matches!(put(&[b"MSG.GET", ID]), Err(RequestError::UnknownCommand)));
    assert!(matches!(
        put(&[b"MSG.PUT", KEY, ID, good, &vec![0; (64 << 10) + 1]]),
        Err(RequestError::InvalidField { field: "body", .. })
    ));
}

fn answer(reset: bool, entries: &[(&str, u16, &str, u16)]) -> EndpointListResponse {
    let instances: Vec<String> = entries
        .iter()
        .map(|(id, port, lifecycle, cell)| {
            format!(r#"{{"instanceId":"{id}","hostPort":"127.0.0.1:{port}","zone":"a","machineType":"m","cell":{cell},"lifecycle":"{lifecycle}","weight":2.5,"startedAtMs":0}}"#)
        })
        .collect();
    serde_json::from_str(&format!(
        r#"{{"generation":4,"reset":{reset},"instances":[{}]}}"#,
        instances.join(",")
    ))
    .unwrap()
}

#[test]
fn the_list_takes_wholes_and_changes_and_reused_addresses() {
    let names = SettingNames {
        kinds: vec!["l".into(), "m".into()],
        zones: vec!["a".into()],
        ..SettingNames::default()
    };
    let mut list = EndpointList::default();
    list.apply(&answer(true, &[("s1", 1, "SERVING", 3), ("s2", 2, "SERVING", 3)]), &names);
    let port = |list: &EndpointList, id| list.address(EndpointId(id)).map(|address| address.port());
    assert_eq!((port(&list, 1), port(&list, 2)), (Some(1), Some(2)));
    assert_eq!((list.endpoints()[0].kind.0, list.endpoints()[0].weight), (1, 2.5));
    // One drains and moves, one goes, and a new one stands at its address: it is another endpoint.
    let unread = list.apply(
        &answer(
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
    assert_eq!((unread, list.endpoints().len()), (vec!["s4".to_owned()], 2));
    assert_eq!((port(&list, 1), port(&list, 2), port(&list, 3)), (Some(5), None, Some(2)));
    assert_eq!(list.endpoints()[0].state, EndpointState::Draining);
    list.apply(&answer(true, &[("s3", 2, "SERVING", 4)]), &names);
    assert_eq!((list.endpoints().len(), port(&list, 1)), (1, None));
    // A destination whose endpoints are being replaced is still one.
    assert!(list.has_destination(DestinationId(3)) && !list.has_destination(DestinationId(9)));
}

const SETTINGS: &str = r#"{"Balancers":3,"Discovery":"push","FamilyInfo":{"CallsOut":28,"KindBatch":[1,4],"Notes":"a: b, c"},
 "Lanes":[{"Name":"notice","Effect":"idempotency_key","Aim":3000000000,"OneAtATime":true},{"Name":"pay","Effect":"non_idempotent"}],
 "Projects":[],"Report":{"Fields":["x0","x1"]},"Rules":{"ColdFrom":0.16},"Zones":["z"],"MachineTypes":["banks","other"]}"#;

#[test]
fn nested_settings_are_the_lines_of_the_simulator() {
    let nested = parse_settings(&flatten_settings(&serde_json::from_str(SETTINGS).unwrap())).unwrap();
    let flat = "Balancers=3\nDiscovery=push\nFamilyInfo.CallsOut=28\nFamilyInfo.KindBatch=1,4\nFamilyInfo.Notes=a:_b__c\n\
        Lanes.count=2\nLanes.0.Name=notice\nLanes.0.Effect=idempotency_key\nLanes.0.Aim=3000000000\nLanes.0.OneAtATime=true\n\
        Lanes.1.Name=pay\nLanes.1.Effect=non_idempotent\nProjects=\nReport.Fields=x0,x1\nRules.ColdFrom=0.16\nZones=z\nMachineTypes=banks,other\n";
    let flat = parse_settings(flat).unwrap();
    assert_eq!(format!("{:?}", nested.settings), format!("{:?}", flat.settings));
    assert_eq!(
        (nested.remaining_field, nested.limit_field, nested.settings.kinds[1].max_batch),
        (Some(0), Some(1), 4)
    );
}

/// Settings that tell all that is needed.
fn whole() -> serde_json::Value {
    let lane = |name: &str, effect: &str| {
        serde_json::json!({"Name": name, "Effect": effect, "Group": "all", "Aim": 3_000_000_000u64,
            "Deadline": 24_000_000_000u64, "RepeatWindow": 10_000_000_000u64, "Worth": 1.0, "LateShare": 0.5})
    };
    serde_json::json!({
        "Balancers": 3, "ClientHabits": {"MarksRetry": true}, "Discovery": "push", "Locality": 0,
        "FamilyInfo": {"CallsOut": 28, "Decay": "line", "KindBatch": [1, 4], "OwnLimits": [false, true]},
        "Lanes": [lane("notice", "idempotency_key"), lane("pay", "non_idempotent")], "OverShareWorth": 0.1,
        "MachineTypes": ["banks", "other"], "Zones": ["z"], "WeightSource": "nominal",
        "Permissions": {"Cancel": true, "ConnIdle": 15_000_000_000u64, "ConnectTimeout": 1_000_000_000u64, "MostHeld": 519,
            "RetryAfter": true, "MaxRetryAfter": 2_000_000_000u64, "SendCap": 8},
        "Projects": [{"Name": "a", "QuotaPerS": 10.0, "Fraction": 0.3}],
        "Rules": {"AnswerSlack": 20_000_000, "AskEvery": 10_000_000_000u64, "Cold": 14_000_000_000u64, "ColdFrom": 0.16,
            "Fall": 2_000_000_000u64, "TipMultiple": 2.5},
    })
}

/// A setting that is missing, empty or of no use is refused with its path, whichever it is: none is guessed.
#[test]
fn a_setting_that_is_missing_or_of_no_use_is_named() {
    let says = |settings: &serde_json::Value| {
        let text = format!(
            r#"{{"name":"n3","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{settings}}}"#
        );
        parse(&text).map(|_| ()).map_err(|error| error.to_string())
    };
    assert_eq!(says(&whole()), Ok(()));
    let paths = [
        "/Balancers",
        "/ClientHabits/MarksRetry",
        "/Discovery",
        "/FamilyInfo/CallsOut",
        "/FamilyInfo/Decay",
        "/FamilyInfo/KindBatch",
        "/FamilyInfo/OwnLimits",
        "/Lanes",
        "/Lanes/0/Aim",
        "/Lanes/1/Deadline",
        "/Lanes/0/Effect",
        "/Lanes/0/Group",
        "/Lanes/1/LateShare",
        "/Lanes/0/Name",
        "/Lanes/0/RepeatWindow",
        "/Lanes/1/Worth",
        "/Locality",
        "/MachineTypes",
        "/OverShareWorth",
        "/Permissions/Cancel",
        "/Permissions/ConnIdle",
        "/Permissions/ConnectTimeout",
        "/Permissions/MaxRetryAfter",
        "/Permissions/MostHeld",
        "/Permissions/RetryAfter",
        "/Permissions/SendCap",
        "/Projects/0/QuotaPerS",
        "/Rules/AnswerSlack",
        "/Rules/Cold",
        "/Rules/ColdFrom",
        "/Rules/Fall",
        "/Rules/TipMultiple",
        "/WeightSource",
        "/Zones",
    ];
    let named = |pointer: &str| pointer[1..].replace('/', ".");
    for pointer in paths {
        let (at, name) = pointer.rsplit_once('/').unwrap();
        let mut without = whole();
        without.pointer_mut(at).unwrap().as_object_mut().unwrap().remove(name);
        let mut empty = whole();
        *empty.pointer_mut(pointer).unwrap() = serde_json::Value::Null;
        for settings in [without, empty] {
            let told = says(&settings).expect_err(pointer);
            assert!(told.contains(&named(pointer)) && told.contains("missing"), "{pointer}: {told}");
        }
    }
    let of_no_use = [
        ("/Balancers", serde_json::json!(0)),
        ("/FamilyInfo/CallsOut", serde_json::json!(0)),
        ("/Permissions/SendCap", serde_json::json!(0)),
        ("/Permissions/MostHeld", serde_json::json!(-3)),
        ("/Permissions/Cancel", serde_json::json!("perhaps")),
        ("/Lanes/1/Aim", serde_json::json!(0)),
        ("/Lanes/0/LateShare", serde_json::json!(1.5)),
        ("/Lanes/0/Worth", serde_json::json!("NaN")),
        ("/Lanes/0/Effect", serde_json::json!("often")),
        ("/Rules/TipMultiple", serde_json::json!(0.0)),
        ("/Rules/TipMultiple", serde_json::json!("inf")),
        ("/Rules/Fall", serde_json::json!(1.5)),
        ("/WeightSource", serde_json::json!("felt")),
    ];
    for (pointer, value) in of_no_use {
        let mut settings = whole();
        *settings.pointer_mut(pointer).unwrap() = value.clone();
        let told = says(&settings).expect_err(pointer);
        let value = value.as_str().map_or(value.to_string(), str::to_owned);
        assert!(told.contains(&named(pointer)) && told.contains(&value), "{pointer}: {told}");
    }
    // What the pages call optional, or what nothing needs where something else is not set, may be absent.
    for (at, name) in [("/Projects", ""), ("/Rules", "AskEvery"), ("/Lanes/1", "RepeatWindow")] {
        let mut settings = whole();
        match settings.pointer_mut(at).unwrap() {
            serde_json::Value::Array(items) => items.clear(),
            object => drop(object.as_object_mut().unwrap().remove(name)),
        }
        assert_eq!(says(&settings), Ok(()), "{at} {name}");
    }
    let mut asks = whole();
    asks["Discovery"] = "ask".into();
    asks["Rules"].as_object_mut().unwrap().remove("AskEvery");
    assert!(says(&asks).unwrap_err().contains("Rules.AskEvery"));
}

#[test]
fn a_configuration_that_can_t_be_used_names_the_field() {
    let with = |listen: &str, rest: &str| {
        parse(&format!(
            r#"{{"name":"n3","listen":"{listen}","discovery":"127.0.0.1:8500",{rest}"settings":{}}}"#,
            whole()
        ))
    };
    let good = with("127.0.0.1:6379", r#""seed":"8c1f30d27a5be964","limits":{"sockets":300},"#).unwrap();
    assert_eq!((good.seed, good.limits.sockets), (Some(0x8c1f_30d2_7a5b_e964), 300));
    assert_eq!(
        (good.names.classes, good.names.kinds),
        (vec!["notice".to_owned(), "pay".into()], vec!["banks".to_owned(), "other".into()])
    );
    let says = |error: Result<_, cloverstile_platform::config::ConfigError>, word: &str| {
        let text = error.map(|_: cloverstile_platform::config::Config| ()).unwrap_err().to_string();
        assert!(text.contains(word), "{text}");
    };
    says(with("here", ""), "listen");
    says(with("127.0.0.1:1", r#""seed":"xyz","#), "seed");
    says(with("127.0.0.1:1", r#""limits":{"sockets":-1},"#), "-1");
    says(parse(r#"{"name":"n"}"#), "listen");
    says(parse("not json"), "line 1");
    let odd = whole().to_string().replace("push", "pray");
    let head = r#""name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2""#;
    says(parse(&format!(r#"{{{head},"settings":{odd}}}"#)), "Discovery");
}
