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
    /// Print the fields of a Customer record for an API key that is read from
    /// standard input.
    HashKey,
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
    /// What each further sequence adds to a step, in microseconds.
    #[arg(long, default_value_t = 0)]
    pub step_growth_us: u64,
    /// Blocks of prompts that the prefix cache keeps.
    #[arg(long, default_value_t = 1024)]
    pub cache_blocks: usize,
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

/// Open-loop load, measured.
///
/// Exit codes: 0 done, 1 failed, 2 bad usage.
#[derive(Debug, Parser)]
#[command(name = "bluebell-load", version)]
pub struct LoadCli {
    /// What to do.
    #[command(subcommand)]
    pub command: LoadCommand,
}

/// Commands of `bluebell-load`.
#[derive(Debug, Subcommand)]
pub enum LoadCommand {
    /// Put load on daemons that run.
    Run(LoadRunArgs),
    /// Start a fleet in this process and put load on it.
    Fleet(Box<LoadFleetArgs>),
    /// Compare two runs by the ratio of their figures.
    Compare {
        /// Folder of the first run.
        before: PathBuf,
        /// Folder of the second run.
        after: PathBuf,
    },
}

/// The traffic of a run; the same seed gives the same requests.
#[derive(Clone, Debug, Args)]
pub struct TrafficArgs {
    /// Requests a second.
    #[arg(long, default_value_t = 20.0)]
    pub rate: f64,
    /// Seconds in which requests arrive.
    #[arg(long, default_value_t = 10)]
    pub duration: u64,
    /// Seed of arrivals, sorts, lengths and customers.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Weights of long reports, short answers, bookings and status lookups.
    #[arg(long, value_delimiter = ',', num_args = 4, default_values_t = [3, 5, 1, 1])]
    pub mix: Vec<u32>,
    /// How much faster than real the engines run; figures are scaled back.
    #[arg(long, default_value_t = 1)]
    pub time_scale: u32,
    /// What lengths of long reports are divided by.
    #[arg(long, default_value_t = 1)]
    pub length_scale: u64,
    /// What the first customer's part of the traffic is multiplied by.
    #[arg(long, default_value_t = 1.0)]
    pub flood: f64,
    /// Seconds to wait for answers after the last arrival.
    #[arg(long, default_value_t = 60)]
    pub patience: u64,
    /// Folder for histograms, summary and plot.
    #[arg(long)]
    pub out: PathBuf,
}

/// Arguments of a run against daemons that run.
#[derive(Debug, Args)]
pub struct LoadRunArgs {
    /// The traffic.
    #[command(flatten)]
    pub traffic: TrafficArgs,
    /// Callers' address of a daemon; used in turn.
    #[arg(long = "address", required = true)]
    pub addresses: Vec<Box<str>>,
    /// Customer as `NAME=KEY`, the largest first.
    #[arg(long = "customer", required = true)]
    pub customers: Vec<Box<str>>,
    /// Service that generates.
    #[arg(long, default_value = "rensmodell")]
    pub generation: Box<str>,
    /// Plain service that takes bookings.
    #[arg(long, default_value = "ordrebok")]
    pub plain: Box<str>,
    /// Engine whose preemptions are counted.
    #[arg(long = "engine")]
    pub engines: Vec<Box<str>>,
}

/// Arguments of a run against a fleet in this process.
#[derive(Debug, Args)]
pub struct LoadFleetArgs {
    /// The traffic.
    #[command(flatten)]
    pub traffic: TrafficArgs,
    /// Policy of all daemons: `least_in_flight`, `credits` or `token_credits`.
    #[arg(long, default_value = "credits")]
    pub policy: Box<str>,
    /// Customers.
    #[arg(long, default_value_t = 10)]
    pub customers: usize,
    /// Share of a service that a customer may fill while others wait.
    #[arg(long, default_value_t = 100)]
    pub share_percent: u32,
    /// Engines in each zone.
    #[arg(long, default_value_t = 2)]
    pub engines: usize,
    /// Tokens that fit in an engine's memory.
    #[arg(long, default_value_t = 6_000)]
    pub kv_tokens: u64,
    /// Most sequences in an engine's batch.
    #[arg(long, default_value_t = 64)]
    pub max_batch: usize,
    /// Requests that an engine runs at once, as its record says.
    #[arg(long, default_value_t = 24)]
    pub limit: u32,
    /// Requests that an engine which has just started runs at once; as many as
    /// a warm one runs when absent, so that no ramp is part of the figures.
    #[arg(long)]
    pub cold_limit: Option<u32>,
    /// Time of a step, in microseconds of unscaled time.
    #[arg(long, default_value_t = 25_000)]
    pub step_us: u64,
    /// What each further sequence adds to a step, in microseconds of unscaled
    /// time.
    #[arg(long, default_value_t = 400)]
    pub step_growth_us: u64,
    /// Blocks that an engine's prefix cache keeps.
    #[arg(long, default_value_t = 256)]
    pub cache_blocks: usize,
    /// Takes a zone out or brings it back: `ZONE:out:SECOND` or
    /// `ZONE:serving:SECOND`.
    #[arg(long = "zone-event")]
    pub zone_events: Vec<Box<str>>,
}
