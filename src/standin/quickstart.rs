//! Everything in one process on loopback, with one real request of each sort.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures::StreamExt;
use http_body_util::BodyExt;
use hyper::{Method, StatusCode, header::AUTHORIZATION};
use serde_json::{Value, json};

use super::{Running, StandinError, engine, platform, register, service};
use crate::{
    admission::hash_key,
    cli::{EngineArgs, ServiceArgs, TargetArgs},
    clock,
    daemon::Daemon,
    http::{self, HttpClient},
    platform::{Instance, InstanceRole, InstanceState},
    records::SCHEMA_V1,
    settings::{Settings, Timing},
};

/// The zones, each with its region.
const ZONES: [(&str, &str); 3] = [
    ("nord-tromso", "nord"),
    ("vest-bergen", "vest"),
    ("ost-drammen", "ost"),
];
/// Key of the quickstart's only customer.
const CUSTOMER_KEY: &str = "quickstart-customer-key";
/// Longest wait for one step.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause between looks at a state that should come about.
const POLL: Duration = Duration::from_millis(50);

/// What runs while the quickstart does.
struct Fleet {
    client: HttpClient,
    platform: Running,
    targets: Vec<Running>,
    daemons: Vec<Daemon>,
}

/// Runs all steps; prints what happens.
///
/// # Errors
/// The first step that failed, with the peer at fault.
pub async fn run() -> Result<(), StandinError> {
    let began = clock::now();
    let fleet = start().await?;
    println!(
        "fleet: 1 platform, {} targets in 3 availability zones, {} daemons",
        fleet.targets.len(),
        fleet.daemons.len()
    );
    write_records(&fleet).await?;
    wait_ready(&fleet).await?;
    stream_one(&fleet).await?;
    book_twice(&fleet).await?;
    move_zone(&fleet).await?;
    stop(fleet).await;
    let took = clock::now().saturating_sub(began);
    println!(
        "done in {:.1} s: every step as it should be",
        took.as_secs_f64()
    );
    Ok(())
}

async fn start() -> Result<Fleet, StandinError> {
    let platform = platform::spawn("127.0.0.1:0").await?;
    let address = platform.address.to_string();
    let mut targets = Vec::new();
    for (zone, _) in ZONES {
        let name = format!("engine-{zone}");
        let target = target_args(&name, zone, "rensmodell", &address);
        targets.push(engine::spawn(engine_args(target)).await?);
    }
    let target = target_args("orders-1", "vest-bergen", "ordrebok", &address);
    targets.push(service::spawn(ServiceArgs { target }).await?);
    let mut daemons = Vec::new();
    for (zone, region) in ZONES {
        let daemon = spawn_daemon(zone, region, &address).await?;
        daemons.push(daemon);
    }
    Ok(Fleet {
        client: http::client(STEP_TIMEOUT, None),
        platform,
        targets,
        daemons,
    })
}

fn target_args(name: &str, zone: &str, service: &str, platform: &str) -> TargetArgs {
    TargetArgs {
        listen: "127.0.0.1:0".into(),
        name: name.into(),
        zone: zone.into(),
        service: service.into(),
        platform: Some(platform.into()),
        history: None,
    }
}

fn engine_args(target: TargetArgs) -> EngineArgs {
    EngineArgs {
        target,
        kv_tokens: 100_000,
        max_batch: 64,
        step_us: 20_000,
        prefill_per_ms: 20,
        cold_ms: 0,
        cold_bears: 4,
        report_lag_ms: 500,
        keep_ms: 10_000,
    }
}

async fn spawn_daemon(zone: &str, region: &str, platform: &str) -> Result<Daemon, StandinError> {
    let mut settings = Settings::example();
    settings.name = format!("entry-{zone}").into();
    settings.zone = zone.into();
    settings.region = region.into();
    settings.platform.address = platform.into();
    settings.timing = Timing {
        platform_poll: Duration::from_millis(500),
        drain_lag: Duration::from_millis(200),
        ..Timing::default()
    };
    let name = settings.name.clone();
    let daemon = Daemon::spawn(settings).await;
    let daemon = daemon.map_err(|e| unexpected("start_daemon", &name, &e.to_string()))?;
    let instance = Instance {
        name,
        zone: zone.into(),
        address: daemon.peer_address.to_string().into(),
        state: InstanceState::Live,
        role: InstanceRole::Daemon,
    };
    register(platform, &instance).await?;
    Ok(daemon)
}

