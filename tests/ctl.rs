//! `bluebellctl` from end to end: commands, forms of output and exit codes.

mod common;

use std::{
    io::Write,
    process::{Command, Output, Stdio},
};

use common::{Fleet, OPERATOR_KEY, default_records, record, wait_for};
use serde_json::{Value, json};

fn ctl(fleet: &Fleet, args: &[&str], input: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_bluebellctl"));
    command.env("BLUEBELL_SERVER", &fleet.daemons[0].operator);
    command
        .env("BLUEBELL_OPERATOR_KEY", OPERATOR_KEY)
        .args(args);
    command
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    let mut child = command.spawn().expect("it starts");
    let mut stdin = child.stdin.take().expect("its input");
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("it ends")
}

fn run(fleet: &Fleet, args: &[&str], input: &str) -> Value {
    let output = ctl(fleet, &[&["--output", "json"], args].concat(), input);
    assert_eq!(output.status.code(), Some(0), "{args:?}: {output:?}");
    serde_json::from_slice(&output.stdout).expect("JSON")
}

#[test]
fn every_command_works_and_ends_with_its_exit_code() {
    let fleet = Fleet::with_daemons(1);
    let zone = "kushiro-a";
    let model = |tokens: u64| record("Model", "other", &json!({"context_tokens": tokens}));
    // A file, a folder and standard input.
    let folder = fleet.folder.path().join("records");
    std::fs::create_dir(&folder).unwrap();
    let file = folder.join("all.json");
    std::fs::write(&file, default_records().to_string()).unwrap();
    let (folder, file) = (folder.display().to_string(), file.display().to_string());
    for path in [&folder, &file] {
        assert_eq!(run(&fleet, &["apply", "-f", path], "")["records"], json!(7));
    }
    run(&fleet, &["apply", "-f", "-"], &model(10).to_string());
    let diff = run(&fleet, &["diff", "-f", "-"], &model(11).to_string());
    assert_eq!(diff[0]["to"]["context_tokens"], json!(11));
    assert_eq!(
        run(&fleet, &["get", "Model", "other"], "")["spec"]["context_tokens"],
        json!(10)
    );
    // A condition that does not hold.
    let stale = ctl(
        &fleet,
        &["apply", "--if-revision", "1", "-f", "-"],
        &model(12).to_string(),
    );
    assert_eq!(stale.status.code(), Some(1), "{stale:?}");
    run(&fleet, &["withdraw", "Model", "other"], "");
    assert_eq!(
        ctl(&fleet, &["get", "Model", "other"], "").status.code(),
        Some(1)
    );
    // A record that others name is not withdrawn.
    assert_eq!(
        ctl(&fleet, &["withdraw", "Model", "denture-7b"], "")
            .status
            .code(),
        Some(2)
    );
    for (command, state) in [("drain", "out"), ("undrain", "serving")] {
        run(&fleet, &["zone", command, zone], "");
        wait_for("the zone's state changes", || {
            let held = run(&fleet, &["get", "AvailabilityZone", zone], "");
            (held["spec"]["state"] == json!(state)).then_some(())
        });
    }
    assert_eq!(run(&fleet, &["status"], "")["is_ready"], json!(true));
    let request = fleet
        .caller(0)
        .generate("[n=2] hello", &json!({}), &[])
        .request;
    let why = run(&fleet, &["explain", &request], "");
    assert!(why.to_string().contains(&request), "{why}");
    let table = ctl(&fleet, &["status"], "");
    let shown = String::from_utf8_lossy(&table.stdout);
    assert!(
        shown.contains("is_ready") && !shown.starts_with('{'),
        "{shown}"
    );
    let completions = ctl(&fleet, &["completions", "bash"], "");
    assert!(String::from_utf8_lossy(&completions.stdout).contains("bluebellctl"));
    // Bad usage and bad input end with 2, a failure with 1.
    let bad = record("Model", "other", &json!({"context_tokens": 0}));
    let bad = ctl(&fleet, &["apply", "-f", "-"], &bad.to_string());
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
        assert_eq!(ctl(&fleet, args, "{").status.code(), Some(2), "{args:?}");
    }
    let wrong = ctl(&fleet, &["--key", "wrong", "status"], "");
    assert_eq!(wrong.status.code(), Some(1), "{wrong:?}");
    assert!(String::from_utf8_lossy(&wrong.stderr).contains("operator key"));
}
