//! Starts a small fleet in one process on loopback: platform, engines, a plain
//! service and daemons. The quickstart and load runs use it.

use std::time::Duration;

use hyper::{Method, StatusCode, header::AUTHORIZATION};
use serde_json::{Value, json};

use super::{Running, StandinError, engine, platform, register, service};
use crate::{
    auth::hash_key,
    cli::{EngineArgs, ServiceArgs, TargetArgs},
    clock,
    daemon::Daemon,
    http::{self, HttpClient},
    platform::{Instance, InstanceRole, InstanceState},
    records::SCHEMA_V1,
    settings::{Policy, Settings, Timing},
};

/// Availability zones, each with its region.
pub(crate) const ZONES: [(&str, &str); 3] = [
    ("nord-tromso", "nord"),
    ("vest-bergen", "vest"),
    ("ost-drammen", "ost"),
];
/// Name of the generation service.
pub(crate) const GENERATION_SERVICE: &str = "rensmodell";
/// Name of the plain service.
pub(crate) const PLAIN_SERVICE: &str = "ordrebok";
/// Salt with which all customers' keys are hashed.
const KEY_SALT: &str = "5a17";
/// Maximum duration of one call, and of the wait for a daemon to become ready or to
/// get credits.
pub(crate) const STEP_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum size of a response.
const MAX_RESPONSE_BYTES: usize = 1 << 20;
/// Pause between two checks of an awaited state.
const POLL_PERIOD: Duration = Duration::from_millis(50);

/// Customer of the fleet.
#[derive(Clone, Debug)]
pub(crate) struct FleetCustomer {
    pub name: Box<str>,
    /// API key.
    pub key: Box<str>,
    /// Share of the capacity, in percent.
    pub share_percent: u32,
}

/// Size and settings of a fleet.
#[derive(Clone, Debug)]
pub(crate) struct FleetPlan {
    pub policy: Policy,
    /// Number of engines in each zone.
    pub engines_per_zone: usize,
    /// Arguments of every engine; `target` is replaced for each.
    pub engine: EngineArgs,
    /// Limit of concurrent requests of one engine.
    pub limit: u32,
    /// Limit of concurrent requests of an engine that has just started.
    pub cold_limit: u32,
    pub timing: Timing,
    pub customers: Vec<FleetCustomer>,
}

/// Running fleet.
pub(crate) struct Fleet {
    pub client: HttpClient,
    pub engines: Vec<Running>,
    pub daemons: Vec<Daemon>,
    services: Vec<Running>,
    platform: Running,
}

impl FleetPlan {
    /// Returns the plan of a fleet with one engine in each zone and a single
    /// customer.
    pub fn small(customer: FleetCustomer) -> Self {
        Self {
            policy: Policy::default(),
            engines_per_zone: 1,
            engine: EngineArgs {
                target: target_args("", "", "", ""),
                kv_tokens: 100_000,
                max_batch: 64,
                step_us: 20_000,
                step_growth_us: 0,
                cache_blocks: 1024,
                prefill_per_ms: 20,
                cold_ms: 0,
                max_cold_sequences: 4,
                report_lag_ms: 500,
                keep_ms: 10_000,
            },
            limit: 24,
            cold_limit: 4,
            timing: Timing {
                platform_poll: Duration::from_millis(500),
                drain_lag: Duration::from_millis(200),
                ..Timing::default()
            },
            customers: vec![customer],
        }
    }
}

impl Fleet {
    /// Starts all parts and writes the records. Returns once all daemons serve
    /// requests and have credits.
    pub async fn start(plan: &FleetPlan) -> Result<Self, StandinError> {
        let platform = platform::spawn("127.0.0.1:0").await?;
        let address = platform.address.to_string();
        let mut engines = Vec::new();
        for (zone, _) in ZONES {
            for i in 0..plan.engines_per_zone {
                let mut engine = plan.engine.clone();
                let name = format!("engine-{zone}-{i}");
                engine.target = target_args(&name, zone, GENERATION_SERVICE, &address);
                engines.push(engine::spawn(engine).await?);
            }
        }
        let target = target_args("orders-1", "vest-bergen", PLAIN_SERVICE, &address);
        let services = vec![service::spawn(ServiceArgs { target }).await?];
        let mut daemons = Vec::new();
        for (zone, region) in ZONES {
            daemons.push(spawn_daemon(plan, zone, region, &address).await?);
        }
        let fleet = Self {
            client: http::new_client(STEP_TIMEOUT, None),
            engines,
            daemons,
            services,
            platform,
        };
        fleet.put_records(&records(plan)).await?;
        let customer = plan.customers.first();
        fleet.wait_serving(customer.map_or("", |c| &*c.key)).await?;
        fleet.wait_credits(plan).await?;
        Ok(fleet)
    }

