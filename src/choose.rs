//! Choice among the targets of a service.

use std::{fmt::Write, sync::Arc};

use crate::{
    clock::BootTime,
    credits::Permit,
    records::RoutingIntent,
    view::{Standing, Target},
};

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
/// region, and fewest requests in flight.
pub(crate) fn choose(targets: &[Arc<Target>], cx: &Choosing<'_>, now: BootTime) -> Choice {
    let mut ranked: Vec<&Arc<Target>> = targets.iter().collect();
    ranked.sort_by_cached_key(|t| (rank(t, cx), t.credit.in_flight(), t.name.clone()));
    let mut reasons = String::new();
    let mut chosen = None;
    for target in ranked {
        let reason = match unusable(target, cx) {
            Some(reason) => reason,
            None if chosen.is_some() => "behind",
            None => match target.credit.try_take(now) {
                None => "no_credit",
                Some(permit) => {
                    let target = Arc::clone(target);
                    chosen = Some(Chosen { target, permit });
                    "chosen"
                }
            },
        };
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
