//! End-to-end tests of `bluebellctl`: commands, output formats and exit codes.

mod common;

use std::{
    io::Write,
    process::{Command, Output, Stdio},
};

use common::{Fleet, OPERATOR_KEY, default_records, record, wait_for};
use serde_json::{Value, json};

fn run_ctl(fleet: &Fleet, args: &[&str], input: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_bluebellctl"));
    command.env("BLUEBELL_SERVER", &fleet.daemons[0].operator_address);
    command
        .env("BLUEBELL_OPERATOR_KEY", OPERATOR_KEY)
        .args(args);
    command
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    let mut child = command.spawn().expect("bluebellctl starts");
    let mut stdin = child.stdin.take().expect("stdin is piped");
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("bluebellctl exits")
}

fn run_json(fleet: &Fleet, args: &[&str], input: &str) -> Value {
    let output = run_ctl(fleet, &[&["--output", "json"], args].concat(), input);
    assert_eq!(output.status.code(), Some(0), "{args:?}: {output:?}");
    serde_json::from_slice(&output.stdout).expect("output is JSON")
}

#[test]
fn every_command_succeeds_or_fails_with_the_documented_exit_code() {
    let fleet = Fleet::with_daemons(1);
    let zone = "kushiro-a";
    let model = |tokens: u64| record("Model", "other", &json!({"context_tokens": tokens}));
    // Records come from a directory, a file or standard input.
    let folder = fleet.dir.path().join("records");
    std::fs::create_dir(&folder).unwrap();
    let file = folder.join("all.json");
    std::fs::write(&file, default_records().to_string()).unwrap();
    let (folder, file) = (folder.display().to_string(), file.display().to_string());
    for path in [&folder, &file] {
        assert_eq!(
            run_json(&fleet, &["apply", "-f", path], "")["records"],
            json!(7)
        );
    }
    run_json(&fleet, &["apply", "-f", "-"], &model(10).to_string());
    let diff = run_json(&fleet, &["diff", "-f", "-"], &model(11).to_string());
    assert_eq!(diff[0]["to"]["context_tokens"], json!(11));
    assert_eq!(
        run_json(&fleet, &["get", "Model", "other"], "")["spec"]["context_tokens"],
        json!(10)
    );
    // A conditional write fails if the record is at another revision.
    let stale = run_ctl(
        &fleet,
        &["apply", "--if-revision", "1", "-f", "-"],
        &model(12).to_string(),
    );
    assert_eq!(stale.status.code(), Some(1), "{stale:?}");
    run_json(&fleet, &["withdraw", "Model", "other"], "");
    assert_eq!(
        run_ctl(&fleet, &["get", "Model", "other"], "")
            .status
            .code(),
        Some(1)
    );
    // A record that other records refer to cannot be withdrawn.
    assert_eq!(
        run_ctl(&fleet, &["withdraw", "Model", "denture-7b"], "")
            .status
            .code(),
        Some(2)
    );
    for (command, state) in [("drain", "out"), ("undrain", "serving")] {
        run_json(&fleet, &["zone", command, zone], "");
        wait_for("the zone's state changes", || {
            let stored = run_json(&fleet, &["get", "AvailabilityZone", zone], "");
            (stored["spec"]["state"] == json!(state)).then_some(())
        });
    }
    assert_eq!(run_json(&fleet, &["status"], "")["is_ready"], json!(true));
    let request = fleet
        .caller(0)
        .generate("[n=2] hello", &json!({}), &[])
        .request;
    let explanation = run_json(&fleet, &["explain", &request], "");
    assert!(explanation.to_string().contains(&request), "{explanation}");
    let table = run_ctl(&fleet, &["status"], "");
    let shown = String::from_utf8_lossy(&table.stdout);
    assert!(
        shown.contains("is_ready") && !shown.starts_with('{'),
        "{shown}"
    );
    let completions = run_ctl(&fleet, &["completions", "bash"], "");
    assert!(String::from_utf8_lossy(&completions.stdout).contains("bluebellctl"));
    // The exit code is 2 for bad usage or bad input and 1 for other errors.
    let bad = record("Model", "other", &json!({"context_tokens": 0}));
    let bad = run_ctl(&fleet, &["apply", "-f", "-"], &bad.to_string());
    assert_eq!(bad.status.code(), Some(2));
    assert!(
        String::from_utf8_lossy(&bad.stderr).contains("/0/spec/context_tokens"),
        "{bad:?}"
    );
    for args in [
        &["apply", "-f", "/no/such/file"][..],
        &["aply"],
        &["apply", "-f", "-"],
    ] {
        assert_eq!(
            run_ctl(&fleet, args, "{").status.code(),
            Some(2),
            "{args:?}"
        );
    }
    let wrong = run_ctl(&fleet, &["--key", "wrong", "status"], "");
    assert_eq!(wrong.status.code(), Some(1), "{wrong:?}");
    assert!(String::from_utf8_lossy(&wrong.stderr).contains("operator key"));
}

/// Another record was read, or withdrawn.
#[test]
fn a_name_that_no_record_has_leads_to_a_record() {
    let fleet = Fleet::with_daemons(1);
    let model = record("Model", "other", &json!({"context_tokens": 10}));
    run_json(&fleet, &["apply", "-f", "-"], &model.to_string());
    for name in [
        "other?x=y",
        "other#x",
        "oth%65r",
        "./other",
        "other ",
        "other\n",
        "x/../other",
    ] {
        for command in ["get", "withdraw"] {
            let missing = run_ctl(&fleet, &[command, "Model", name], "");
            assert_eq!(missing.status.code(), Some(1), "{name:?}: {missing:?}");
        }
    }
    let stored = run_json(&fleet, &["get", "Model", "other"], "");
    assert_eq!(stored["spec"]["context_tokens"], json!(10));
}
