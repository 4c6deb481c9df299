//! Selection of a target for a request among the targets of a service.
//!
//! Candidates are ranked by zone and region, then by expected memory or
//! requests in flight. Under load, some credits stay reserved for short
//! requests, and long requests are limited by the memory they are expected to
//! need.

use std::{fmt::Write, sync::Arc};

use crate::{
    clock::BootTime,
    credits::Permit,
    footprint::{MemoryReservations, RequestEstimate},
    prefix::PrefixHints,
    records::RoutingIntent,
    settings::Policy,
    view::{Target, TargetState},
};

/// One in this many credits of a target is reserved for short requests.
const SHORT_RESERVE_DIVISOR: u32 = 8;
/// Limit on the expected memory of this daemon's requests at an engine, above
/// which it sends no further long request there, in per cent of its share of the
/// engine's memory. It is above 100, since some requests end while others still
/// grow.
const LONG_MEMORY_PERCENT: u64 = 125;
/// An engine is sent no more long requests while requests wait there and less
/// than one part in this many of its memory is free.
const STARVED_DIVISOR: u64 = 16;
/// Tokens of expected memory that one cached prompt token offsets in the
/// ranking.
const CACHED_WEIGHT: u64 = 2;

/// Inputs of [`choose`] besides the targets.
pub(crate) struct ChoiceContext<'a> {
    /// Availability zone of this daemon.
    pub zone: &'a str,
    /// Region of this daemon.
    pub region: &'a str,
    /// Routing intent of the service, if it has one.
    pub intent: Option<&'a RoutingIntent>,
    /// Names of the targets already tried for this request.
    pub tried: &'a [Box<str>],
    /// Whether to skip targets of a worse rank while credits for a better one
    /// are being requested.
    pub waits_for_better: bool,
    /// The request's estimate, if the policy considers it.
    pub fit: Option<FitContext<'a>>,
}

/// A request's estimate and the data on the engines to compare it with.
pub(crate) struct FitContext<'a> {
    /// Expected memory and output length of the request.
    pub estimate: &'a RequestEstimate,
    /// Expected memory of this daemon's runs.
    pub reservations: &'a MemoryReservations,
    /// Prompt prefixes that the engines are likely to have cached.
    pub prefixes: &'a PrefixHints,
    /// Policy in force: [`Policy::TokenCredits`] also limits expected memory,
    /// the others only credits.
    pub policy: Policy,
    /// Number of live daemons, this one included.
    pub daemons: u64,
}

/// A target and a permit for one request there.
pub(crate) struct Placement {
    /// Target that was selected.
    pub target: Arc<Target>,
    /// Credit acquired at the target.
    pub permit: Permit,
}

/// Result of [`choose`], with the reason for each candidate for the log.
pub(crate) struct Choice {
    /// Selected target, or `None` if no candidate could take the request.
    pub chosen: Option<Placement>,
    /// `name:reason` for each candidate, best first.
    pub reasons: String,
}

/// Acquires a credit at the best target that has one.
///
/// Candidates are ordered by zone (preferred zones, then this daemon's zone,
/// then its region, then all others) and then by requests in flight, fewest
/// first. If `cx.fit` is set, the least expected memory comes before the fewest
/// requests.
pub(crate) fn choose(targets: &[Arc<Target>], cx: &ChoiceContext<'_>, now: BootTime) -> Choice {
    let mut ranked: Vec<&Arc<Target>> = targets.iter().collect();
    ranked.sort_by_cached_key(|t| {
        let memory = cx.fit.as_ref().map_or(0, |fit| fit.expected_memory(t));
        (rank(t, cx), memory, t.credit.in_flight(), t.name.clone())
    });
    let mut reasons = String::new();
    let mut chosen = None;
    let mut awaited_rank = None;
    for target in ranked {
        let reason = match exclusion_reason(target, cx).or_else(|| misfit_reason(target, cx, now)) {
            Some(reason) => reason,
            None if chosen.is_some() => "behind",
            None if awaited_rank.is_some_and(|awaited| awaited < rank(target, cx)) => {
                "waits_for_better"
            }
            None => match target.credit.try_acquire(now) {
                None => "no_credit",
                Some(permit) => {
                    let target = Arc::clone(target);
                    chosen = Some(Placement { target, permit });
                    "chosen"
                }
            },
        };
        let is_awaited = matches!(reason, "no_credit" | "short_reserve");
        if cx.waits_for_better && is_awaited && !target.credit.is_saturated() {
            awaited_rank.get_or_insert_with(|| rank(target, cx));
        }
        let _ = write!(reasons, "{}:{reason},", target.name);
    }
    reasons.pop();
    Choice { chosen, reasons }
}

