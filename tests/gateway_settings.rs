//! Validation of gateway settings: every invalid value is reported before the
//! settings are used.

use std::fs;

use bluebelldrift::gateway::GatewaySettings;
use serde_json::{Value, json};

fn read(value: &Value) -> Result<GatewaySettings, String> {
    let dir = tempfile::tempdir().expect("temporary directory");
    let file = dir.path().join("settings.json");
    fs::write(&file, value.to_string()).expect("write settings");
    GatewaySettings::read(&file).map_err(|e| e.to_string())
}

#[test]
fn the_example_is_valid_and_unknown_fields_are_ignored() {
    let mut value =
        serde_json::to_value(GatewaySettings::example()).expect("the settings serialize as JSON");
    value["new"] = json!(1);
    assert_eq!(read(&value), Ok(GatewaySettings::example()));
}

#[test]
fn all_invalid_values_are_reported_at_once() {
    let mut value =
        serde_json::to_value(GatewaySettings::example()).expect("the settings serialize as JSON");
    value["bounds"]["stop_grace_s"] = json!(-1.0);
    value["bounds"]["retry_share"] = json!(-0.1);
    value["ip"] = json!("here");
    let error = read(&value).expect_err("invalid settings");
    for path in ["/bounds/stop_grace_s", "/bounds/retry_share", "/ip"] {
        assert!(error.contains(path), "{path} is not in {error}");
    }
}

#[test]
fn a_missing_field_is_reported_as_a_parse_error() {
    let error = read(&json!({"name": "a"})).expect_err("a parse error");
    assert!(
        error.contains("step=parse_settings") && error.contains("missing field"),
        "{error}"
    );
}

/// Guards against settings of deployments without rollouts that are refused, or written with a
/// field that older daemons do not know.
#[test]
fn rollouts_are_optional() {
    let example =
        serde_json::to_value(GatewaySettings::example()).expect("the settings serialize as JSON");
    assert_eq!(example.get("rollouts"), None);
    let read = read(&example).expect("valid settings");
    assert_eq!(read.rollouts, None);
}

/// Guards against bounds of rollouts that no count of requests can be compared with.
#[test]
fn invalid_bounds_of_rollouts_are_reported() {
    let mut value =
        serde_json::to_value(GatewaySettings::example()).expect("the settings serialize as JSON");
    let valid = json!({"exposure_share": 0.1, "exposure_slack": 50, "rollback_ms": 5000});
    value["rollouts"] = valid;
    let rollouts = read(&value).expect("valid settings").rollouts;
    assert_eq!(rollouts.map(|r| r.rollback_ms), Some(5_000));
    for (field, invalid) in [
        ("exposure_share", json!(1.1)),
        ("exposure_share", json!(-0.1)),
        ("exposure_slack", json!(-1)),
    ] {
        let mut value = value.clone();
        value["rollouts"][field] = invalid;
        let error = read(&value).expect_err("invalid settings");
        assert!(error.contains(&format!("/rollouts/{field}")), "{error}");
    }
    value["rollouts"]["rollback_ms"] = json!(-1);
    read(&value).expect_err("a negative time");
}
