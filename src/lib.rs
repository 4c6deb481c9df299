//! bluebelldrift serves language generations of unknown length on crowded
//! engines.
//!
//! The binaries are thin; this library holds everything they do.

mod admission;
mod choose;
pub mod cli;
mod clock;
mod control;
mod credits;
pub mod ctl;
mod daemon;
mod decisions;
mod engine;
mod entry;
mod feeds;
mod footprint;
mod generate;
mod http;
mod ledger;
pub mod lengths;
pub mod load;
mod log;
mod membership;
mod metrics;
mod operator;
mod owner;
mod peer;
mod place;
mod platform;
pub mod prefix;
pub mod records;
mod refusal;
mod service;
mod settings;
mod spread;
pub mod standin;
mod stream;
mod supervisor;
mod view;
pub mod wire;

pub use crate::{
    admission::hash_key,
    clock::{BootTime, now},
    credits::{Credit, Permit},
    daemon::{Daemon, DaemonError},
    engine::{EngineClient, EngineError, EngineEvent, EngineStream, GenerationRequest, LoadReport},
    http::{CallError, PortLimits},
    log::{LogError, install as install_log},
    membership::{Health, Member, Membership},
    peer::{PeerError, Seal, ask},
    platform::{
        Condition, Instance, InstanceRole, InstanceState, Listing, Object, Platform, PlatformError,
        Put, Revision,
    },
    refusal::{RAN_HEADER, REQUEST_HEADER, Ran, RefusalKind},
    settings::{Policy, Settings, SettingsError, settings_schemas},
    spread::Spread,
    stream::{Cursor, Verdict},
};