fn unexpected(step: &'static str, peer: &str, reason: &str) -> StandinError {
    StandinError::Unexpected {
        step,
        peer: peer.into(),
        reason: reason.into(),
    }
}

/// The records of the quickstart, in schema v1.
fn records() -> Value {
    let record = |kind: &str, name: &str, spec: Value| json!({"schema": SCHEMA_V1, "kind": kind, "name": name, "spec": spec});
    let zones =
        ZONES.map(|(zone, region)| record("AvailabilityZone", zone, json!({"region": region})));
    let mut records = Vec::from(zones);
    let key_hash = hash_key("5a17", CUSTOMER_KEY);
    records.extend([
        record("Model", "rens-7b", json!({"context_tokens": 32768})),
        record(
            "Service",
            "rensmodell",
            json!({"type": "generation", "model": "rens-7b", "limit": 24, "cold_limit": 4}),
        ),
        record(
            "Service",
            "ordrebok",
            json!({"type": "plain", "limit": 24, "cold_limit": 12}),
        ),
        record(
            "Customer",
            "fjordrens",
            json!({"key_salt": "5a17", "key_hash": key_hash}),
        ),
    ]);
    Value::Array(records)
}

async fn write_records(fleet: &Fleet) -> Result<(), StandinError> {
    let records = records();
    let count = records.as_array().map_or(0, Vec::len);
    put_records(fleet, &records).await?;
    println!(
        "records: {count} written through {}",
        fleet.daemons[0].operator_address
    );
    Ok(())
}

async fn put_records(fleet: &Fleet, records: &Value) -> Result<(), StandinError> {
    let operator = fleet.daemons[0].operator_address.to_string();
    let key = Settings::example().keys.operator;
    let mut req = http::request(&Method::PUT, &operator, "/v1/records", records.to_string());
    authorize(&mut req, &key);
    let res = http::call(&fleet.client, req, STEP_TIMEOUT, 1 << 20).await?;
    if res.status() == StatusCode::OK {
        Ok(())
    } else {
        let reason = String::from_utf8_lossy(res.body());
        Err(unexpected("write_records", &operator, &reason))
    }
}

fn authorize<B>(req: &mut hyper::Request<B>, key: &str) {
    if let Ok(value) = format!("Bearer {key}").parse() {
        req.headers_mut().insert(AUTHORIZATION, value);
    }
}

/// Waits until each daemon knows records and targets.
async fn wait_ready(fleet: &Fleet) -> Result<(), StandinError> {
    for daemon in &fleet.daemons {
        let address = daemon.caller_address.to_string();
        let deadline = clock::now() + STEP_TIMEOUT;
        while !is_serving(fleet, daemon.caller_address).await {
            if clock::now() > deadline {
                return Err(unexpected("wait_ready", &address, "not ready in time"));
            }
            tokio::time::sleep(POLL).await;
        }
    }
    Ok(())
}

/// Whether a daemon answers a status lookup of the plain service.
async fn is_serving(fleet: &Fleet, caller: SocketAddr) -> bool {
    let path = "/services/ordrebok/status";
    let mut req = http::request(&Method::GET, &caller.to_string(), path, Bytes::new());
    authorize(&mut req, CUSTOMER_KEY);
    let answered = http::call(&fleet.client, req, STEP_TIMEOUT, 1 << 20).await;
    answered.is_ok_and(|res| res.status() == StatusCode::OK)
}

async fn stream_one(fleet: &Fleet) -> Result<(), StandinError> {
    let caller = fleet.daemons[0].caller_address;
    println!("stream: POST http://{caller}/v1/completions");
    print!("  ");
    let text = stream(fleet, caller, "[mark=ash-] [n=12] Is it clean?", true).await?;
    println!("\n  {} tokens, whole", text.split_whitespace().count());
    Ok(())
}

