//! What `bluebellctl` does: one HTTP call to an operators' port for most commands.

use std::{
    fs, io,
    path::{Path, PathBuf},
    time::Duration,
};

use bytes::Bytes;
use clap::CommandFactory;
use comfy_table::{Table, presets};
use hyper::{Method, StatusCode, header::AUTHORIZATION};
use serde_json::{Value, json};
use snafu::{ResultExt, Snafu};

use crate::{
    admission::hash_key,
    cli::{CtlCli, CtlCommand, EXIT_BAD_INPUT, EXIT_FAILED, Output, ZoneCommand},
    http::{self, CallError},
    operator::{REVISION_HEADER, Rejected},
};

/// Longest wait for an answer; writes wait for the other daemons.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Tries of a zone's change against racing operators.
const ZONE_TRIES: u32 = 20;
/// Pause between them.
const ZONE_PAUSE: Duration = Duration::from_millis(200);
/// Largest answer read.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// A command that failed.
#[derive(Debug, Snafu)]
pub enum CtlError {
    /// A file could not be read.
    #[snafu(display("step=read file={file}: {source}"))]
    Read {
        /// Path of the file.
        file: Box<str>,
        /// What the system said.
        source: io::Error,
    },
    /// A file is not JSON.
    #[snafu(display("step=parse file={file}: {source}"))]
    Parse {
        /// Path of the file.
        file: Box<str>,
        /// Where the parser stopped.
        source: serde_json::Error,
    },
    /// The daemon did not answer.
    #[snafu(display("{source}"), context(false))]
    Call {
        /// The step and the peer.
        source: CallError,
    },
    /// The daemon rejected it.
    #[snafu(display("{}", reasons(rejected)))]
    Rejected {
        /// HTTP status.
        status: StatusCode,
        /// All reasons.
        rejected: Rejected,
    },
    /// The daemon's answer was not understood.
    #[snafu(display("step=answer status={status}: {text}"))]
    Answer {
        /// HTTP status.
        status: StatusCode,
        /// Start of the answer.
        text: Box<str>,
    },
}

fn reasons(rejected: &Rejected) -> String {
    let errors = rejected.errors.iter().map(ToString::to_string);
    let results = rejected.results.iter();
    let results = results.map(|r| format!("{}: {}", r.record, r.outcome));
    let lines: Vec<String> = errors.chain(results).collect();
    lines.join("\n")
}

impl CtlError {
    /// Exit code: 2 for bad input, 1 for everything else.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Read { .. } | Self::Parse { .. } => EXIT_BAD_INPUT,
            Self::Rejected { status, .. } if *status == StatusCode::UNPROCESSABLE_ENTITY => {
                EXIT_BAD_INPUT
            }
            _ => EXIT_FAILED,
        }
    }
}

/// Runs one command and returns what it prints.
///
/// # Errors
/// See [`CtlError`].
pub async fn run(cli: CtlCli) -> Result<String, CtlError> {
    let output = cli.output;
    let answer = match &cli.command {
        CtlCommand::Completions { shell } => return Ok(completions(*shell)),
        CtlCommand::HashKey => return hash_standard_input(),
        CtlCommand::Apply { files, if_revision } => {
            let records = Value::Array(read_all(&files.files)?);
            let path = format!("/v1/records{}", condition(*if_revision));
            call(&cli, &Method::PUT, &path, Some(&records)).await?
        }
        CtlCommand::Diff(files) => diff(&cli, &read_all(&files.files)?).await?,
        CtlCommand::Get { kind, name, schema } => {
            let path = get_path(kind.as_deref(), name.as_deref(), schema.as_deref());
            call(&cli, &Method::GET, &path, None).await?
        }
        CtlCommand::Withdraw {
            kind,
            name,
            if_revision,
        } => {
            let path = format!("/v1/records/{kind}/{name}{}", condition(*if_revision));
            call(&cli, &Method::DELETE, &path, None).await?
        }
        CtlCommand::Status => call(&cli, &Method::GET, "/v1/status", None).await?,
        CtlCommand::Explain { request } => {
            let path = format!("/v1/explain/{request}");
            call(&cli, &Method::GET, &path, None).await?
        }
        CtlCommand::Zone { command } => set_zone(&cli, command).await?,
    };
    Ok(show(&answer, output))
}

