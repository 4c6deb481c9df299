//! Command lines of all binaries.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;

/// Exit code for bad usage or bad input.
pub const EXIT_BAD_INPUT: u8 = 2;
/// Exit code for an operation that failed.
pub const EXIT_FAILED: u8 = 1;

/// The daemon of an entry instance.
#[derive(Debug, Parser)]
#[command(name = "bluebelldrift", version)]
pub struct DaemonCli {
    /// What to do.
    #[command(subcommand)]
    pub command: DaemonCommand,
}

/// Commands of the daemon's binary.
#[derive(Debug, Subcommand)]
pub enum DaemonCommand {
    /// Run the daemon until it is told to stop.
    Run(SettingsFile),
    /// Check a settings file; exit 2 with one line per fault.
    Check(SettingsFile),
    /// Print settings or their JSON Schema.
    Settings(SettingsPrint),
}

/// A settings file.
#[derive(Debug, Args)]
pub struct SettingsFile {
    /// Settings in JSON.
    #[arg(long)]
    pub settings: PathBuf,
}

/// What to print of settings.
#[derive(Debug, Args)]
#[group(required = true)]
pub struct SettingsPrint {
    /// Print settings to start from.
    #[arg(long)]
    pub example: bool,
    /// Write the JSON Schemas of settings and records into a folder.
    #[arg(long)]
    pub schemas: Option<PathBuf>,
}

/// Operators' command line.
///
/// Exit codes: 0 done, 1 failed, 2 bad usage or bad input.
#[derive(Debug, Parser)]
#[command(name = "bluebellctl", version)]
pub struct CtlCli {
    /// Operators' port of any daemon.
    #[arg(
        long,
        env = "BLUEBELL_SERVER",
        default_value = "127.0.0.1:7001",
        global = true
    )]
    pub server: Box<str>,
    /// Operators' key.
    #[arg(
        long,
        env = "BLUEBELL_OPERATOR_KEY",
        hide_env_values = true,
        global = true,
        default_value = ""
    )]
    pub key: Box<str>,
    /// Form of the output.
    #[arg(long, value_enum, default_value_t = Output::Table, global = true)]
    pub output: Output,
    /// What to do.
    #[command(subcommand)]
    pub command: CtlCommand,
}

/// Form of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Output {
    /// JSON, for programs.
    Json,
    /// A table, for people.
    Table,
}

/// Commands of `bluebellctl`.
#[derive(Debug, Subcommand)]
pub enum CtlCommand {
    /// Write records.
    Apply {
        /// What to write.
        #[command(flatten)]
        files: RecordFiles,
        /// Write the one record only if it is still at this revision; 0 for
        /// one that must not exist.
        #[arg(long)]
        if_revision: Option<u64>,
    },
    /// Show what `apply` would change.
    Diff(RecordFiles),
    /// Show records.
    Get {
        /// Kind, such as `Service`.
        kind: Option<Box<str>>,
        /// Name of one record.
        name: Option<Box<str>>,
        /// Schema version to show it in.
        #[arg(long)]
        schema: Option<Box<str>>,
    },
    /// Withdraw a record.
    Withdraw {
        /// Kind, such as `Service`.
        kind: Box<str>,
        /// Name of the record.
        name: Box<str>,
        /// Withdraw it only if it is still at this revision.
        #[arg(long)]
        if_revision: Option<u64>,
    },
    /// Show the state of daemons and targets.
    Status,
    /// Take an availability zone out, or bring it back.
    Zone {
        /// What to do with it.
        #[command(subcommand)]
        command: ZoneCommand,
    },
    /// Tell why a request went where it went.
    Explain {
        /// Request id, from the answer's `x-bluebell-request` header.
        request: Box<str>,
    },
    /// Print shell completions.
    Completions {
        /// Which shell.
        shell: Shell,
    },
}

/// Files of records.
#[derive(Debug, Args)]
pub struct RecordFiles {
    /// A file of one record or a list, a folder of such files, or `-`.
    #[arg(short = 'f', long = "file", required = true)]
    pub files: Vec<PathBuf>,
}

/// Commands on an availability zone.
#[derive(Debug, Subcommand)]
pub enum ZoneCommand {
    /// Take it out: no new work; what runs there finishes.
    Drain {
        /// Name of the zone.
        zone: Box<str>,
    },
    /// Bring it back.
    Undrain {
        /// Name of the zone.
        zone: Box<str>,
    },
}

/// Small stand-ins for tests and first tries.
#[derive(Debug, Parser)]
#[command(name = "bluebell-standin", version)]
pub struct StandinCli {
    /// Which stand-in.
    #[command(subcommand)]
    pub command: StandinCommand,
}

/// The stand-ins.
#[derive(Debug, Subcommand)]
pub enum StandinCommand {
    /// The platform's object API and instance list.
    Platform(PlatformArgs),
    /// A model engine.
    Engine(EngineArgs),
    /// A plain service that takes bookings.
    Service(ServiceArgs),
    /// Everything in one process on loopback, with one real request.
    Quickstart,
}

/// Arguments of the platform stand-in.
#[derive(Clone, Debug, Args)]
pub struct PlatformArgs {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: Box<str>,
}

/// Where a target stands and how it registers.
#[derive(Clone, Debug, Args)]
pub struct TargetArgs {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: Box<str>,
    /// Instance name.
    #[arg(long)]
    pub name: Box<str>,
    /// Availability zone.
    #[arg(long)]
    pub zone: Box<str>,
    /// Service it serves.
    #[arg(long)]
    pub service: Box<str>,
    /// Platform whose instance list it joins.
    #[arg(long)]
    pub platform: Option<Box<str>>,
    /// File to append its event history to, one JSON object a line.
    #[arg(long)]
    pub history: Option<PathBuf>,
}

/// Arguments of the engine stand-in.
#[derive(Clone, Debug, Args)]
pub struct EngineArgs {
    /// Place and registration.
    #[command(flatten)]
    pub target: TargetArgs,
    /// Tokens that fit in memory.
    #[arg(long, default_value_t = 100_000)]
    pub kv_tokens: u64,
    /// Most sequences in the batch.
    #[arg(long, default_value_t = 64)]
    pub max_batch: usize,
    /// Time of one decoding step, in microseconds.
    #[arg(long, default_value_t = 20_000)]
    pub step_us: u64,
    /// Tokens of prompt taken in per millisecond.
    #[arg(long, default_value_t = 20)]
    pub prefill_per_ms: u64,
    /// How long it stays cold after a start, in milliseconds of work.
    #[arg(long, default_value_t = 0)]
    pub cold_ms: u64,
    /// Requests that it bears while cold; more make it fall over.
    #[arg(long, default_value_t = 4)]
    pub cold_bears: usize,
    /// Lag of its load report, in milliseconds.
    #[arg(long, default_value_t = 500)]
    pub report_lag_ms: u64,
    /// How long a generation without a reader is kept, in milliseconds.
    #[arg(long, default_value_t = 10_000)]
    pub keep_ms: u64,
}

/// Arguments of the plain-service stand-in.
#[derive(Clone, Debug, Args)]
pub struct ServiceArgs {
    /// Place and registration.
    #[command(flatten)]
    pub target: TargetArgs,
}