    /// Returns the number of targets of all services.
    pub fn target_count(&self) -> usize {
        self.engines.len() + self.services.len()
    }

    /// Returns the address of each daemon for callers.
    pub fn caller_addresses(&self) -> Vec<Box<str>> {
        let daemons = self.daemons.iter();
        daemons
            .map(|d| d.caller_address.to_string().into())
            .collect()
    }

    /// Writes records through the first daemon.
    pub async fn put_records(&self, records: &Value) -> Result<(), StandinError> {
        let operator = self.daemons[0].operator_address.to_string();
        let key = Settings::example().keys.operator;
        let mut req =
            http::json_request(&Method::PUT, &operator, "/v1/records", records.to_string())?;
        authorize(&mut req, &key);
        let res = http::send_request(&self.client, req, STEP_TIMEOUT, MAX_RESPONSE_BYTES).await?;
        if res.status() == StatusCode::OK {
            Ok(())
        } else {
            let reason = String::from_utf8_lossy(res.body());
            Err(unexpected("write_records", &operator, &reason))
        }
    }

    /// Writes the state of a zone: `out` takes it out of service, `serving` brings it
    /// back.
    pub async fn set_zone(&self, zone: &str, state: &str) -> Result<(), StandinError> {
        let region = ZONES.iter().find(|(z, _)| *z == zone).map(|(_, r)| *r);
        let record = record(
            "AvailabilityZone",
            zone,
            &json!({"region": region, "state": state}),
        );
        self.put_records(&json!([record])).await
    }

    /// Waits until each daemon answers a status lookup, for which it needs the records
    /// and the targets, and has found the other daemons.
    async fn wait_serving(&self, key: &str) -> Result<(), StandinError> {
        for daemon in &self.daemons {
            let address = daemon.caller_address.to_string();
            let deadline = clock::now() + STEP_TIMEOUT;
            while !(self.is_serving(&address, key).await
                && daemon.live_peer_count() + 1 >= self.daemons.len())
            {
                if clock::now() > deadline {
                    return Err(unexpected("wait_ready", &address, "not ready in time"));
                }
                tokio::time::sleep(POLL_PERIOD).await;
            }
        }
        Ok(())
    }

    /// Waits until each daemon has credits for as many requests as a zone has
    /// engines. Right after a start, owners grant none, because the daemons must first
    /// agree on the owners and take the leases on the targets.
    async fn wait_credits(&self, plan: &FleetPlan) -> Result<(), StandinError> {
        let customer = plan.customers.first();
        let key = customer.map_or("", |c| &*c.key);
        // After two heartbeats all daemons know which of them may own targets.
        tokio::time::sleep(plan.timing.heartbeat * 2).await;
        for daemon in &self.daemons {
            let address = daemon.caller_address.to_string();
            let deadline = clock::now() + STEP_TIMEOUT;
            while !self.generates(&address, key, plan.engines_per_zone).await {
                if clock::now() > deadline {
                    return Err(unexpected("wait_credits", &address, "no credits in time"));
                }
                tokio::time::sleep(POLL_PERIOD).await;
            }
        }
        Ok(())
    }

