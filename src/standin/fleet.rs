//! A small fleet in one process on loopback: platform, engines, plain services
//! and daemons.

use std::time::Duration;

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
    settings::{Policy, Settings, Timing},
};

/// The zones, each with its region.
pub(crate) const ZONES: [(&str, &str); 3] = [
    ("nord-tromso", "nord"),
    ("vest-bergen", "vest"),
    ("ost-drammen", "ost"),
];
/// Name of the generation service.
pub(crate) const GENERATION_SERVICE: &str = "rensmodell";
/// Name of the plain service.
pub(crate) const PLAIN_SERVICE: &str = "ordrebok";
/// Salt of all customers' keys.
const SALT: &str = "5a17";
/// Longest wait for one step.
pub(crate) const STEP_TIMEOUT: Duration = Duration::from_secs(20);
/// Largest answer of one step.
const STEP_CAP: usize = 1 << 20;
/// Pause between looks at a state that should come about.
const POLL: Duration = Duration::from_millis(50);

/// A customer of the fleet.
#[derive(Clone, Debug)]
pub(crate) struct FleetCustomer {
    pub name: Box<str>,
    pub key: Box<str>,
    pub share_percent: u32,
}

/// What the fleet is made of.
#[derive(Clone, Debug)]
pub(crate) struct FleetPlan {
    pub policy: Policy,
    /// Engines in each zone.
    pub engines_per_zone: usize,
    /// Every engine's size; place and name are filled in.
    pub engine: EngineArgs,
    /// Credits of one engine.
    pub limit: u32,
    /// Requests that an engine which has just started runs at once.
    pub cold_limit: u32,
    pub timing: Timing,
    pub customers: Vec<FleetCustomer>,
}

/// A running fleet.
pub(crate) struct Fleet {
    pub client: HttpClient,
    pub engines: Vec<Running>,
    pub daemons: Vec<Daemon>,
    services: Vec<Running>,
    platform: Running,
}

impl FleetPlan {
    /// One engine in each zone and a single customer.
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
                cold_bears: 4,
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
    /// Starts everything; records are written and daemons serve on return.
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
            client: http::client(STEP_TIMEOUT, None),
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

    /// Targets of all services.
    pub fn targets(&self) -> usize {
        self.engines.len() + self.services.len()
    }

    /// Callers' addresses of all daemons.
    pub fn callers(&self) -> Vec<Box<str>> {
        let daemons = self.daemons.iter();
        daemons
            .map(|d| d.caller_address.to_string().into())
            .collect()
    }

    /// Writes records through the first daemon.
    pub async fn put_records(&self, records: &Value) -> Result<(), StandinError> {
        let operator = self.daemons[0].operator_address.to_string();
        let key = Settings::example().keys.operator;
        let mut req = http::request(&Method::PUT, &operator, "/v1/records", records.to_string());
        authorize(&mut req, &key);
        let res = http::call(&self.client, req, STEP_TIMEOUT, STEP_CAP).await?;
        if res.status() == StatusCode::OK {
            Ok(())
        } else {
            let reason = String::from_utf8_lossy(res.body());
            Err(unexpected("write_records", &operator, &reason))
        }
    }

    /// Takes a zone out (`out`) or brings it back (`serving`).
    pub async fn set_zone(&self, zone: &str, state: &str) -> Result<(), StandinError> {
        let region = ZONES.iter().find(|(z, _)| *z == zone).map(|(_, r)| *r);
        let record = record(
            "AvailabilityZone",
            zone,
            &json!({"region": region, "state": state}),
        );
        self.put_records(&json!([record])).await
    }

    /// Waits until each daemon knows records, targets and the other daemons.
    async fn wait_serving(&self, key: &str) -> Result<(), StandinError> {
        for daemon in &self.daemons {
            let address = daemon.caller_address.to_string();
            let deadline = clock::now() + STEP_TIMEOUT;
            while !(self.is_serving(&address, key).await
                && daemon.peers() + 1 >= self.daemons.len())
            {
                if clock::now() > deadline {
                    return Err(unexpected("wait_ready", &address, "not ready in time"));
                }
                tokio::time::sleep(POLL).await;
            }
        }
        Ok(())
    }

    /// Waits until each daemon is given credits for as many engines as a zone
    /// has. Right after a start none are handed out: owners are still being
    /// found, and leases on starting targets taken over.
    async fn wait_credits(&self, plan: &FleetPlan) -> Result<(), StandinError> {
        let customer = plan.customers.first();
        let key = customer.map_or("", |c| &*c.key);
        // By then all daemons have heard which of them may own targets.
        tokio::time::sleep(plan.timing.heartbeat * 2).await;
        for daemon in &self.daemons {
            let address = daemon.caller_address.to_string();
            let deadline = clock::now() + STEP_TIMEOUT;
            while !self.generates(&address, key, plan.engines_per_zone).await {
                if clock::now() > deadline {
                    return Err(unexpected("wait_credits", &address, "no credits in time"));
                }
                tokio::time::sleep(POLL).await;
            }
        }
        Ok(())
    }

    /// Whether a daemon answers so many short generations at once.
    async fn generates(&self, caller: &str, key: &str, count: usize) -> bool {
        let body = json!({
            "model": GENERATION_SERVICE, "prompt": "[n=4] ready?", "stream": false, "max_tokens": 4,
        });
        let calls = (0..count).map(|_| {
            let mut req = http::request(&Method::POST, caller, "/v1/completions", body.to_string());
            authorize(&mut req, key);
            http::call(&self.client, req, STEP_TIMEOUT, STEP_CAP)
        });
        let answers = futures::future::join_all(calls).await;
        let is_whole = |res: &hyper::Response<bytes::Bytes>| res.status() == StatusCode::OK;
        answers.iter().all(|a| a.as_ref().is_ok_and(is_whole))
    }

    /// Whether a daemon answers a status lookup of the plain service.
    async fn is_serving(&self, caller: &str, key: &str) -> bool {
        let path = format!("/services/{PLAIN_SERVICE}/status");
        let mut req = http::request(&Method::GET, caller, &path, bytes::Bytes::new());
        authorize(&mut req, key);
        let answered = http::call(&self.client, req, STEP_TIMEOUT, STEP_CAP).await;
        answered.is_ok_and(|res| res.status() == StatusCode::OK)
    }

    /// Stops the daemons gracefully, then everything else.
    pub async fn stop(self) {
        futures::future::join_all(self.daemons.into_iter().map(Daemon::stop)).await;
        for target in self.engines.iter().chain(&self.services) {
            target.stop();
        }
        self.platform.stop();
    }
}

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

pub(crate) fn unexpected(step: &'static str, peer: &str, reason: &str) -> StandinError {
    StandinError::Unexpected {
        step,
        peer: peer.into(),
        reason: reason.into(),
    }
}

/// Adds a bearer key to a request.
pub(crate) fn authorize<B>(req: &mut hyper::Request<B>, key: &str) {
    if let Ok(value) = format!("Bearer {key}").parse() {
        req.headers_mut().insert(AUTHORIZATION, value);
    }
}

fn record(kind: &str, name: &str, spec: &Value) -> Value {
    json!({"schema": SCHEMA_V1, "kind": kind, "name": name, "spec": spec})
}

/// The records of a fleet, in schema v1.
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
        let key_hash = hash_key(SALT, &customer.key);
        let spec = json!({
            "key_salt": SALT, "key_hash": key_hash, "share_percent": customer.share_percent,
        });
        record("Customer", &customer.name, &spec)
    }));
    Value::Array(records)
}
