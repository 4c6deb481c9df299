//! Command-line arguments of all binaries.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;

/// Exit code for invalid arguments or invalid input.
pub const EXIT_BAD_INPUT: u8 = 2;
/// Exit code for a failed operation.
pub const EXIT_FAILED: u8 = 1;

/// Daemon that runs on each entry instance.
#[derive(Debug, Parser)]
#[command(name = "bluebelldrift", version)]
pub struct DaemonCli {
    /// Command to run.
    #[command(subcommand)]
    pub command: DaemonCommand,
}

/// Commands of `bluebelldrift`.
#[derive(Debug, Subcommand)]
pub enum DaemonCommand {
    /// Run the daemon until it receives SIGTERM or SIGINT.
    Run(SettingsFile),
    /// Validate a settings file; on errors, print one per line and exit with 2.
    Check(SettingsFile),
    /// Print example settings or write the JSON Schemas.
    Settings(SettingsPrint),
}

/// Location of a settings file.
#[derive(Debug, Args)]
pub struct SettingsFile {
    /// Path of the settings file, in JSON.
    #[arg(long)]
    pub settings: PathBuf,
}

/// Options of the `settings` command.
#[derive(Debug, Args)]
#[group(required = true)]
pub struct SettingsPrint {
    /// Print example settings as a starting point.
    #[arg(long)]
    pub example: bool,
    /// Write the JSON Schemas of settings and records to a directory.
    #[arg(long)]
    pub schemas: Option<PathBuf>,
}

/// Command-line client for operators.
///
/// Exit codes: 0 success, 1 failure, 2 invalid arguments or input.
#[derive(Debug, Parser)]
#[command(name = "bluebellctl", version)]
pub struct CtlCli {
    /// Address of any daemon's operators' port.
    #[arg(
        long,
        env = "BLUEBELL_SERVER",
        default_value = "127.0.0.1:7001",
        global = true
    )]
    pub server: Box<str>,
    /// API key for operators.
    #[arg(
        long,
        env = "BLUEBELL_OPERATOR_KEY",
        hide_env_values = true,
        global = true,
        default_value = ""
    )]
    pub key: Box<str>,
    /// Output format.
    #[arg(long, value_enum, default_value_t = Output::Table, global = true)]
    pub output: Output,
    /// Command to run.
    #[command(subcommand)]
    pub command: CtlCommand,
}

/// Output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Output {
    /// JSON, for programs.
    Json,
    /// A table, for human readers.
    Table,
}

/// Commands of `bluebellctl`.
#[derive(Debug, Subcommand)]
pub enum CtlCommand {
    /// Write records.
    Apply {
        /// Records to write.
        #[command(flatten)]
        files: RecordFiles,
        /// Write a single record only if it is still at this revision; 0 requires
        /// that it does not exist.
        #[arg(long)]
        if_revision: Option<u64>,
    },
    /// Show what `apply` would change.
    Diff(RecordFiles),
    /// Show records.
    Get {
        /// Kind of the record, such as `Service`.
        kind: Option<Box<str>>,
        /// Name of a single record.
        name: Option<Box<str>>,
        /// Schema version to convert the record to.
        #[arg(long)]
        schema: Option<Box<str>>,
    },
    /// Withdraw a record.
    Withdraw {
        /// Kind of the record, such as `Service`.
        kind: Box<str>,
        /// Name of the record.
        name: Box<str>,
        /// Withdraw the record only if it is still at this revision.
        #[arg(long)]
        if_revision: Option<u64>,
    },
    /// Show the status of daemons and targets.
    Status,
    /// Take an availability zone out of service or return it to service.
    Zone {
        /// Change to make to the zone.
        #[command(subcommand)]
        command: ZoneCommand,
    },
    /// Show the routing decisions made for a request.
    Explain {
        /// Request ID, from the response's `x-bluebell-request` header.
        request: Box<str>,
    },
    /// Read an API key from standard input and print its salt and hash, as fields
    /// of a Customer record.
    HashKey,
    /// Print shell completions.
    Completions {
        /// Shell to generate completions for.
        shell: Shell,
    },
}

/// Sources to read records from.
#[derive(Debug, Args)]
pub struct RecordFiles {
    /// A file with one record or a list of records, a directory of such files,
    /// or `-` for standard input.
    #[arg(short = 'f', long = "file", required = true)]
    pub files: Vec<PathBuf>,
}

