//! bluebelldrift serves language generations, whose length is not known in
//! advance, on engines with little free capacity.
//!
//! The binaries parse their arguments and call this library.
//!
//! ```
//! use bluebelldrift::{Settings, Verdict, Cursor};
//!
//! let settings = Settings::example();
//! assert_eq!(&*settings.name, "entry-1");
//!
//! let mut cursor = Cursor::new("a-generation");
//! assert_eq!(cursor.accept("a-generation", 0), Verdict::Deliver);
//! assert_eq!(cursor.accept("a-generation", 0), Verdict::Drop);
//! ```

mod allot;
mod answer;
mod auth;
mod budget;
mod cell;
mod choose;
pub mod cli;
mod clock;
mod control;
mod credits;
pub mod ctl;
mod daemon;
mod decisions;
mod drain;
mod engine;
mod entry;
mod feeds;
mod follow;
mod footprint;
mod forward;
pub mod gateway;
mod generate;
mod holder;
mod http;
mod json_response;
mod lease;
pub mod ledger;
pub mod lengths;
pub mod load;
mod log;
mod membership;
mod metrics;
mod once;
mod operator;
mod owner;
mod parts;
mod peer;
mod place;
mod platform;
pub mod prefix;
pub mod quarantine;
pub mod records;
mod refusal;
mod relay;
mod resume;
mod run;
mod service;
mod settings;
mod settle;
mod spread;
pub mod standin;
mod stream;
mod supervisor;
mod trial;
mod view;
mod warmup;
pub mod wire;
mod write;

pub use crate::{
    allot::{Action, CreditAllocator, Daemons, LeaseAnswer, ListedTarget},
    auth::hash_key,
    budget::RetryBudget,
    cell::{MAX_CELL_SIZE, cells_of, owner_of},
    clock::{BootTime, now},
    credits::{Credit, Permit},
    daemon::{Daemon, DaemonError},
    engine::{EngineClient, EngineError, EngineEvent, EngineStream, GenerationRequest, LoadReport},
    http::{CallError, HttpClient, PortLimits, escaped, json_request, new_client, send_request},
    lease::{LeaseCall, LeaseRecord},
    log::{
        FLUSH_TIMEOUT as LOG_FLUSH_TIMEOUT, LogError, flush as flush_log, install as install_log,
        shown,
    },
    membership::{Health, Member, Membership},
    peer::{MessageKey, PeerError, call_peer},
    platform::{
        Instance, InstanceRole, InstanceState, Listing, Object, Platform, PlatformError, PutResult,
        Revision, WriteCondition,
    },
    refusal::{RAN_HEADER, REQUEST_HEADER, Ran, RefusalKind},
    relay::{EchoTracker, InstanceList, PeerContacts, Role, choose_relays},
    resume::{ResumeError, ResumeKeys, ResumePoint},
    settings::{LogSettings, Policy, Settings, SettingsError, settings_schemas},
    spread::{RecordReplica, single_change_page},
    stream::{Cursor, Verdict},
    view::TargetState,
    warmup::{Ramp, RampState},
};
