//! Open-loop load generator: sends seeded traffic, checks every response and
//! reports latency, throughput and refusals.

mod caller;
mod fleet;
mod plot;
mod report;
mod tally;
mod traffic;

use std::{collections::BTreeSet, path::Path, sync::Arc, time::Duration};

use tokio::task::JoinSet;

use self::caller::{Outcome, RunContext};
pub use self::{
    report::{Summary, compare, read_summary, table},
    tally::{Endings, Quantiles, Tally},
    traffic::{PlannedRequest, RequestKind, plan_requests},
};
use crate::{
    cli::{LoadCommand, LoadRunArgs, TrafficArgs},
    clock,
    engine::EngineClient,
    http,
    standin::{StandinError, fleet::unexpected},
};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);
/// Idle time after which a pooled client connection is not reused.
const POOL_IDLE: Duration = Duration::from_secs(2);
/// Wait before the engines' load reports are read, because the reports are delayed.
const REPORT_LAG: Duration = Duration::from_secs(1);
/// Delay between the end of the setup and the start of the run.
const START_DELAY: Duration = Duration::from_millis(200);

/// Daemons, customers and services of a run.
pub(crate) struct RunConfig {
    /// Addresses of the daemons, used round-robin.
    pub addresses: Vec<Box<str>>,
    /// API keys of the customers, the largest customer first.
    pub keys: Vec<Box<str>>,
    /// Name of the service that generates.
    pub generation_service: Box<str>,
    /// Name of the plain service.
    pub plain_service: Box<str>,
    /// Addresses of the engines whose preemptions are counted.
    pub engines: Vec<Box<str>>,
    /// Times since the start of the run at which a new part begins.
    pub part_starts: Vec<Duration>,
}

/// Runs a command of `bluebell-load`.
///
/// # Errors
/// Returns the first step that failed, with the address or file concerned.
pub async fn run(command: LoadCommand) -> Result<(), StandinError> {
    match command {
        LoadCommand::Run(args) => run_external(args).await,
        LoadCommand::Fleet(args) => fleet::run(&args).await,
        LoadCommand::Compare { before, after } => {
            let (before, after) = (read_run(&before)?, read_run(&after)?);
            println!("{}", compare(&before, &after));
            Ok(())
        }
    }
}

fn read_run(folder: &Path) -> Result<Summary, StandinError> {
    read_summary(folder).map_err(|source| io_error("read_summary", folder, source))
}

fn io_error(step: &'static str, path: &Path, source: std::io::Error) -> StandinError {
    StandinError::Io {
        step,
        peer: path.display().to_string().into(),
        source,
    }
}

async fn run_external(args: LoadRunArgs) -> Result<(), StandinError> {
    let mut keys = Vec::new();
    for customer in &args.customers {
        let Some((_, key)) = customer.split_once('=') else {
            return Err(unexpected("read_arguments", customer, "expected NAME=KEY"));
        };
        keys.push(key.into());
    }
    let config = RunConfig {
        addresses: args.addresses,
        keys,
        generation_service: args.generation,
        plain_service: args.plain,
        engines: args.engines,
        part_starts: Vec::new(),
    };
    measure(&args.traffic, config, |_| async { Ok(()) }).await
}

