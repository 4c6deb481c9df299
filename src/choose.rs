//! Choice among the targets of a service.

use std::{fmt::Write, sync::Arc};

use crate::{
    clock::BootTime,
    credits::Permit,
    footprint::{Footprints, Need},
    prefix::PrefixHints,
    records::RoutingIntent,
    settings::Policy,
    view::{Standing, Target},
};

/// One in this many credits of a target is kept for short requests.
const SHORT_RESERVE: u32 = 8;
/// Expected memory that long requests may take up, in per cent of a daemon's
/// share of the engine's: above 100, since some end while others still grow.
const LONG_PERCENT: u64 = 125;
/// An engine whose requests wait and whose free memory is below this part of
/// it takes no more long ones.
const STARVED_PART: u64 = 16;
/// What a cached prompt token counts against a token of expected memory.
const CACHED_WEIGHT: u64 = 2;

/// What the choice depends on besides the targets.
pub(crate) struct Choosing<'a> {
    /// Availability zone of this daemon.
    pub zone: &'a str,
    /// Region of this daemon.
    pub region: &'a str,
    /// Intent of the service, if there is one.
    pub intent: Option<&'a RoutingIntent>,
    /// Targets already tried for this request.
    pub tried: &'a [Box<str>],
    /// Whether to pass over targets of a worse zone while a better one is asked
    /// for a credit.
    pub is_patient: bool,
    /// What the request needs, where the policy looks at it.
    pub fit: Option<Fit<'a>>,
}

/// What a request needs and what is known of the engines.
pub(crate) struct Fit<'a> {
    /// What the request needs.
    pub need: &'a Need,
    /// What this daemon's runs are expected to take.
    pub footprints: &'a Footprints,
    /// What engines are believed to have cached.
    pub prefixes: &'a PrefixHints,
    /// Whether memory is limited by expected lengths, or credits alone count.
    pub policy: Policy,
    /// Live daemons, this one included.
    pub daemons: u64,
}

/// A target with a permit to use it.
pub(crate) struct Chosen {
    /// The target.
    pub target: Arc<Target>,
    /// The credit that was taken.
    pub permit: Permit,
}

/// The outcome of a choice, with each candidate's reason for the log.
pub(crate) struct Choice {
    /// The target, unless none has room.
    pub chosen: Option<Chosen>,
    /// `name:reason` for each candidate, best first.
    pub reasons: String,
}

/// Takes a credit of the best target: preferred zone first, then own zone, own
/// region, and fewest requests in flight; or, where the request's need counts,
/// the least expected memory per target in place of the fewest requests.
pub(crate) fn choose(targets: &[Arc<Target>], cx: &Choosing<'_>, now: BootTime) -> Choice {
    let mut ranked: Vec<&Arc<Target>> = targets.iter().collect();
    ranked.sort_by_cached_key(|t| {
        let load = cx.fit.as_ref().map_or(0, |fit| fit.load(t));
        (rank(t, cx), load, t.credit.in_flight(), t.name.clone())
    });
    let mut reasons = String::new();
    let mut chosen = None;
    let mut asked_rank = None;
    for target in ranked {
        let reason = match unusable(target, cx).or_else(|| unfit(target, cx, now)) {
            Some(reason) => reason,
            None if chosen.is_some() => "behind",
            None if asked_rank.is_some_and(|asked| asked < rank(target, cx)) => "waits_for_better",
            None => match target.credit.try_acquire(now) {
                None => "no_credit",
                Some(permit) => {
                    let target = Arc::clone(target);
                    chosen = Some(Chosen { target, permit });
                    "chosen"
                }
            },
        };
        let is_asked = matches!(reason, "no_credit" | "short_reserve");
        if cx.is_patient && is_asked && !target.credit.is_saturated() {
            asked_rank.get_or_insert_with(|| rank(target, cx));
        }
        let _ = write!(reasons, "{}:{reason},", target.name);
    }
    reasons.pop();
    Choice { chosen, reasons }
}

fn unusable(target: &Target, cx: &Choosing<'_>) -> Option<&'static str> {
    if target.standing != Standing::Serving {
        return Some(match target.standing {
            Standing::ZoneOut => "zone_out",
            _ => "leaving",
        });
    }
    if cx.tried.contains(&target.name) {
        return Some("tried");
    }
    let is_abroad = &*target.region != cx.region;
    (is_abroad && cx.intent.is_some_and(|i| !i.cross_region)).then_some("other_region")
}

/// Why a target that has credits is still not for this request.
fn unfit(target: &Target, cx: &Choosing<'_>, now: BootTime) -> Option<&'static str> {
    let fit = cx.fit.as_ref()?;
    let held = target.credit.held(now);
    if !fit.need.is_short && target.credit.free(now) <= held / SHORT_RESERVE {
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

impl Fit<'_> {
    /// Expected memory of a target with this request, less what is cached.
    fn load(&self, target: &Target) -> u64 {
        let reserved = self.footprints.reserved(&target.name);
        let cached = self.prefixes.cached_tokens(&target.name, &self.need.blocks);
        (reserved + self.need.tokens).saturating_sub(CACHED_WEIGHT * cached)
    }

    /// Whether the request's expected memory fits into this daemon's share of
    /// the engine's, and the engine does not report that others wait for memory.
    fn has_memory(&self, target: &Target) -> bool {
        let load = &target.load;
        if load.kv_total == 0 || self.need.is_short {
            return true;
        }
        let reserved = self.footprints.reserved(&target.name);
        let share = load.kv_total * LONG_PERCENT / 100 / self.daemons.max(1);
        let fits = reserved == 0 || reserved + self.need.tokens <= share;
        let is_starved = load.waiting > 0 && load.kv_free < load.kv_total / STARVED_PART;
        fits && !is_starved
    }
}

/// Place of a target's zone in the order of preference; lower is better.
fn rank(target: &Target, cx: &Choosing<'_>) -> usize {
    let preferred = cx.intent.map_or(&[][..], |i| &i.prefer_zones);
    if let Some(place) = preferred.iter().position(|z| *z == target.zone) {
        return place;
    }
    let after = preferred.len();
    match (&*target.zone == cx.zone, &*target.region == cx.region) {
        (true, _) => after,
        (false, true) => after + 1,
        (false, false) => after + 2,
    }
}
