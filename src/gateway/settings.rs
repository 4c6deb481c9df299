//! Settings of the gateway, read from one JSON file.

use std::{collections::BTreeMap, fs, net::SocketAddr, path::Path, time::Duration};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::extra_sends::SendBudget;
use crate::settings::SettingsError;

/// Settings of one gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct GatewaySettings {
    /// Name of the instance.
    pub name: Box<str>,
    /// IP address of the instance.
    pub ip: Box<str>,
    /// Availability zone it stands in.
    pub zone: Box<str>,
    /// Region of each availability zone.
    pub zones: BTreeMap<Box<str>, Box<str>>,
    /// Control addresses of some instances; may be out of date.
    #[serde(default)]
    pub seeds: Vec<Box<str>>,
    /// First and last port for daemons among themselves.
    pub peer_ports: (u16, u16),
    /// Addresses to listen on.
    pub listen: GatewayListen,
    /// Where the store answers.
    pub store: StoreSettings,
    /// Memory of the process, in MB.
    pub memory_mb: u64,
    /// Promised bounds.
    pub bounds: Bounds,
}

/// Addresses of the ports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct GatewayListen {
    /// Callers' HTTP port.
    pub callers: SocketAddr,
    /// Port that tells whether the daemon takes callers.
    pub readiness: SocketAddr,
    /// Port for metrics.
    pub metrics: SocketAddr,
}

/// The store's address and pace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct StoreSettings {
    /// `IP:port`.
    pub address: SocketAddr,
    /// Reads per second that all daemons together may make.
    pub reads_per_second: u32,
    /// Period at which targets renew their entries, in milliseconds.
    pub heartbeat_ms: u64,
}

/// Bounds that operators promise; each in the unit that its name ends with.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Bounds {
    /// Time between SIGTERM and SIGKILL.
    pub stop_grace_s: f64,
    /// Time after which a leaving target gets nothing new.
    pub drain_ms: u64,
    /// Time after which a configuration is in force.
    pub config_ms: u64,
    /// Time after which a removed key is refused, whatever is cut off.
    pub key_removal_ms: u64,
    /// Time after which a zone that is taken out gets nothing new.
    pub evacuation_ms: u64,
    /// A cold target bears its rate times this…
    pub cold_factor: f64,
    /// …and so many requests more, in a second.
    pub cold_extra: f64,
    /// Extra sends that all daemons may make per request…
    pub retry_share: f64,
    /// …and so many more in a window…
    pub retry_extra: f64,
    /// …of this length.
    pub retry_window_s: f64,
}

impl GatewaySettings {
    /// Reads settings from a file.
    ///
    /// # Errors
    /// The file cannot be read, or is not of the expected form.
    pub fn open(file: &Path) -> Result<Self, SettingsError> {
        let name: Box<str> = file.display().to_string().into();
        let text = fs::read_to_string(file).map_err(|source| SettingsError::Read {
            file: name.clone(),
            source,
        })?;
        serde_json::from_str(&text).map_err(|source| SettingsError::Parse { file: name, source })
    }

    /// Budget of all daemons for repeated sends.
    #[must_use]
    pub fn send_budget(&self) -> SendBudget {
        SendBudget {
            share: self.bounds.retry_share,
            extra: self.bounds.retry_extra,
            window: Duration::from_secs_f64(self.bounds.retry_window_s),
        }
    }

    /// Region of a zone; the zone's own name where it is not listed.
    #[must_use]
    pub fn region_of<'a>(&'a self, zone: &'a str) -> &'a str {
        self.zones.get(zone).map_or(zone, |region| region)
    }

    /// Region of this instance.
    #[must_use]
    pub fn region(&self) -> &str {
        self.region_of(&self.zone)
    }

    /// Longest age of the newest sure read of the configuration at which keys
    /// are still taken: the promised bound less the time for one request to
    /// leave and for timers that fire late.
    #[must_use]
    pub fn key_proof_age(&self) -> Duration {
        Duration::from_millis(self.bounds.key_removal_ms * 9 / 10)
    }
}