/// Streams one generation and returns its text once it is whole.
async fn stream(
    fleet: &Fleet,
    caller: SocketAddr,
    prompt: &str,
    is_shown: bool,
) -> Result<String, StandinError> {
    let peer = caller.to_string();
    let body = json!({"model": "rensmodell", "prompt": prompt, "stream": true});
    let mut req = http::request(&Method::POST, &peer, "/v1/completions", body.to_string());
    authorize(&mut req, CUSTOMER_KEY);
    let res = http::send(&fleet.client, req).await?;
    if res.status() != StatusCode::OK {
        let reason = format!("status {}", res.status());
        return Err(unexpected("stream", &peer, &reason));
    }
    let mut text = String::new();
    let mut buf = String::new();
    let mut chunks = res.into_body().into_data_stream();
    while let Some(Ok(chunk)) = chunks.next().await {
        buf.push_str(&String::from_utf8_lossy(&chunk));
        while let Some(end) = buf.find("\n\n") {
            let event: String = buf.drain(..end + 2).collect();
            if event.contains("data: [DONE]") {
                return Ok(text);
            }
            let token = token_text(&event);
            if is_shown {
                print!("{token}");
                let _ = std::io::Write::flush(&mut std::io::stdout());
            }
            text.push_str(&token);
        }
    }
    Err(unexpected("stream", &peer, "ended without a mark"))
}

fn token_text(event: &str) -> String {
    let data = event.lines().find_map(|l| l.strip_prefix("data: "));
    let data = data.and_then(|d| serde_json::from_str::<Value>(d).ok());
    let text = data.and_then(|d| d["choices"][0]["text"].as_str().map(str::to_owned));
    text.unwrap_or_default()
}

async fn book_twice(fleet: &Fleet) -> Result<(), StandinError> {
    let mut answers = Vec::new();
    for daemon in &fleet.daemons[..2] {
        let peer = daemon.caller_address.to_string();
        let path = "/services/ordrebok/bookings";
        let body = json!({"truck": "Mo i Rana"}).to_string();
        let mut req = http::request(&Method::POST, &peer, path, body);
        authorize(&mut req, CUSTOMER_KEY);
        let key = hyper::header::HeaderValue::from_static("order-17");
        req.headers_mut().insert("idempotency-key", key);
        let res = http::call(&fleet.client, req, STEP_TIMEOUT, 1 << 20).await?;
        let answer: Value = serde_json::from_slice(res.body()).unwrap_or(Value::Null);
        if answer["executed"] != json!(1) {
            return Err(unexpected("book", &peer, &answer.to_string()));
        }
        answers.push(answer);
    }
    println!("booking: sent through two daemons with one key, executed once");
    Ok(())
}

async fn move_zone(fleet: &Fleet) -> Result<(), StandinError> {
    let (zone, region) = ZONES[0];
    let caller = fleet.daemons[0].caller_address;
    let running = stream(fleet, caller, "[mark=long-] [n=60] Report.", false);
    let moving = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        put_records(fleet, &zone_record(zone, region, "out")).await?;
        println!("zone: {zone} is out, with a request running there");
        let text = stream(fleet, caller, "[n=3] Elsewhere?", false).await?;
        put_records(fleet, &zone_record(zone, region, "serving")).await?;
        println!("zone: a new request was served elsewhere; {zone} is back");
        Ok::<String, StandinError>(text)
    };
    let (running, moved) = tokio::join!(running, moving);
    moved?;
    let tokens = running?.split_whitespace().count();
    if tokens != 60 {
        let reason = format!("{tokens} of 60 tokens");
        return Err(unexpected("move_zone", zone, &reason));
    }
    println!("zone: the running request finished there, whole");
    Ok(())
}

fn zone_record(zone: &str, region: &str, state: &str) -> Value {
    json!([{
        "schema": SCHEMA_V1,
        "kind": "AvailabilityZone",
        "name": zone,
        "spec": {"region": region, "state": state},
    }])
}

async fn stop(fleet: Fleet) {
    futures::future::join_all(fleet.daemons.into_iter().map(Daemon::stop)).await;
    for target in &fleet.targets {
        target.stop();
    }
    fleet.platform.stop();
}