/// Commands on an availability zone.
#[derive(Debug, Subcommand)]
pub enum ZoneCommand {
    /// Take the zone out of service: it gets no new requests, and running ones
    /// finish.
    Drain {
        /// Name of the zone.
        zone: Box<str>,
    },
    /// Return the zone to service.
    Undrain {
        /// Name of the zone.
        zone: Box<str>,
    },
}

/// Stand-ins for outside systems, for tests and local trials.
#[derive(Debug, Parser)]
#[command(name = "bluebell-standin", version)]
pub struct StandinCli {
    /// Stand-in to run.
    #[command(subcommand)]
    pub command: StandinCommand,
}

/// Available stand-ins.
#[derive(Debug, Subcommand)]
pub enum StandinCommand {
    /// The platform's object API and instance list.
    Platform(PlatformArgs),
    /// A model engine.
    Engine(EngineArgs),
    /// A plain service that takes bookings.
    Service(ServiceArgs),
    /// All stand-ins and three daemons in one process on the loopback interface,
    /// with a few example requests.
    Quickstart,
}

/// Arguments of the platform stand-in.
#[derive(Clone, Debug, Args)]
pub struct PlatformArgs {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: Box<str>,
}

/// Location of a target and how it registers.
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
    /// Service that the target belongs to.
    #[arg(long)]
    pub service: Box<str>,
    /// Address of the platform to register at as an instance; without it, the target
    /// does not register.
    #[arg(long)]
    pub platform: Option<Box<str>>,
    /// File to append the event history to, one JSON object per line.
    #[arg(long)]
    pub history: Option<PathBuf>,
}

/// Arguments of the engine stand-in.
#[derive(Clone, Debug, Args)]
pub struct EngineArgs {
    /// Location and registration of the target.
    #[command(flatten)]
    pub target: TargetArgs,
    /// KV cache capacity, in tokens.
    #[arg(long, default_value_t = 100_000)]
    pub kv_tokens: u64,
    /// Maximum number of sequences in a batch.
    #[arg(long, default_value_t = 64)]
    pub max_batch: usize,
    /// Duration of one decoding step, in microseconds.
    #[arg(long, default_value_t = 20_000)]
    pub step_us: u64,
    /// Added duration of a step per additional sequence, in microseconds.
    #[arg(long, default_value_t = 0)]
    pub step_growth_us: u64,
    /// Capacity of the prefix cache, in prompt blocks.
    #[arg(long, default_value_t = 1024)]
    pub cache_blocks: usize,
    /// Prefill rate, in prompt tokens per millisecond.
    #[arg(long, default_value_t = 20)]
    pub prefill_per_ms: u64,
    /// Time that the engine must work after its start until it is warm, in
    /// milliseconds; idle time does not count.
    #[arg(long, default_value_t = 0)]
    pub cold_ms: u64,
    /// Maximum number of sequences while cold, waiting ones included; the engine
    /// crashes if it gets more.
    #[arg(long = "cold-bears", value_name = "COLD_BEARS", default_value_t = 4)]
    pub max_cold_sequences: usize,
    /// Delay of load reports, in milliseconds.
    #[arg(long, default_value_t = 500)]
    pub report_lag_ms: u64,
    /// Time for which a generation without a reader is kept, in milliseconds.
    #[arg(long, default_value_t = 10_000)]
    pub keep_ms: u64,
}

/// Arguments of the plain-service stand-in.
#[derive(Clone, Debug, Args)]
pub struct ServiceArgs {
    /// Location and registration of the target.
    #[command(flatten)]
    pub target: TargetArgs,
}

/// Open-loop load generator and benchmark.
///
/// Exit codes: 0 success, 1 failure, 2 invalid arguments.
#[derive(Debug, Parser)]
#[command(name = "bluebell-load", version)]
pub struct LoadCli {
    /// Command to run.
    #[command(subcommand)]
    pub command: LoadCommand,
}

/// Commands of `bluebell-load`.
#[derive(Debug, Subcommand)]
pub enum LoadCommand {
    /// Generate load on running daemons.
    Run(LoadRunArgs),
    /// Start a fleet in this process and generate load on it.
    Fleet(Box<LoadFleetArgs>),
    /// Compare two runs by the ratios of their results.
    Compare {
        /// Output directory of the first run.
        before: PathBuf,
        /// Output directory of the second run.
        after: PathBuf,
    },
}

