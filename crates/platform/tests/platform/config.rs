//! Parsing and validation of the configuration and its settings.

use cloverstile::parse_settings;
use cloverstile_platform::config::{flatten_settings, parse, Config, ConfigError};
use serde_json::{json, Value};

const SETTINGS: &str = r#"{"Balancers":3,"Discovery":"push","FamilyInfo":{"CallsOut":28,"KindBatch":[1,4],"Notes":"a: b, c"},
 "Lanes":[{"Name":"notice","Effect":"idempotency_key","Aim":3000000000,"OneAtATime":true},{"Name":"pay","Effect":"non_idempotent"}],
 "Projects":[],"Report":{"Fields":["x0","x1"]},"Rules":{"ColdFrom":0.16},"Zones":["z"],"MachineTypes":["banks","other"]}"#;

#[test]
fn nested_settings_flatten_to_the_simulator_format() {
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

/// Settings that contain every required setting.
fn complete_settings() -> Value {
    let class = |name: &str, effect: &str| {
        json!({"Name": name, "Effect": effect, "Group": "all", "Aim": 3_000_000_000u64,
            "Deadline": 24_000_000_000u64, "RepeatWindow": 10_000_000_000u64, "Worth": 1.0, "LateShare": 0.5})
    };
    json!({
        "Balancers": 3, "ClientHabits": {"MarksRetry": true}, "Discovery": "push", "Locality": 0,
        "FamilyInfo": {"CallsOut": 28, "Decay": "line", "KindBatch": [1, 4], "OwnLimits": [false, true]},
        "Lanes": [class("notice", "idempotency_key"), class("pay", "non_idempotent")], "OverShareWorth": 0.1,
        "MachineTypes": ["banks", "other"], "Zones": ["z"], "WeightSource": "nominal",
        "Permissions": {"Cancel": true, "ConnIdle": 15_000_000_000u64, "ConnectTimeout": 1_000_000_000u64, "MostHeld": 519,
            "RetryAfter": true, "MaxRetryAfter": 2_000_000_000u64, "SendCap": 8},
        "Projects": [{"Name": "a", "QuotaPerS": 10.0, "Fraction": 0.3}],
        "Rules": {"AnswerSlack": 20_000_000, "AskEvery": 10_000_000_000u64, "Cold": 14_000_000_000u64, "ColdFrom": 0.16,
            "Fall": 2_000_000_000u64, "TipMultiple": 2.5},
    })
}

/// JSON pointers to all required settings.
const REQUIRED: &[&str] = &[
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

/// Path of a setting as error messages state it.
fn path_of(pointer: &str) -> String {
    pointer[1..].replace('/', ".")
}

/// Parses a configuration with these settings; on failure, returns the error message.
fn parse_with(settings: &Value) -> Result<(), String> {
    let text =
        format!(r#"{{"name":"n3","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{settings}}}"#);
    parse(&text).map(|_| ()).map_err(|error| error.to_string())
}

/// Required settings have no defaults: each one that is missing or null is rejected, and the error states its path.
#[test]
fn missing_or_null_setting_is_rejected_with_its_path() {
    assert_eq!(parse_with(&complete_settings()), Ok(()));
    for pointer in REQUIRED {
        let (parent, name) = pointer.rsplit_once('/').unwrap();
        let mut without_setting = complete_settings();
        without_setting.pointer_mut(parent).unwrap().as_object_mut().unwrap().remove(name);
        let mut null_setting = complete_settings();
        *null_setting.pointer_mut(pointer).unwrap() = Value::Null;
        for settings in [without_setting, null_setting] {
            let error = parse_with(&settings).expect_err(pointer);
            assert!(error.contains(&path_of(pointer)) && error.contains("missing"), "{pointer}: {error}");
        }
    }
}

#[test]
fn invalid_setting_value_is_rejected_with_its_path_and_value() {
    let invalid_values = [
        ("/Balancers", json!(0)),
        ("/FamilyInfo/CallsOut", json!(0)),
        ("/Permissions/SendCap", json!(0)),
        ("/Permissions/MostHeld", json!(-3)),
        ("/Permissions/Cancel", json!("perhaps")),
        ("/Lanes/1/Aim", json!(0)),
        ("/Lanes/0/LateShare", json!(1.5)),
        ("/Lanes/0/Worth", json!("NaN")),
        ("/Lanes/0/Effect", json!("often")),
        ("/Rules/TipMultiple", json!(0.0)),
        ("/Rules/TipMultiple", json!("inf")),
        ("/Rules/Fall", json!(1.5)),
        ("/WeightSource", json!("felt")),
    ];
    for (pointer, value) in invalid_values {
        let mut settings = complete_settings();
        *settings.pointer_mut(pointer).unwrap() = value.clone();
        let error = parse_with(&settings).expect_err(pointer);
        let value = value.as_str().map_or(value.to_string(), str::to_owned);
        assert!(error.contains(&path_of(pointer)) && error.contains(&value), "{pointer}: {error}");
    }
}

/// Settings documented as optional may be absent, and so may settings that matter only for certain values of another
/// setting.
#[test]
fn optional_setting_may_be_absent_unless_another_setting_requires_it() {
    for (parent, name) in [("/Projects", ""), ("/Rules", "AskEvery"), ("/Lanes/1", "RepeatWindow")] {
        let mut settings = complete_settings();
        match settings.pointer_mut(parent).unwrap() {
            Value::Array(items) => items.clear(),
            object => drop(object.as_object_mut().unwrap().remove(name)),
        }
        assert_eq!(parse_with(&settings), Ok(()), "{parent} {name}");
    }
    let mut settings = complete_settings();
    settings["Discovery"] = "ask".into();
    settings["Rules"].as_object_mut().unwrap().remove("AskEvery");
    assert!(parse_with(&settings).unwrap_err().contains("Rules.AskEvery"));
}

#[test]
fn invalid_configuration_is_rejected_with_the_field_name() {
    let parse_with_fields = |listen: &str, fields: &str| {
        parse(&format!(
            r#"{{"name":"n3","listen":"{listen}","discovery":"127.0.0.1:8500",{fields}"settings":{}}}"#,
            complete_settings()
        ))
    };
    let config =
        parse_with_fields("127.0.0.1:6379", r#""seed":"8c1f30d27a5be964","limits":{"sockets":300},"#)
            .unwrap();
    assert_eq!((config.seed, config.limits.sockets), (Some(0x8c1f_30d2_7a5b_e964), 300));
    assert_eq!(
        (config.names.classes, config.names.kinds),
        (vec!["notice".to_owned(), "pay".into()], vec!["banks".to_owned(), "other".into()])
    );
    let assert_error_contains = |parsed: Result<Config, ConfigError>, expected: &str| {
        let text = parsed.unwrap_err().to_string();
        assert!(text.contains(expected), "{text}");
    };
    assert_error_contains(parse_with_fields("here", ""), "listen");
    assert_error_contains(parse_with_fields("127.0.0.1:1", r#""seed":"xyz","#), "seed");
    assert_error_contains(parse_with_fields("127.0.0.1:1", r#""limits":{"sockets":-1},"#), "-1");
    assert_error_contains(parse(r#"{"name":"n"}"#), "listen");
    assert_error_contains(parse("not json"), "line 1");
    let invalid_settings = complete_settings().to_string().replace("push", "pray");
    let other_fields = r#""name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2""#;
    assert_error_contains(
        parse(&format!(r#"{{{other_fields},"settings":{invalid_settings}}}"#)),
        "Discovery",
    );
}
