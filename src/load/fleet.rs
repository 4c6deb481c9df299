//! Load run against a fleet in the same process, whose availability zones change
//! state at given times.

use std::time::Duration;

use serde::de::value::{Error as ValueError, StrDeserializer};
use serde::{Deserialize, de::IntoDeserializer};

use super::{RunConfig, measure};
use crate::{
    cli::LoadFleetArgs,
    clock::{self, BootTime},
    settings::{Policy, Timing},
    standin::{
        StandinError,
        fleet::{Fleet, FleetCustomer, FleetPlan, GENERATION_SERVICE, PLAIN_SERVICE, unexpected},
    },
};

/// Prompt tokens that an engine prefills per millisecond of unscaled time.
const PREFILL_PER_MS: u64 = 10;
/// Delay of the engines' load reports, in unscaled time.
const REPORT_LAG: Duration = Duration::from_secs(1);

/// State change of an availability zone, at a time since the start of the run.
#[derive(Clone, Debug)]
struct ZoneEvent {
    zone: Box<str>,
    state: Box<str>,
    at: Duration,
}

/// Starts the fleet, runs the traffic against it and stops the fleet.
pub(crate) async fn run(args: &LoadFleetArgs) -> Result<(), StandinError> {
    let plan = fleet_plan(args)?;
    let events = parse_zone_events(&args.zone_events)?;
    let fleet = Fleet::start(&plan).await?;
    let config = RunConfig {
        addresses: fleet.caller_addresses(),
        keys: plan.customers.iter().map(|c| c.key.clone()).collect(),
        generation_service: GENERATION_SERVICE.into(),
        plain_service: PLAIN_SERVICE.into(),
        engines: fleet
            .engines
            .iter()
            .map(|e| e.address.to_string().into())
            .collect(),
        part_starts: events.iter().map(|e| e.at).collect(),
    };
    let measured = measure(&args.traffic, config, |started_at| {
        apply_zone_events(&fleet, &events, started_at)
    })
    .await;
    fleet.stop().await;
    measured
}

async fn apply_zone_events(
    fleet: &Fleet,
    events: &[ZoneEvent],
    started_at: BootTime,
) -> Result<(), StandinError> {
    for event in events {
        let wait = (started_at + event.at).saturating_sub(clock::now());
        tokio::time::sleep(wait).await;
        fleet.set_zone(&event.zone, &event.state).await?;
    }
    Ok(())
}

fn fleet_plan(args: &LoadFleetArgs) -> Result<FleetPlan, StandinError> {
    let customers = (0..args.customers.max(1)).map(|i| FleetCustomer {
        name: format!("customer-{i}").into(),
        key: format!("key-of-customer-{i}").into(),
        share_percent: args.share_percent,
    });
    let customers: Vec<FleetCustomer> = customers.collect();
    let mut plan = FleetPlan::small(customers[0].clone());
    plan.customers = customers;
    plan.policy = parse_policy(&args.policy)?;
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

fn parse_policy(name: &str) -> Result<Policy, StandinError> {
    let deserializer: StrDeserializer<'_, ValueError> = name.into_deserializer();
    Policy::deserialize(deserializer)
        .map_err(|e| unexpected("read_arguments", name, &e.to_string()))
}

fn parse_zone_events(texts: &[Box<str>]) -> Result<Vec<ZoneEvent>, StandinError> {
    let parsed = texts.iter().map(|text| {
        let mut fields = text.split(':');
        let (zone, state, at) = (fields.next()?, fields.next()?, fields.next()?);
        Some(ZoneEvent {
            zone: zone.into(),
            state: state.into(),
            at: Duration::from_secs(at.parse().ok()?),
        })
    });
    let parsed: Option<Vec<ZoneEvent>> = parsed.collect();
    parsed.ok_or_else(|| {
        unexpected(
            "read_arguments",
            "--zone-event",
            "expected ZONE:STATE:SECOND",
        )
    })
}
