//! A run against a fleet in the same process, with zones that come and go.

use std::time::Duration;

use serde::de::value::{Error as ValueError, StrDeserializer};
use serde::{Deserialize, de::IntoDeserializer};

use super::{Aim, measure};
use crate::{
    cli::LoadFleetArgs,
    clock::{self, BootTime},
    settings::{Policy, Timing},
    standin::{
        StandinError,
        fleet::{Fleet, FleetCustomer, FleetPlan, GENERATION_SERVICE, PLAIN_SERVICE, unexpected},
    },
};

/// Prompt tokens that an engine takes in per millisecond of unscaled time.
const PREFILL_PER_MS: u64 = 10;
/// Lag of the engines' reports in unscaled time.
const REPORT_LAG: Duration = Duration::from_secs(1);

/// A change of a zone's state.
#[derive(Clone, Debug)]
struct ZoneEvent {
    zone: Box<str>,
    state: Box<str>,
    at: Duration,
}

/// Starts the fleet, measures, and stops it.
pub(crate) async fn run(args: &LoadFleetArgs) -> Result<(), StandinError> {
    let plan = plan(args)?;
    let events = zone_events(&args.zone_events)?;
    let fleet = Fleet::start(&plan).await?;
    let aim = Aim {
        addresses: fleet.callers(),
        keys: plan.customers.iter().map(|c| c.key.clone()).collect(),
        generation: GENERATION_SERVICE.into(),
        plain: PLAIN_SERVICE.into(),
        engines: fleet
            .engines
            .iter()
            .map(|e| e.address.to_string().into())
            .collect(),
        parts_at: events.iter().map(|e| e.at).collect(),
    };
    let measured = measure(&args.traffic, aim, |began| {
        move_zones(&fleet, &events, began)
    })
    .await;
    fleet.stop().await;
    measured
}

async fn move_zones(
    fleet: &Fleet,
    events: &[ZoneEvent],
    began: BootTime,
) -> Result<(), StandinError> {
    for event in events {
        let wait = (began + event.at).saturating_sub(clock::now());
        tokio::time::sleep(wait).await;
        fleet.set_zone(&event.zone, &event.state).await?;
    }
    Ok(())
}

fn plan(args: &LoadFleetArgs) -> Result<FleetPlan, StandinError> {
    let customers = (0..args.customers.max(1)).map(|i| FleetCustomer {
        name: format!("customer-{i}").into(),
        key: format!("key-of-customer-{i}").into(),
        share_percent: args.share_percent,
    });
    let customers: Vec<FleetCustomer> = customers.collect();
    let mut plan = FleetPlan::small(customers[0].clone());
    plan.customers = customers;
    plan.policy = policy(&args.policy)?;
    plan.engines_per_zone = args.engines;
    plan.limit = args.limit;
    plan.cold_limit = args.cold_limit.unwrap_or(args.limit);
    let scale = args.traffic.time_scale.max(1);
    plan.engine.kv_tokens = args.kv_tokens;
    plan.engine.max_batch = args.max_batch;
    plan.engine.step_us = args.step_us / u64::from(scale);
    plan.engine.step_growth_us = args.step_growth_us / u64::from(scale);
    plan.engine.cache_blocks = args.cache_blocks;
    plan.engine.prefill_per_ms = PREFILL_PER_MS * u64::from(scale);
    plan.engine.report_lag_ms = clock::millis(REPORT_LAG / scale);
    plan.timing.queue_timeout = Timing::default().queue_timeout / scale;
    plan.timing.platform_poll = Timing::default().platform_poll / scale;
    Ok(plan)
}

fn policy(name: &str) -> Result<Policy, StandinError> {
    let named: StrDeserializer<'_, ValueError> = name.into_deserializer();
    Policy::deserialize(named).map_err(|e| unexpected("read_arguments", name, &e.to_string()))
}

fn zone_events(texts: &[Box<str>]) -> Result<Vec<ZoneEvent>, StandinError> {
    let parsed = texts.iter().map(|text| {
        let mut words = text.split(':');
        let (zone, state, at) = (words.next()?, words.next()?, words.next()?);
        Some(ZoneEvent {
            zone: zone.into(),
            state: state.into(),
            at: Duration::from_secs(at.parse().ok()?),
        })
    });
    let parsed: Option<Vec<ZoneEvent>> = parsed.collect();
    parsed.ok_or_else(|| unexpected("read_arguments", "--zone-event", "not ZONE:STATE:SECOND"))
}