/// Runs the traffic concurrently with `script`, which receives the start time of the
/// run, then writes and prints the results.
pub(crate) async fn measure<F>(
    args: &TrafficArgs,
    config: RunConfig,
    script: impl FnOnce(clock::BootTime) -> F,
) -> Result<(), StandinError>
where
    F: Future<Output = Result<(), StandinError>>,
{
    let planned = plan_requests(args, config.keys.len());
    let before = preemptions(&config.engines).await;
    let started_at = clock::now() + START_DELAY;
    let context = Arc::new(RunContext {
        client: http::new_client(CONNECT_TIMEOUT, Some(POOL_IDLE)),
        addresses: config.addresses,
        keys: config.keys,
        generation_service: config.generation_service,
        plain_service: config.plain_service,
        started_at,
        arrivals_end: started_at + Duration::from_secs(args.duration),
        run_id: format!("{:016x}", rand::random::<u64>()).into(),
    });
    let (outcomes, scripted) = tokio::join!(send_all(&context, &planned, args), script(started_at));
    scripted?;
    tokio::time::sleep(REPORT_LAG).await;
    let after = preemptions(&config.engines).await;
    let (whole, histograms) = tally::count(outcomes.iter(), args.time_scale);
    let seconds = Duration::from_secs(args.duration).as_secs_f64();
    let in_time = u32::try_from(whole.tokens_in_time).unwrap_or(u32::MAX);
    let summary = Summary {
        command: command_line(),
        seed: args.seed,
        rate: args.rate,
        time_scale: args.time_scale,
        length_scale: args.length_scale,
        preemptions: after.saturating_sub(before),
        tokens_per_second: f64::from(in_time) / seconds,
        whole,
        parts: parts(&outcomes, &config.part_starts, args.time_scale),
    };
    let out = &args.out;
    let written = report::write(out, &summary, &histograms);
    written.map_err(|source| io_error("write_run", out, source))?;
    let plotted = plot::draw(&out.join("run.svg"), &outcomes, args.time_scale);
    plotted.map_err(|e| unexpected("plot", &out.display().to_string(), &e))?;
    println!("{}", table(&summary));
    Ok(())
}

fn command_line() -> Box<str> {
    let words: Vec<String> = std::env::args().skip(1).collect();
    format!("bluebell-load {}", words.join(" ")).into()
}

/// Sends each request when it is due, regardless of the earlier ones (open loop).
///
/// Requests without a response `args.patience` seconds after the last arrival count
/// as lost.
async fn send_all(
    context: &Arc<RunContext>,
    planned: &[PlannedRequest],
    args: &TrafficArgs,
) -> Vec<Outcome> {
    let mut tasks = JoinSet::new();
    for request in planned {
        let wait = (context.started_at + request.due_at).saturating_sub(clock::now());
        tokio::time::sleep(wait).await;
        let (context, request) = (context.clone(), request.clone());
        let number = request.number;
        tasks.spawn(async move { (number, caller::call(context, request).await) });
    }
    let mut unanswered: BTreeSet<usize> = (0..planned.len()).collect();
    let mut outcomes = Vec::new();
    let deadline = tokio::time::sleep(Duration::from_secs(args.patience));
    let mut deadline = std::pin::pin!(deadline);
    loop {
        let ended = tokio::select! {
            ended = tasks.join_next() => ended,
            () = &mut deadline => None,
        };
        let Some(ended) = ended else { break };
        if let Ok((number, outcome)) = ended {
            unanswered.remove(&number);
            outcomes.push(outcome);
        }
    }
    outcomes.extend(unanswered.into_iter().map(|n| Outcome::new(&planned[n])));
    outcomes
}

async fn preemptions(engines: &[Box<str>]) -> u64 {
    let client = EngineClient::open(CONNECT_TIMEOUT);
    let mut sum = 0;
    for engine in engines {
        match client.load(engine).await {
            Ok(load) => sum += load.preemptions,
            Err(e) => log::warn!("event=load_failed peer={engine} error={:?}", e.to_string()),
        }
    }
    sum
}

/// Returns one tally for each part of the run, by the due time of the requests. A run
/// without part starts has no parts.
fn parts(outcomes: &[Outcome], part_starts: &[Duration], time_scale: u32) -> Vec<Tally> {
    if part_starts.is_empty() {
        return Vec::new();
    }
    let part_of = |o: &Outcome| part_starts.iter().filter(|at| **at <= o.due_at).count();
    let tally = |part: usize| {
        let within = outcomes.iter().filter(|o| part_of(o) == part);
        tally::count(within, time_scale).0
    };
    (0..=part_starts.len()).map(tally).collect()
}
