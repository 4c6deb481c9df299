//! Implementation of the `bluebellctl` commands. Most make one HTTP request to
//! the operators' port of a daemon.

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
    auth::hash_key,
    cli::{CtlCli, CtlCommand, EXIT_BAD_INPUT, EXIT_FAILED, Output, ZoneCommand},
    http::{self, CallError, escaped},
    operator::{REVISION_HEADER, Rejected},
};

/// Timeout of a request. A response to a write may take a few seconds, because
/// the daemon waits until the write is in effect on all daemons.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of attempts to change a zone's state. An attempt fails if
/// another operator writes the zone's record at the same time.
const MAX_ZONE_ATTEMPTS: u32 = 20;
/// Delay between two attempts to change a zone's state.
const ZONE_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Error of a failed command.
#[derive(Debug, Snafu)]
pub enum CtlError {
    /// A file could not be read.
    #[snafu(display("step=read file={file}: {source}"))]
    Read {
        /// Path of the file.
        file: Box<str>,
        /// Underlying I/O error.
        source: io::Error,
    },
    /// A file is not valid JSON.
    #[snafu(display("step=parse file={file}: {source}"))]
    Parse {
        /// Path of the file.
        file: Box<str>,
        /// Underlying parse error.
        source: serde_json::Error,
    },
    /// The HTTP request to the daemon failed.
    #[snafu(display("{source}"), context(false))]
    Call {
        /// Failed step and address.
        source: CallError,
    },
    /// The daemon returned an error response.
    #[snafu(display("{}", rejection_text(rejected)))]
    Rejected {
        /// HTTP status.
        status: StatusCode,
        /// Errors and the outcome of each record.
        rejected: Rejected,
    },
    /// The daemon's response has an unexpected format.
    #[snafu(display("step=answer status={status}: {text}"))]
    UnexpectedResponse {
        /// HTTP status.
        status: StatusCode,
        /// Start of the response body.
        text: Box<str>,
    },
}

fn rejection_text(rejected: &Rejected) -> String {
    let errors = rejected.errors.iter().map(ToString::to_string);
    let results = rejected.results.iter();
    let results = results.map(|r| format!("{}: {}", r.record, r.outcome));
    let lines: Vec<String> = errors.chain(results).collect();
    lines.join("\n")
}