/// Traffic of a run; the same seed produces the same requests.
#[derive(Clone, Debug, Args)]
pub struct TrafficArgs {
    /// Arrival rate, in requests per second.
    #[arg(long, default_value_t = 20.0)]
    pub rate: f64,
    /// Time during which requests arrive, in seconds.
    #[arg(long, default_value_t = 10)]
    pub duration: u64,
    /// Random seed of arrivals, request types, lengths and customers.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Relative weights of long reports, short answers, bookings and status
    /// lookups.
    #[arg(long, value_delimiter = ',', num_args = 4, default_values_t = [3, 5, 1, 1])]
    pub mix: Vec<u32>,
    /// Factor by which the engines run faster than real ones; measured times are
    /// multiplied by it.
    #[arg(long, default_value_t = 1)]
    pub time_scale: u32,
    /// Divisor of the lengths of long reports and of the notes in their prompts.
    #[arg(long, default_value_t = 1)]
    pub length_scale: u64,
    /// Multiplier of the first customer's weight in the traffic.
    #[arg(long, default_value_t = 1.0)]
    pub flood: f64,
    /// Time to wait for responses after the last arrival, in seconds.
    #[arg(long, default_value_t = 60)]
    pub patience: u64,
    /// Output directory for histograms, summary and plot.
    #[arg(long)]
    pub out: PathBuf,
}

/// Arguments of a run against running daemons.
#[derive(Debug, Args)]
pub struct LoadRunArgs {
    /// Generated traffic.
    #[command(flatten)]
    pub traffic: TrafficArgs,
    /// Address of a daemon's caller port; several are used in turn.
    #[arg(long = "address", required = true)]
    pub addresses: Vec<Box<str>>,
    /// Customer as `NAME=KEY`; the one with the most traffic comes first.
    #[arg(long = "customer", required = true)]
    pub customers: Vec<Box<str>>,
    /// Generation service to call.
    #[arg(long, default_value = "rensmodell")]
    pub generation: Box<str>,
    /// Plain service to send bookings to.
    #[arg(long, default_value = "ordrebok")]
    pub plain: Box<str>,
    /// Address of an engine whose preemptions are counted.
    #[arg(long = "engine")]
    pub engines: Vec<Box<str>>,
}

/// Arguments of a run against a fleet in this process.
#[derive(Debug, Args)]
pub struct LoadFleetArgs {
    /// Generated traffic.
    #[command(flatten)]
    pub traffic: TrafficArgs,
    /// Routing policy of all daemons: `least_in_flight`, `credits` or `token_credits`.
    #[arg(long, default_value = "credits")]
    pub policy: Box<str>,
    /// Number of customers.
    #[arg(long, default_value_t = 10)]
    pub customers: usize,
    /// Share of a service that a customer may use while others wait, in per cent.
    #[arg(long, default_value_t = 100)]
    pub share_percent: u32,
    /// Number of engines in each zone.
    #[arg(long, default_value_t = 2)]
    pub engines: usize,
    /// KV cache capacity of an engine, in tokens.
    #[arg(long, default_value_t = 6_000)]
    pub kv_tokens: u64,
    /// Maximum number of sequences in an engine's batch.
    #[arg(long, default_value_t = 64)]
    pub max_batch: usize,
    /// Concurrency limit of a warm engine, set in its service's record.
    #[arg(long, default_value_t = 24)]
    pub limit: u32,
    /// Concurrency limit of an engine that has just started; defaults to the limit
    /// of a warm engine, so that the results include no ramp-up.
    #[arg(long)]
    pub cold_limit: Option<u32>,
    /// Duration of a decoding step, in microseconds of unscaled time.
    #[arg(long, default_value_t = 25_000)]
    pub step_us: u64,
    /// Added duration of a step per additional sequence, in microseconds of
    /// unscaled time.
    #[arg(long, default_value_t = 400)]
    pub step_growth_us: u64,
    /// Capacity of an engine's prefix cache, in blocks.
    #[arg(long, default_value_t = 256)]
    pub cache_blocks: usize,
    /// Take a zone out of service or return it to service at a second of the run:
    /// `ZONE:out:SECOND` or `ZONE:serving:SECOND`.
    #[arg(long = "zone-event")]
    pub zone_events: Vec<Box<str>>,
}
