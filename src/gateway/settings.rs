//! Settings of the gateway, read from one JSON file.

use std::{collections::BTreeMap, fs, net::SocketAddr, path::Path, time::Duration};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::{fallback_read::ConfigBound, memory::MIN_MEMORY_MB, send_budget::SendBudget};
use crate::{
    records::Fault,
    settings::{SettingsError, fault},
};

/// Settings of one gateway daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct GatewaySettings {
    /// Name of the instance.
    pub name: Box<str>,
    /// IP address of the instance.
    pub ip: Box<str>,
    /// Availability zone of the instance.
    pub zone: Box<str>,
    /// Region of each availability zone.
    pub zones: BTreeMap<Box<str>, Box<str>>,
    /// IP addresses of some instances, asked while no other daemon is known; may
    /// be out of date.
    #[serde(default)]
    pub seeds: Vec<Box<str>>,
    /// First and last port reserved for traffic between daemons; the first is
    /// used.
    pub peer_ports: (u16, u16),
    /// Addresses to listen on.
    pub listen: GatewayListen,
    /// Configuration store.
    pub store: StoreSettings,
    /// Memory available to the process, in MB.
    pub memory_mb: u64,
    /// Whether the priority of each request is sent to engines. Off by default: engines preempt
    /// less urgent runs for urgent ones once their memory is full, and read their prompts again.
    #[serde(default)]
    pub sends_priority: bool,
    /// Service bounds that operators promise.
    pub bounds: Bounds,
    /// Bounds of rollouts; `None` on deployments without rollouts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rollouts: Option<RolloutSettings>,
}

/// Bounds of rollouts, that is of what a bad version may receive.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct RolloutSettings {
    /// Share of the requests of its service that a bad version may receive between the order
    /// and its time limit, from all daemons together.
    pub exposure_share: f64,
    /// Requests that a bad version may receive on top of that.
    pub exposure_slack: f64,
    /// Maximum time from the 50th bad response of a version until it receives no new requests,
    /// in milliseconds.
    pub rollback_ms: u64,
}

impl RolloutSettings {
    fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        if !(0.0..=1.0).contains(&self.exposure_share) {
            let reason = "must be from 0 to 1";
            faults.push(fault("/rollouts/exposure_share", reason));
        }
        if !self.exposure_slack.is_finite() || self.exposure_slack < 0.0 {
            let reason = "must be finite and not negative";
            faults.push(fault("/rollouts/exposure_slack", reason));
        }
        faults
    }
}

/// Addresses to listen on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct GatewayListen {
    /// Address of the HTTP port for callers.
    pub callers: SocketAddr,
    /// Address of the readiness probe, which reports whether the daemon accepts
    /// callers.
    pub readiness: SocketAddr,
    /// Address of the metrics endpoint.
    pub metrics: SocketAddr,
}

/// Address and rates of the configuration store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct StoreSettings {
    /// Address of the store, as `IP:port`.
    pub address: SocketAddr,
    /// Maximum read rate of all daemons together, in reads per second.
    pub reads_per_second: u32,
    /// Interval at which targets renew their entries, in milliseconds.
    pub heartbeat_ms: u64,
}

/// Service bounds that operators promise. The suffix of a field's name gives its
/// unit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Bounds {
    /// Time between SIGTERM and SIGKILL, in seconds.
    pub stop_grace_s: f64,
    /// Maximum time until a draining target receives no new requests, in
    /// milliseconds.
    pub drain_ms: u64,
    /// Maximum time until a new configuration is in force, in milliseconds.
    pub config_ms: u64,
    /// Maximum time until a removed key is refused, in milliseconds. Holds even
    /// if daemons are cut off from the store or from each other.
    pub key_removal_ms: u64,
    /// Maximum time until an evacuated availability zone receives no new
    /// requests, in milliseconds.
    pub evacuation_ms: u64,
    /// Multiple of the request rate configured for cold targets that one of them
    /// may receive from all daemons together.
    pub cold_factor: f64,
    /// Requests that a cold target may receive on top of that, per second.
    pub cold_extra: f64,
    /// Repeated sends that all daemons together may make per request.
    pub retry_share: f64,
    /// Repeated sends allowed on top of that within one window.
    pub retry_extra: f64,
    /// Length of the window, in seconds.
    pub retry_window_s: f64,
}

