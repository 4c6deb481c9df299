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
