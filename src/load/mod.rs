//! Open-loop load: seeded traffic, checked answers, and measured figures.

mod caller;
mod fleet;
mod plot;
mod report;
mod tally;
mod traffic;

use std::{collections::BTreeSet, path::Path, sync::Arc, time::Duration};

use tokio::task::JoinSet;

use self::caller::{Callers, Outcome};
pub use self::{
    report::{Summary, compare, read, table},
    tally::{Endings, Quantiles, Tally},
    traffic::{Planned, Sort, draw},
};
use crate::{
    cli::{LoadCommand, LoadRunArgs, TrafficArgs},
    clock,
    engine::EngineClient,
    http,
    standin::{StandinError, fleet::unexpected},
};

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);
/// Callers' connections that idled longer are not used again.
const POOL_IDLE: Duration = Duration::from_secs(2);
/// Wait before the engines' reports are read, since they lag.
const REPORT_LAG: Duration = Duration::from_secs(1);
/// Time until the first request is due.
const LEAD: Duration = Duration::from_millis(200);

/// Whom a run asks, and as whom.
pub(crate) struct Aim {
    /// Daemons, used in turn.
    pub addresses: Vec<Box<str>>,
    /// Keys of the customers, the largest first.
    pub keys: Vec<Box<str>>,
    /// Service that generates.
    pub generation: Box<str>,
    /// Plain service.
    pub plain: Box<str>,
    /// Engines whose preemptions are counted.
    pub engines: Vec<Box<str>>,
    /// Moments, from the start, at which a new part of the run begins.
    pub parts_at: Vec<Duration>,
}

/// Carries out a command of `bluebell-load`.
///
/// # Errors
/// The first step that failed, with the peer at fault.
pub async fn run(command: LoadCommand) -> Result<(), StandinError> {
    match command {
        LoadCommand::Run(args) => run_against(args).await,
        LoadCommand::Fleet(args) => fleet::run(&args).await,
        LoadCommand::Compare { before, after } => {
            let (before, after) = (read_run(&before)?, read_run(&after)?);
            println!("{}", compare(&before, &after));
            Ok(())
        }
    }
}

fn read_run(folder: &Path) -> Result<Summary, StandinError> {
    read(folder).map_err(|source| io_error("read_summary", folder, source))
}

fn io_error(step: &'static str, path: &Path, source: std::io::Error) -> StandinError {
    StandinError::Io {
        step,
        peer: path.display().to_string().into(),
        source,
    }
}

async fn run_against(args: LoadRunArgs) -> Result<(), StandinError> {
    let mut keys = Vec::new();
    for customer in &args.customers {
        let Some((_, key)) = customer.split_once('=') else {
            return Err(unexpected("read_arguments", customer, "not NAME=KEY"));
        };
        keys.push(key.into());
    }
    let aim = Aim {
        addresses: args.addresses,
        keys,
        generation: args.generation,
        plain: args.plain,
        engines: args.engines,
        parts_at: Vec::new(),
    };
    measure(&args.traffic, aim, |_| async { Ok(()) }).await
}

/// Runs the traffic beside `script`, which is given the start of the run;
/// then writes and prints the figures.
pub(crate) async fn measure<F>(
    args: &TrafficArgs,
    aim: Aim,
    script: impl FnOnce(clock::BootTime) -> F,
) -> Result<(), StandinError>
where
    F: Future<Output = Result<(), StandinError>>,
{
    let planned = draw(args, aim.keys.len());
    let before = preemptions(&aim.engines).await;
    let began = clock::now() + LEAD;
    let callers = Arc::new(Callers {
        client: http::client(CONNECT_TIMEOUT, Some(POOL_IDLE)),
        addresses: aim.addresses,
        keys: aim.keys,
        generation: aim.generation,
        plain: aim.plain,
        began,
        until: began + Duration::from_secs(args.duration),
        run: format!("{:016x}", rand::random::<u64>()).into(),
    });
    let (outcomes, scripted) = tokio::join!(send_all(&callers, &planned, args), script(began));
    scripted?;
    tokio::time::sleep(REPORT_LAG).await;
    let after = preemptions(&aim.engines).await;
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
        parts: parts(&outcomes, &aim.parts_at, args.time_scale),
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

/// Sends each request when it is due, whatever became of those before it.
async fn send_all(callers: &Arc<Callers>, planned: &[Planned], args: &TrafficArgs) -> Vec<Outcome> {
    let mut tasks = JoinSet::new();
    for request in planned {
        let wait = (callers.began + request.at).saturating_sub(clock::now());
        tokio::time::sleep(wait).await;
        let (callers, request) = (callers.clone(), request.clone());
        let number = request.number;
        tasks.spawn(async move { (number, caller::call(callers, request).await) });
    }
    let mut unanswered: BTreeSet<usize> = (0..planned.len()).collect();
    let mut outcomes = Vec::new();
    let patience = tokio::time::sleep(Duration::from_secs(args.patience));
    let mut patience = std::pin::pin!(patience);
    loop {
        let ended = tokio::select! {
            ended = tasks.join_next() => ended,
            () = &mut patience => None,
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

/// Figures of the requests due between moments.
fn parts(outcomes: &[Outcome], parts_at: &[Duration], time_scale: u32) -> Vec<Tally> {
    if parts_at.is_empty() {
        return Vec::new();
    }
    let part_of = |o: &Outcome| parts_at.iter().filter(|at| **at <= o.at).count();
    let tally = |part: usize| {
        let within = outcomes.iter().filter(|o| part_of(o) == part);
        tally::count(within, time_scale).0
    };
    (0..=parts_at.len()).map(tally).collect()
}