impl GatewaySettings {
    /// Reads and validates settings from a JSON file.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read, is not JSON of the expected
    /// form, or holds invalid values.
    pub fn read(file: &Path) -> Result<Self, SettingsError> {
        let name: Box<str> = file.display().to_string().into();
        let text = fs::read_to_string(file).map_err(|source| SettingsError::Read {
            file: name.clone(),
            source,
        })?;
        let parsed = serde_json::from_str(&text);
        let settings: Self =
            parsed.map_err(|source| SettingsError::Parse { file: name, source })?;
        let faults = settings.faults();
        if faults.is_empty() {
            Ok(settings)
        } else {
            Err(SettingsError::Invalid { faults })
        }
    }

    /// Returns example settings, a starting point for an operator's own.
    #[must_use]
    pub fn example() -> Self {
        let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Self {
            name: "entry-1".into(),
            ip: "127.0.0.1".into(),
            zone: "vest-bergen".into(),
            zones: BTreeMap::from([("vest-bergen".into(), "vest".into())]),
            seeds: Vec::new(),
            peer_ports: (7200, 7215),
            listen: GatewayListen {
                callers: address(8740),
                readiness: address(8749),
                metrics: address(9464),
            },
            store: StoreSettings {
                address: address(8742),
                reads_per_second: 2_000,
                heartbeat_ms: 1_200,
            },
            memory_mb: 110,
            sends_priority: false,
            bounds: Bounds {
                stop_grace_s: 8.0,
                drain_ms: 3_000,
                config_ms: 3_000,
                key_removal_ms: 5_000,
                evacuation_ms: 5_000,
                cold_factor: 1.5,
                cold_extra: 5.0,
                retry_share: 0.2,
                retry_extra: 58.0,
                retry_window_s: 10.0,
            },
            rollouts: None,
        }
    }

    /// Returns a fault for each value that has the right type but is invalid.
    fn faults(&self) -> Vec<Fault> {
        let bounds = &self.bounds;
        let durations = [
            ("/bounds/stop_grace_s", bounds.stop_grace_s),
            ("/bounds/retry_window_s", bounds.retry_window_s),
        ];
        let amounts = [
            ("/bounds/cold_factor", bounds.cold_factor),
            ("/bounds/cold_extra", bounds.cold_extra),
            ("/bounds/retry_share", bounds.retry_share),
            ("/bounds/retry_extra", bounds.retry_extra),
        ];
        let is_duration = |value: f64| Duration::try_from_secs_f64(value).is_ok() && value > 0.0;
        let durations = durations.iter().filter(|(_, value)| !is_duration(*value));
        let amounts = amounts
            .iter()
            .filter(|(_, value)| !value.is_finite() || *value < 0.0);
        let durations = durations.map(|(path, _)| fault(path, "must be a duration above zero"));
        let amounts = amounts.map(|(path, _)| fault(path, "must be finite and not negative"));
        let mut faults: Vec<Fault> = durations.chain(amounts).collect();
        if self.ip.parse::<std::net::IpAddr>().is_err() {
            faults.push(fault("/ip", "must be an IP address"));
        }
        if self.memory_mb < MIN_MEMORY_MB {
            let reason = "must be at least 25: the largest body and answer do not fit in less";
            faults.push(fault("/memory_mb", reason));
        }
        if bounds.key_removal_ms == 0 {
            faults.push(fault("/bounds/key_removal_ms", "must be above zero"));
        }
        faults.extend(self.rollouts.iter().flat_map(RolloutSettings::faults));
        faults
    }

    /// Returns the budget of all daemons together for repeated sends.
    #[must_use]
    pub fn send_budget(&self) -> SendBudget {
        SendBudget {
            share: self.bounds.retry_share,
            extra: self.bounds.retry_extra,
            window: Duration::from_secs_f64(self.bounds.retry_window_s),
        }
    }

    /// Returns the region of an availability zone, or the zone's own name if the
    /// zone is not listed.
    #[must_use]
    pub fn region_of<'a>(&'a self, zone: &'a str) -> &'a str {
        self.zones.get(zone).map_or(zone, |region| region)
    }

    /// Returns the region of this instance.
    #[must_use]
    pub fn region(&self) -> &str {
        self.region_of(&self.zone)
    }

    /// Returns the time within which a change of the configuration has to be in force.
    #[must_use]
    pub fn config_bound(&self) -> ConfigBound {
        ConfigBound::new(Duration::from_millis(self.bounds.config_ms))
    }

    /// Returns the maximum age of the last confirmed read of the configuration at
    /// which keys are still accepted.
    ///
    /// This is nine tenths of `key_removal_ms`; the rest covers the time for one
    /// request to be sent and for timers that fire late.
    #[must_use]
    pub fn max_config_age_for_keys(&self) -> Duration {
        Duration::from_millis(self.bounds.key_removal_ms * 9 / 10)
    }
}