    /// Returns whether a daemon completes `count` concurrent short generations.
    async fn generates(&self, address: &str, key: &str, count: usize) -> bool {
        let body = json!({
            "model": GENERATION_SERVICE, "prompt": "[n=4] ready?", "stream": false, "max_tokens": 4,
        });
        let calls = (0..count).map(|_| async {
            let mut req =
                http::json_request(&Method::POST, address, "/v1/completions", body.to_string())?;
            authorize(&mut req, key);
            http::send_request(&self.client, req, STEP_TIMEOUT, MAX_RESPONSE_BYTES).await
        });
        let answers = futures::future::join_all(calls).await;
        let is_ok = |res: &hyper::Response<bytes::Bytes>| res.status() == StatusCode::OK;
        answers.iter().all(|a| a.as_ref().is_ok_and(is_ok))
    }

    /// Returns whether a daemon answers a status lookup of the plain service.
    async fn is_serving(&self, address: &str, key: &str) -> bool {
        let path = format!("/services/{PLAIN_SERVICE}/status");
        let Ok(mut req) = http::json_request(&Method::GET, address, &path, bytes::Bytes::new())
        else {
            return false;
        };
        authorize(&mut req, key);
        let result = http::send_request(&self.client, req, STEP_TIMEOUT, MAX_RESPONSE_BYTES).await;
        result.is_ok_and(|res| res.status() == StatusCode::OK)
    }

    /// Stops the daemons gracefully, then the targets and the platform.
    pub async fn stop(self) {
        futures::future::join_all(self.daemons.into_iter().map(Daemon::stop)).await;
        for target in self.engines.iter().chain(&self.services) {
            target.stop();
        }
        self.platform.stop();
    }
}

/// Returns the arguments of a target that listens on a free port of loopback.
pub(crate) fn target_args(name: &str, zone: &str, service: &str, platform: &str) -> TargetArgs {
    TargetArgs {
        listen: "127.0.0.1:0".into(),
        name: name.into(),
        zone: zone.into(),
        service: service.into(),
        platform: Some(platform.into()),
        history: None,
    }
}

/// Starts a daemon in a zone and registers it in the platform's instance list.
async fn spawn_daemon(
    plan: &FleetPlan,
    zone: &str,
    region: &str,
    platform: &str,
) -> Result<Daemon, StandinError> {
    let mut settings = Settings::example();
    settings.name = format!("entry-{zone}").into();
    settings.zone = zone.into();
    settings.region = region.into();
    settings.platform.address = platform.into();
    settings.timing = plan.timing.clone();
    settings.policy = plan.policy;
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

/// Creates an error about a peer that did not behave as expected.
pub(crate) fn unexpected(step: &'static str, peer: &str, reason: &str) -> StandinError {
    StandinError::Unexpected {
        step,
        peer: peer.into(),
        reason: reason.into(),
    }
}

/// Adds an API key to a request, as a bearer token.
pub(crate) fn authorize<B>(req: &mut hyper::Request<B>, key: &str) {
    if let Ok(value) = format!("Bearer {key}").parse() {
        req.headers_mut().insert(AUTHORIZATION, value);
    }
}

/// Returns a record in schema v1.
fn record(kind: &str, name: &str, spec: &Value) -> Value {
    json!({"schema": SCHEMA_V1, "kind": kind, "name": name, "spec": spec})
}

/// Returns the records of a fleet, in schema v1.
pub(crate) fn records(plan: &FleetPlan) -> Value {
    let zones =
        ZONES.map(|(zone, region)| record("AvailabilityZone", zone, &json!({"region": region})));
    let mut records = Vec::from(zones);
    records.extend([
        record("Model", "rens-7b", &json!({"context_tokens": 32768})),
        record(
            "Service",
            GENERATION_SERVICE,
            &json!({"type": "generation", "model": "rens-7b", "limit": plan.limit, "cold_limit": plan.cold_limit}),
        ),
        record(
            "Service",
            PLAIN_SERVICE,
            &json!({"type": "plain", "limit": 48, "cold_limit": 48}),
        ),
    ]);
    records.extend(plan.customers.iter().map(|customer| {
        let key_hash = hash_key(KEY_SALT, &customer.key);
        let spec = json!({
            "key_salt": KEY_SALT, "key_hash": key_hash, "share_percent": customer.share_percent,
        });
        record("Customer", &customer.name, &spec)
    }));
    Value::Array(records)
}