fn condition(if_revision: Option<u64>) -> String {
    if_revision
        .map(|revision| format!("?if_revision={revision}"))
        .unwrap_or_default()
}

/// Salt and hash of the API key on standard input, as a Customer record has them.
fn hash_standard_input() -> Result<String, CtlError> {
    let key = io::read_to_string(io::stdin()).context(ReadSnafu { file: "-" })?;
    let salt = format!("{:032x}", rand::random::<u128>());
    let key_hash = hash_key(&salt, key.trim_end());
    Ok(json!({"key_salt": salt, "key_hash": key_hash}).to_string())
}

fn completions(shell: clap_complete::Shell) -> String {
    let mut text = Vec::new();
    let mut command = CtlCli::command();
    clap_complete::generate(shell, &mut command, "bluebellctl", &mut text);
    String::from_utf8_lossy(&text).into_owned()
}

fn get_path(kind: Option<&str>, name: Option<&str>, schema: Option<&str>) -> String {
    match (kind, name) {
        (None, _) => "/v1/records".into(),
        (Some(kind), None) => format!("/v1/records?kind={kind}"),
        (Some(kind), Some(name)) => {
            let schema = schema.map(|s| format!("?schema={s}")).unwrap_or_default();
            format!("/v1/records/{kind}/{name}{schema}")
        }
    }
}

async fn set_zone(cli: &CtlCli, command: &ZoneCommand) -> Result<Value, CtlError> {
    let (zone, state) = match command {
        ZoneCommand::Drain { zone } => (zone, "out"),
        ZoneCommand::Undrain { zone } => (zone, "serving"),
    };
    let path = format!("/v1/records/AvailabilityZone/{zone}");
    let mut tries = 0;
    loop {
        tries += 1;
        let (mut record, revision) = call_with_revision(cli, &Method::GET, &path, None).await?;
        record["spec"]["state"] = json!(state);
        let records = json!([record]);
        // Another operator's change of the same zone must not be undone.
        let path = format!("/v1/records{}", condition(revision));
        match call(cli, &Method::PUT, &path, Some(&records)).await {
            Err(CtlError::Rejected { status, .. })
                if status == StatusCode::CONFLICT && tries < ZONE_TRIES =>
            {
                tokio::time::sleep(ZONE_PAUSE).await;
            }
            ended => return ended,
        }
    }
}

/// Compares each record with the one in force; unchanged ones are left out.
async fn diff(cli: &CtlCli, records: &[Value]) -> Result<Value, CtlError> {
    let mut changes = Vec::new();
    for record in records {
        let text = |field: &str| record[field].as_str().unwrap_or_default().to_owned();
        let (kind, name, schema) = (text("kind"), text("name"), text("schema"));
        let path = get_path(Some(&kind), Some(&name), Some(&schema));
        let held = match call(cli, &Method::GET, &path, None).await {
            Ok(held) => held,
            Err(CtlError::Rejected { status, .. }) if status == StatusCode::NOT_FOUND => {
                Value::Null
            }
            Err(e) => return Err(e),
        };
        if held["spec"] != record["spec"] {
            changes.push(json!({
                "kind": kind, "name": name, "from": held["spec"], "to": record["spec"],
            }));
        }
    }
    Ok(Value::Array(changes))
}

async fn call(
    cli: &CtlCli,
    method: &Method,
    path: &str,
    body: Option<&Value>,
) -> Result<Value, CtlError> {
    let answer = call_with_revision(cli, method, path, body).await?;
    Ok(answer.0)
}

