//! Settings are checked whole before use, and the committed schemas are current.

mod common;

use std::{path::Path, process::Command};

use bluebelldrift::{Settings, SettingsError, settings_schemas};
use serde_json::{Value, json};

fn example() -> Value {
    serde_json::to_value(Settings::example()).expect("the example")
}

/// Paths of all faults of the example with `changes` merged in.
fn faults_of(changes: &Value) -> Vec<String> {
    let mut settings = example();
    common::merge(&mut settings, changes);
    match Settings::from_value(settings) {
        Err(SettingsError::Invalid { faults }) => {
            faults.iter().map(|f| f.path.to_string()).collect()
        }
        other => panic!("expected faults, got {other:?}"),
    }
}

fn check(path: &Path) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_bluebelldrift"));
    let output = command.arg("check").arg("--settings").arg(path).output();
    let output = output.expect("the program runs");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    (output.status.code(), text)
}

#[test]
fn the_example_is_valid() {
    Settings::from_value(example()).expect("valid");
}

#[test]
fn all_faults_are_listed_each_with_its_path() {
    let faults = faults_of(&json!({
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
fn values_that_do_not_fit_together_are_faults() {
    assert_eq!(
        faults_of(&json!({"listen": {"peer": "here"}})),
        ["/listen/peer"]
    );
    let zero = faults_of(&json!({"timing": {"heartbeat": "0s"}}));
    assert_eq!(zero, ["/timing/heartbeat"]);
    let late = faults_of(&json!({"timing": {"heartbeat": "5s"}}));
    assert_eq!(late, ["/timing/suspect_after", "/timing/credit_life"]);
    assert_eq!(
        faults_of(&json!({"log": {"level": "loud"}})),
        ["/log/level"]
    );
}

#[test]
fn check_and_run_exit_with_2_and_name_the_faults() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("settings.json");
    std::fs::write(&path, "{\"name\": 1}").expect("written");
    let (code, text) = check(&path);
    assert_eq!(code, Some(2), "{text}");
    assert!(text.contains("/name"), "{text}");
    std::fs::write(&path, "not json").expect("written");
    assert_eq!(check(&path).0, Some(2));
    assert_eq!(check(&folder.path().join("absent.json")).0, Some(2));
    std::fs::write(&path, example().to_string()).expect("written");
    assert_eq!(check(&path), (Some(0), String::new()));
}

#[test]
fn the_committed_schemas_are_those_of_the_types() {
    for (name, schema) in settings_schemas() {
        let path = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("schemas")
            .join(name);
        let committed = std::fs::read_to_string(path).unwrap_or_default();
        let committed: Value = serde_json::from_str(&committed).unwrap_or(Value::Null);
        assert_eq!(
            committed, schema,
            "{name}: run `bluebelldrift settings --schemas schemas`"
        );
    }
}