impl CtlError {
    /// Returns the exit code: 2 for bad input, 1 for any other error.
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

/// Runs one command and returns its output.
///
/// # Errors
/// Returns a [`CtlError`] if the command fails.
pub async fn run(cli: CtlCli) -> Result<String, CtlError> {
    let output = cli.output;
    let response = match &cli.command {
        CtlCommand::Completions { shell } => return Ok(completions(*shell)),
        CtlCommand::HashKey => return hash_key_from_stdin(),
        CtlCommand::Apply { files, if_revision } => {
            let records = Value::Array(read_records(&files.files)?);
            let path = format!("/v1/records{}", revision_query(*if_revision));
            call(&cli, &Method::PUT, &path, Some(&records)).await?
        }
        CtlCommand::Diff(files) => diff(&cli, &read_records(&files.files)?).await?,
        CtlCommand::Get { kind, name, schema } => {
            let path = record_path(kind.as_deref(), name.as_deref(), schema.as_deref());
            call(&cli, &Method::GET, &path, None).await?
        }
        CtlCommand::Withdraw {
            kind,
            name,
            if_revision,
        } => {
            let path = format!(
                "{}{}",
                record_path(Some(kind), Some(name), None),
                revision_query(*if_revision)
            );
            call(&cli, &Method::DELETE, &path, None).await?
        }
        CtlCommand::Status => call(&cli, &Method::GET, "/v1/status", None).await?,
        CtlCommand::Explain { request } => {
            let path = format!("/v1/explain/{}", escaped(request));
            call(&cli, &Method::GET, &path, None).await?
        }
        CtlCommand::Zone { command } => set_zone(&cli, command).await?,
    };
    Ok(render(&response, output))
}

fn revision_query(if_revision: Option<u64>) -> String {
    if_revision
        .map(|revision| format!("?if_revision={revision}"))
        .unwrap_or_default()
}

/// Reads an API key from standard input and returns its salt and hash as the
/// fields of a Customer record.
fn hash_key_from_stdin() -> Result<String, CtlError> {
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

fn record_path(kind: Option<&str>, name: Option<&str>, schema: Option<&str>) -> String {
    match (kind, name) {
        (None, _) => "/v1/records".into(),
        (Some(kind), None) => format!("/v1/records?kind={}", escaped(kind)),
        (Some(kind), Some(name)) => {
            let schema = schema.map(|s| format!("?schema={}", escaped(s)));
            let (kind, name) = (escaped(kind), escaped(name));
            format!("/v1/records/{kind}/{name}{}", schema.unwrap_or_default())
        }
    }
}

async fn set_zone(cli: &CtlCli, command: &ZoneCommand) -> Result<Value, CtlError> {
    let (zone, state) = match command {
        ZoneCommand::Drain { zone } => (zone, "out"),
        ZoneCommand::Undrain { zone } => (zone, "serving"),
    };
    let path = record_path(Some("AvailabilityZone"), Some(zone), None);
    let mut attempts = 0;
    loop {
        attempts += 1;
        let (mut record, revision) = call_with_revision(cli, &Method::GET, &path, None).await?;
        record["spec"]["state"] = json!(state);
        let records = json!([record]);
        // The write is conditional so that it does not overwrite a concurrent
        // change of the same zone.
        let path = format!("/v1/records{}", revision_query(revision));
        match call(cli, &Method::PUT, &path, Some(&records)).await {
            Err(CtlError::Rejected { status, .. })
                if status == StatusCode::CONFLICT && attempts < MAX_ZONE_ATTEMPTS =>
            {
                tokio::time::sleep(ZONE_RETRY_DELAY).await;
            }
            result => return result,
        }
    }
}

/// Compares the spec of each record with the stored one and returns the
/// differences; unchanged records are omitted.
async fn diff(cli: &CtlCli, records: &[Value]) -> Result<Value, CtlError> {
    let mut changes = Vec::new();
    for record in records {
        let text = |field: &str| record[field].as_str().unwrap_or_default().to_owned();
        let (kind, name, schema) = (text("kind"), text("name"), text("schema"));
        let path = record_path(Some(&kind), Some(&name), Some(&schema));
        let stored = match call(cli, &Method::GET, &path, None).await {
            Ok(stored) => stored,
            Err(CtlError::Rejected { status, .. }) if status == StatusCode::NOT_FOUND => {
                Value::Null
            }
            Err(e) => return Err(e),
        };
        if stored["spec"] != record["spec"] {
            changes.push(json!({
                "kind": kind, "name": name, "from": stored["spec"], "to": record["spec"],
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
    let response = call_with_revision(cli, method, path, body).await?;
    Ok(response.0)
}

/// Returns the response and, if its header has one, the record's revision.
async fn call_with_revision(
    cli: &CtlCli,
    method: &Method,
    path: &str,
    body: Option<&Value>,
) -> Result<(Value, Option<u64>), CtlError> {
    let client = http::new_client(TIMEOUT, None);
    let body = body.map(|b| Bytes::from(b.to_string())).unwrap_or_default();
    let mut req = http::json_request(method, &cli.server, path, body)?;
    if let Ok(value) = format!("Bearer {}", cli.key).parse() {
        req.headers_mut().insert(AUTHORIZATION, value);
    }
    let res = http::send_request(&client, req, TIMEOUT, MAX_RESPONSE_BYTES).await?;
    let status = res.status();
    let revision = res.headers().get(REVISION_HEADER);
    let revision = revision.and_then(|r| r.to_str().ok()?.parse().ok());
    let parsed = serde_json::from_slice::<Value>(res.body()).ok();
    match parsed {
        Some(value) if status.is_success() => Ok((value, revision)),
        Some(value) => match serde_json::from_value(value) {
            Ok(rejected) => Err(CtlError::Rejected { status, rejected }),
            Err(_) => Err(unexpected_response(status, res.body())),
        },
        None => Err(unexpected_response(status, res.body())),
    }
}

fn unexpected_response(status: StatusCode, body: &Bytes) -> CtlError {
    let start = &body[..body.len().min(200)];
    CtlError::UnexpectedResponse {
        status,
        text: String::from_utf8_lossy(start).into(),
    }
}

/// Reads records from files, directories and standard input.
fn read_records(paths: &[PathBuf]) -> Result<Vec<Value>, CtlError> {
    let mut records = Vec::new();
    for path in paths {
        for file in list_files(path)? {
            match read_file(&file)? {
                Value::Array(list) => records.extend(list),
                one => records.push(one),
            }
        }
    }
    Ok(records)
}

/// Returns the `.json` files of a directory, sorted by name. Any other path is
/// returned as it is, also `-` for standard input.
fn list_files(path: &Path) -> Result<Vec<PathBuf>, CtlError> {
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

fn render(response: &Value, output: Output) -> String {
    match (output, response) {
        (Output::Json, _) => format!("{response:#}"),
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

/// Renders a list of objects as a table with a column for each field.
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