/// Returns why a target is ruled out for this request: it takes no new work, was
/// tried before, or is in a region that the intent excludes.
fn exclusion_reason(target: &Target, cx: &ChoiceContext<'_>) -> Option<&'static str> {
    if target.state != TargetState::Serving {
        return Some(match target.state {
            TargetState::ZoneOut => "zone_out",
            _ => "leaving",
        });
    }
    if cx.tried.contains(&target.name) {
        return Some("tried");
    }
    let is_in_other_region = &*target.region != cx.region;
    (is_in_other_region && cx.intent.is_some_and(|i| !i.cross_region)).then_some("other_region")
}

/// Returns why a target that takes new work does not fit this request: its
/// remaining credits are reserved for short requests, or it lacks memory.
fn misfit_reason(target: &Target, cx: &ChoiceContext<'_>, now: BootTime) -> Option<&'static str> {
    let fit = cx.fit.as_ref()?;
    let held = target.credit.held(now);
    if !fit.estimate.is_short && target.credit.free(now) <= held / SHORT_RESERVE_DIVISOR {
        target.credit.report_shortage(now);
        return Some(if held == 0 {
            "no_credit"
        } else {
            "short_reserve"
        });
    }
    if fit.policy == Policy::TokenCredits && !fit.has_memory(target) {
        return Some("no_memory");
    }
    None
}

impl FitContext<'_> {
    /// Returns the expected memory of a target with this request added, less
    /// [`CACHED_WEIGHT`] times the prompt tokens it has cached.
    fn expected_memory(&self, target: &Target) -> u64 {
        let reserved = self.reservations.reserved(&target.name);
        let cached = self
            .prefixes
            .cached_tokens(&target.name, &self.estimate.blocks);
        (reserved + self.estimate.tokens).saturating_sub(CACHED_WEIGHT * cached)
    }

    /// Returns whether the request's expected memory fits into this daemon's
    /// share of the engine's memory, and the engine does not report both waiting
    /// requests and nearly full memory. A short request always fits, and so does
    /// any request at an engine of unknown memory size. The share does not limit
    /// a long request at an engine where this daemon has no other run.
    fn has_memory(&self, target: &Target) -> bool {
        let load = &target.load;
        if load.kv_total == 0 || self.estimate.is_short {
            return true;
        }
        let reserved = self.reservations.reserved(&target.name);
        let share = load.kv_total * LONG_MEMORY_PERCENT / 100 / self.daemons.max(1);
        let fits = reserved == 0 || reserved + self.estimate.tokens <= share;
        let is_starved = load.waiting > 0 && load.kv_free < load.kv_total / STARVED_DIVISOR;
        fits && !is_starved
    }
}

/// Returns the position of a target's zone in the order of preference; lower is
/// better.
fn rank(target: &Target, cx: &ChoiceContext<'_>) -> usize {
    let preferred = cx.intent.map_or(&[][..], |i| &i.prefer_zones);
    if let Some(position) = preferred.iter().position(|z| *z == target.zone) {
        return position;
    }
    let after = preferred.len();
    match (&*target.zone == cx.zone, &*target.region == cx.region) {
        (true, _) => after,
        (false, true) => after + 1,
        (false, false) => after + 2,
    }
}
