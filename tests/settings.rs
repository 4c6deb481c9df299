//! Checks that the faults of a settings file are listed before a daemon starts,
//! and that the committed JSON Schemas match the types.

mod common;

use std::{path::Path, process::Command};

use bluebelldrift::{Settings, SettingsError, settings_schemas};
use serde_json::{Value, json};

fn example() -> Value {
    serde_json::to_value(Settings::example()).expect("the example settings can be serialized")
}

/// Returns the paths of the faults listed for the example settings with
/// `changes` merged in.
fn fault_paths(changes: &Value) -> Vec<String> {
    let mut settings = example();
    common::merge(&mut settings, changes);
    match Settings::from_value(settings) {
        Err(SettingsError::Invalid { faults }) => {
            faults.iter().map(|f| f.path.to_string()).collect()
        }
        other => panic!("expected invalid settings, got {other:?}"),
    }
}

/// Runs the `check` command on a settings file; returns its exit code and
/// standard error.
fn run_check(path: &Path) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_bluebelldrift"));
    let output = command.arg("check").arg("--settings").arg(path).output();
    let output = output.expect("the program was started");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    (output.status.code(), text)
}

#[test]
fn example_settings_are_valid() {
    Settings::from_value(example()).expect("the example settings are valid");
}

#[test]
fn all_schema_faults_are_listed_with_their_paths() {
    let faults = fault_paths(&json!({
        "zone": 7,
        "nonsense": true,
        "keys": {"peer": "short"},
        "limits": {"max_body_bytes": 0, "bogus": 1},
        "timing": {"heartbeat": 500},
    }));
    let expected = [
        "/keys/peer",
        "/limits/bogus",
        "/limits/max_body_bytes",
        "/nonsense",
        "/timing/heartbeat",
        "/zone",
    ];
    for path in expected {
        assert!(
            faults.iter().any(|f| f == path),
            "{path} is missing in {faults:?}"
        );
    }
}

#[test]
fn invalid_and_inconsistent_values_are_listed_as_faults() {
    assert_eq!(
        fault_paths(&json!({"listen": {"peer": "here"}})),
        ["/listen/peer"]
    );
    let zero_heartbeat = fault_paths(&json!({"timing": {"heartbeat": "0s"}}));
    assert_eq!(zero_heartbeat, ["/timing/heartbeat"]);
    let long_heartbeat = fault_paths(&json!({"timing": {"heartbeat": "5s"}}));
    assert_eq!(
        long_heartbeat,
        ["/timing/suspect_after", "/timing/credit_life"]
    );
    assert_eq!(
        fault_paths(&json!({"log": {"level": "loud"}})),
        ["/log/level"]
    );
}

#[test]
fn check_exits_with_2_and_prints_the_faults() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let path = directory.path().join("settings.json");
    std::fs::write(&path, "{\"name\": 1}").expect("the settings file was written");
    let (code, text) = run_check(&path);
    assert_eq!(code, Some(2), "{text}");
    assert!(text.contains("/name"), "{text}");
    std::fs::write(&path, "not json").expect("the settings file was written");
    assert_eq!(run_check(&path).0, Some(2));
    assert_eq!(run_check(&directory.path().join("absent.json")).0, Some(2));
    std::fs::write(&path, example().to_string()).expect("the settings file was written");
    assert_eq!(run_check(&path), (Some(0), String::new()));
}

#[test]
fn committed_schemas_match_the_types() {
    for (name, schema) in settings_schemas() {
        let path = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("schemas")
            .join(name);
        let committed = std::fs::read_to_string(path).unwrap_or_default();
        let committed: Value = serde_json::from_str(&committed).unwrap_or(Value::Null);
        assert_eq!(
            committed, schema,
            "schema {name} is out of date: run `bluebelldrift settings --schemas schemas`"
        );
    }
}