/// The answer, and the record's revision if it names one.
async fn call_with_revision(
    cli: &CtlCli,
    method: &Method,
    path: &str,
    body: Option<&Value>,
) -> Result<(Value, Option<u64>), CtlError> {
    let client = http::client(TIMEOUT, None);
    let body = body.map(|b| Bytes::from(b.to_string())).unwrap_or_default();
    let mut req = http::request(method, &cli.server, path, body);
    if let Ok(value) = format!("Bearer {}", cli.key).parse() {
        req.headers_mut().insert(AUTHORIZATION, value);
    }
    let res = http::call(&client, req, TIMEOUT, MAX_ANSWER_BYTES).await?;
    let status = res.status();
    let revision = res.headers().get(REVISION_HEADER);
    let revision = revision.and_then(|r| r.to_str().ok()?.parse().ok());
    let parsed = serde_json::from_slice::<Value>(res.body()).ok();
    match parsed {
        Some(value) if status.is_success() => Ok((value, revision)),
        Some(value) => match serde_json::from_value(value) {
            Ok(rejected) => Err(CtlError::Rejected { status, rejected }),
            Err(_) => Err(unexpected(status, res.body())),
        },
        None => Err(unexpected(status, res.body())),
    }
}

fn unexpected(status: StatusCode, body: &Bytes) -> CtlError {
    let start = &body[..body.len().min(200)];
    CtlError::Answer {
        status,
        text: String::from_utf8_lossy(start).into(),
    }
}

/// Reads records from files, folders and standard input.
fn read_all(paths: &[PathBuf]) -> Result<Vec<Value>, CtlError> {
    let mut records = Vec::new();
    for path in paths {
        for file in files_of(path)? {
            match read_file(&file)? {
                Value::Array(list) => records.extend(list),
                one => records.push(one),
            }
        }
    }
    Ok(records)
}

fn files_of(path: &Path) -> Result<Vec<PathBuf>, CtlError> {
    if !path.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let file = path.display().to_string();
    let listed = fs::read_dir(path).context(ReadSnafu { file })?;
    let paths = listed.filter_map(|entry| entry.ok().map(|e| e.path()));
    let mut files: Vec<PathBuf> = paths
        .filter(|p| p.extension().is_some_and(|e| e == "json"))
        .collect();
    files.sort();
    Ok(files)
}

fn read_file(path: &Path) -> Result<Value, CtlError> {
    let file: Box<str> = path.display().to_string().into();
    let text = if &*file == "-" {
        io::read_to_string(io::stdin())
    } else {
        fs::read_to_string(path)
    };
    let text = text.context(ReadSnafu { file: file.clone() })?;
    serde_json::from_str(&text).context(ParseSnafu { file })
}

fn show(answer: &Value, output: Output) -> String {
    match (output, answer) {
        (Output::Json, _) => format!("{answer:#}"),
        (Output::Table, Value::Array(rows)) => table(rows),
        (Output::Table, Value::Object(fields)) => {
            let mut table = new_table();
            for (name, value) in fields {
                let cell = match value {
                    Value::Array(rows) if rows.iter().any(Value::is_object) => self::table(rows),
                    other => cell(other),
                };
                table.add_row([name.clone(), cell]);
            }
            table.to_string()
        }
        (Output::Table, other) => cell(other),
    }
}

fn new_table() -> Table {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table
}

/// A list of objects with a column for each field.
fn table(rows: &[Value]) -> String {
    let mut columns: Vec<&String> = Vec::new();
    for row in rows.iter().filter_map(Value::as_object) {
        for name in row.keys() {
            if !columns.contains(&name) {
                columns.push(name);
            }
        }
    }
    let mut table = new_table();
    table.set_header(&columns);
    for row in rows {
        table.add_row(columns.iter().map(|name| cell(&row[name.as_str()])));
    }
    table.to_string()
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
