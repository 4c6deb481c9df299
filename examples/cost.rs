//! Overhead of the daemon: measures the same streams directly from an engine
//! stand-in and through one daemon, in one run. Engine and daemon run as separate
//! processes, so that their processor time is measured separately.
//!
//! `cargo run --release --example cost`. Build the binaries in release mode
//! first: `cargo build --release --bins`.

use std::{
    fs,
    io::{BufRead, BufReader},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use bluebelldrift::{EngineClient, EngineEvent, GenerationRequest, hash_key};
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::{Request, body::Bytes};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::{Value, json};

type Error = Box<dyn std::error::Error + Send + Sync>;
type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Number of streams kept open while the time to first token is measured.
const OPEN_STREAMS: usize = 1000;
/// Step time of the engine that serves the open streams, in microseconds.
const STEP_US: &str = "41000";
/// Number of requests whose time to first token is measured, on each of the two paths.
const PROBES: usize = 400;
/// Number of streams of the throughput measurement.
const FAST_STREAMS: usize = 64;
/// Number of tokens in each stream of the throughput measurement.
const FAST_TOKENS: u64 = 10_000;
/// API key of the only customer.
const KEY: &str = "cost-customer-key";
/// API key of the operator.
const OPERATOR_KEY: &str = "cost-operator-key-1";

/// Child process that is killed when dropped.
struct Process {
    child: Child,
    /// First line of the output, with the bound addresses as `name=address`.
    addresses_line: String,
}

impl Process {
    fn spawn(binary: &Path, args: &[&str]) -> Result<Self, Error> {
        let mut command = Command::new(binary);
        command
            .args(args)
            .stdout(Stdio::piped())
            .stdin(Stdio::null());
        let mut child = command.spawn()?;
        let stdout = child
            .stdout
            .take()
            .ok_or("the child process has no standard output")?;
        let mut addresses_line = String::new();
        BufReader::new(stdout).read_line(&mut addresses_line)?;
        Ok(Self {
            child,
            addresses_line,
        })
    }

    fn address_of(&self, name: &str) -> Result<String, Error> {
        let prefix = format!("{name}=");
        let found = self
            .addresses_line
            .split_whitespace()
            .find_map(|w| w.strip_prefix(&prefix));
        Ok(found
            .ok_or_else(|| format!("no address for {name} in {:?}", self.addresses_line))?
            .to_owned())
    }

    /// Returns the processor time used so far, in user and system mode.
    fn cpu_time(&self) -> Result<Duration, Error> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        let fields = stat
            .rsplit(')')
            .next()
            .ok_or("/proc/<pid>/stat has an unexpected format")?;
        let ticks = fields.split_whitespace().skip(11).take(2);
        let ticks: u64 = ticks.filter_map(|t| t.parse::<u64>().ok()).sum();
        Ok(Duration::from_millis(
            ticks * 1000 / rustix::param::clock_ticks_per_second(),
        ))
    }

    /// Returns the resident memory, in megabytes.
    fn resident_mb(&self) -> Result<u64, Error> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let kb = line.and_then(|l| l.split_whitespace().next());
        Ok(kb
            .and_then(|kb| kb.parse::<u64>().ok())
            .ok_or("no VmRSS in /proc/<pid>/status")?
            / 1024)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Platform, two engines and one daemon.
struct Bench {
    _platform: Process,
    /// Engine of service `s`, which serves the open streams and the throughput
    /// measurement.
    engine: Process,
    /// Engine of service `p`, whose steps take 1 µs, so that waiting for a step does
    /// not hide the overhead of the daemon.
    probe_engine: Process,
    daemon: Process,
    _folder: tempfile::TempDir,
}

impl Bench {
    async fn start(step_us: &str) -> Result<Self, Error> {
        let bin_folder = binaries()?;
        let standin = bin_folder.join("bluebell-standin");
        let folder = tempfile::tempdir()?;
        let platform = Process::spawn(&standin, &["platform"])?;
        let address = platform.address_of("address")?;
        let engine = spawn_engine(&standin, "s", &address, step_us)?;
        let probe_engine = spawn_engine(&standin, "p", &address, "1")?;
        let settings = settings(&address, &folder.path().join("daemon.log"));
        let path = folder.path().join("settings.json");
        fs::write(&path, settings.to_string())?;
        let path = path.display().to_string();
        let daemon = Process::spawn(
            &bin_folder.join("bluebelldrift"),
            &["run", "--settings", &path],
        )?;
        let bench = Self {
            _platform: platform,
            engine,
            probe_engine,
            daemon,
            _folder: folder,
        };
        bench.write_records().await?;
        Ok(bench)
    }

    async fn write_records(&self) -> Result<(), Error> {
        let record = |kind: &str, name: &str, spec: Value| json!({"schema": "bluebelldrift/v1", "kind": kind, "name": name, "spec": spec});
        let service = json!({
            "type": "generation", "model": "m", "limit": 4096, "cold_limit": 4096,
        });
        let records = json!([
            record("AvailabilityZone", "z", json!({"region": "r"})),
            record("Model", "m", json!({"context_tokens": 32768})),
            record("Service", "s", service.clone()),
            record("Service", "p", service),
            record(
                "Customer",
                "c",
                json!({"key_salt": "5a17", "key_hash": hash_key("5a17", KEY)})
            ),
        ]);
        let uri = format!("http://{}/v1/records", self.daemon.address_of("operator")?);
        let req = Request::put(uri).header("authorization", format!("Bearer {OPERATOR_KEY}"));
        let res = client()
            .request(req.body(Full::from(records.to_string()))?)
            .await?;
        if !res.status().is_success() {
            return Err(format!("writing the records failed with status {}", res.status()).into());
        }
        let caller = self.daemon.address_of("caller")?;
        for _ in 0..200 {
            if stream_through_daemon(&client(), &caller, "p", 1)
                .await
                .is_ok()
            {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        Err("the daemon does not serve requests".into())
    }
}

fn spawn_engine(
    standin: &Path,
    service: &str,
    platform: &str,
    step_us: &str,
) -> Result<Process, Error> {
    let name = format!("engine-{service}");
    let args = [
        "engine",
        "--name",
        &name,
        "--zone",
        "z",
        "--service",
        service,
        "--platform",
        platform,
        "--step-us",
        step_us,
        "--max-batch",
        "4096",
        "--kv-tokens",
        "100000000",
        "--prefill-per-ms",
        "1000000",
    ];
    Process::spawn(standin, &args)
}

fn settings(platform: &str, log: &Path) -> Value {
    json!({
        "name": "entry-1", "zone": "z", "region": "r",
        "listen": {"caller": "127.0.0.1:0", "operator": "127.0.0.1:0", "peer": "127.0.0.1:0"},
        "platform": {"address": platform},
        "keys": {"peer": "cost-peer-key-0001", "operator": OPERATOR_KEY,
                 "resume": "cost-resume-key-01"},
        "limits": {"max_connections_per_peer": 8192},
        "policy": "least_in_flight",
        "log": {"file": log.display().to_string(), "level": "info"},
    })
}

/// Returns the folder of the binaries of the same build.
fn binaries() -> Result<PathBuf, Error> {
    let executable = std::env::current_exe()?;
    let folder = executable
        .parent()
        .and_then(Path::parent)
        .ok_or("the executable has no grandparent folder")?;
    Ok(folder.to_owned())
}

fn client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).build(connector)
}

/// Streams `tokens` tokens through the daemon and returns the time to the first.
async fn stream_through_daemon(
    client: &HttpClient,
    caller: &str,
    service: &str,
    tokens: u64,
) -> Result<Duration, Error> {
    let body = json!({"model": service, "stream": true, "prompt": format!("[n={tokens}]")});
    let req = Request::post(format!("http://{caller}/v1/completions"))
        .header("authorization", format!("Bearer {KEY}"))
        .body(Full::from(body.to_string()))?;
    let started_at = Instant::now();
    let mut res = client.request(req).await?;
    if !res.status().is_success() {
        return Err(format!("the daemon responded with status {}", res.status()).into());
    }
    let mut first = None;
    let mut last_data = Vec::new();
    while let Some(frame) = res.body_mut().frame().await {
        if let Ok(data) = frame?.into_data() {
            if !data.starts_with(b":") {
                first.get_or_insert_with(|| started_at.elapsed());
            }
            last_data = data.to_vec();
        }
    }
    if !last_data.ends_with(b"[DONE]\n\n") {
        return Err("the stream ended without [DONE]".into());
    }
    first.ok_or_else(|| "no token received".into())
}

/// Streams `tokens` tokens directly from the engine and returns the time to the
/// first.
async fn stream_from_engine(
    engines: &EngineClient,
    engine: &str,
    tokens: u64,
) -> Result<Duration, Error> {
    let generation = GenerationRequest {
        generation_id: format!("{:024x}", rand::random::<u128>() >> 32).into(),
        boot_id: None,
        prompt: format!("[n={tokens}]").into(),
        max_tokens: None,
        priority: 0,
        parameters: serde_json::Map::new(),
    };
    let started_at = Instant::now();
    let mut events = engines.start(engine, &generation).await?;
    let mut first = None;
    loop {
        match events.next().await? {
            EngineEvent::Token { .. } => drop(first.get_or_insert_with(|| started_at.elapsed())),
            EngineEvent::Heartbeat => {}
            EngineEvent::End(_) => return first.ok_or_else(|| "no token received".into()),
        }
    }
}

fn record(histogram: &mut Histogram<u64>, time: Duration) -> Result<(), Error> {
    histogram.record(u64::try_from(time.as_micros())?)?;
    Ok(())
}

fn ms(us: u64) -> f64 {
    Duration::from_micros(us).as_secs_f64() * 1000.0
}

/// Measures the time to first token while many streams are open through the daemon.
async fn first_tokens() -> Result<(), Error> {
    let bench = Bench::start(STEP_US).await?;
    let (caller, engine) = (
        bench.daemon.address_of("caller")?,
        bench.probe_engine.address_of("address")?,
    );
    println!("resident idle: daemon {} MB", bench.daemon.resident_mb()?);
    // First tokens are measured on a separate engine with short steps, so that
    // waiting for a step does not hide the overhead of the daemon.
    let (http, engines) = (client(), EngineClient::open(Duration::from_secs(5)));
    let mut open_streams = tokio::task::JoinSet::new();
    for _ in 0..OPEN_STREAMS {
        let (http, caller) = (http.clone(), caller.clone());
        open_streams
            .spawn(async move { stream_through_daemon(&http, &caller, "s", 100_000).await });
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    let mut direct = Histogram::<u64>::new(3)?;
    let mut routed = Histogram::<u64>::new(3)?;
    let before = (bench.daemon.cpu_time()?, Instant::now());
    // The two paths alternate, so that other load on the machine affects both
    // equally.
    for _ in 0..PROBES {
        record(&mut direct, stream_from_engine(&engines, &engine, 1).await?)?;
        record(
            &mut routed,
            stream_through_daemon(&http, &caller, "p", 1).await?,
        )?;
    }
    let (cpu_used, elapsed) = (
        bench.daemon.cpu_time()?.saturating_sub(before.0),
        before.1.elapsed(),
    );
    println!(
        "resident with {OPEN_STREAMS} streams: daemon {} MB",
        bench.daemon.resident_mb()?
    );
    println!(
        "daemon's processor time at {OPEN_STREAMS} streams: {:.2} of a core",
        cpu_used.as_secs_f64() / elapsed.as_secs_f64()
    );
    for quantile in [0.5, 0.99] {
        let (d, r) = (
            direct.value_at_quantile(quantile),
            routed.value_at_quantile(quantile),
        );
        println!(
            "first token p{:.0}: engine {:.2} ms, through the daemon {:.2} ms, added {:.2} ms, ratio {:.2}",
            quantile * 100.0,
            ms(d),
            ms(r),
            ms(r) - ms(d),
            ms(r) / ms(d)
        );
    }
    open_streams.abort_all();
    Ok(())
}

/// Measures tokens per second and processor time per 1,000 tokens.
async fn throughput() -> Result<(), Error> {
    let bench = Bench::start("1").await?;
    let (caller, engine) = (
        bench.daemon.address_of("caller")?,
        bench.engine.address_of("address")?,
    );
    let (http, engines) = (client(), EngineClient::open(Duration::from_secs(5)));
    let tokens = FAST_TOKENS * FAST_STREAMS as u64;
    let thousands = f64::from(u32::try_from(tokens)?) / 1000.0;
    let before = (bench.engine.cpu_time()?, Instant::now());
    let runs = (0..FAST_STREAMS).map(|_| stream_from_engine(&engines, &engine, FAST_TOKENS));
    futures::future::try_join_all(runs).await?;
    let (engine_cpu_used, engine_elapsed) = (
        bench.engine.cpu_time()?.saturating_sub(before.0),
        before.1.elapsed(),
    );
    let before = (bench.daemon.cpu_time()?, Instant::now());
    let runs = (0..FAST_STREAMS).map(|_| stream_through_daemon(&http, &caller, "s", FAST_TOKENS));
    futures::future::try_join_all(runs).await?;
    let (cpu_used, elapsed) = (
        bench.daemon.cpu_time()?.saturating_sub(before.0),
        before.1.elapsed(),
    );
    let per_second = |t: Duration| thousands * 1000.0 / t.as_secs_f64();
    println!(
        "tokens/s: engine {:.0}, through the daemon {:.0}, ratio {:.2}",
        per_second(engine_elapsed),
        per_second(elapsed),
        per_second(elapsed) / per_second(engine_elapsed)
    );
    println!(
        "processor time per 1,000 tokens: engine stand-in {:.3} ms, daemon {:.3} ms, ratio {:.2}",
        engine_cpu_used.as_secs_f64() * 1000.0 / thousands,
        cpu_used.as_secs_f64() * 1000.0 / thousands,
        cpu_used.as_secs_f64() / engine_cpu_used.as_secs_f64()
    );
    println!(
        "tokens/s for each core of the daemon: {:.0}",
        per_second(cpu_used)
    );
    Ok(())
}

#[tokio::main]
async fn main() -> Result<(), Error> {
    println!(
        "load average before: {}",
        fs::read_to_string("/proc/loadavg")?.trim()
    );
    first_tokens().await?;
    throughput().await?;
    println!(
        "load average after: {}",
        fs::read_to_string("/proc/loadavg")?.trim()
    );
    Ok(())
}
