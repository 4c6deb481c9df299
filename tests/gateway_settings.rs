//! Settings of the gateway are checked whole before use.

use std::fs;

use bluebelldrift::gateway::GatewaySettings;
use serde_json::{Value, json};

fn open(value: &Value) -> Result<GatewaySettings, String> {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("settings.json");
    fs::write(&file, value.to_string()).expect("written");
    GatewaySettings::open(&file).map_err(|e| e.to_string())
}

#[test]
fn the_example_is_valid_and_unknown_fields_are_ignored() {
    let mut value = serde_json::to_value(GatewaySettings::example()).expect("JSON");
    value["new"] = json!(1);
    assert_eq!(open(&value), Ok(GatewaySettings::example()));
}

#[test]
fn all_faults_are_named_at_once() {
    let mut value = serde_json::to_value(GatewaySettings::example()).expect("JSON");
    value["bounds"]["stop_grace_s"] = json!(-1.0);
    value["bounds"]["retry_share"] = json!(-0.1);
    value["ip"] = json!("here");
    let error = open(&value).expect_err("faults");
    for path in ["/bounds/stop_grace_s", "/bounds/retry_share", "/ip"] {
        assert!(error.contains(path), "{path} is not in {error}");
    }
}

#[test]
fn text_that_is_no_settings_says_where() {
    let error = open(&json!({"name": "a"})).expect_err("no settings");
    assert!(
        error.contains("step=parse_settings") && error.contains("missing field"),
        "{error}"
    );
}
