//! Holds the rollouts of this daemon: the orders, the versions that may be used, and what
//! other daemons report. Shared by the control thread, which decides, and the traffic thread,
//! which asks for each request and counts.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use super::{
    active_rollout::ActiveRollout,
    model::Fleet,
    peer_wire::{Incarnation, TargetKey, target_key},
    rollout_report::{RolloutDecision, RolloutReport},
    rollout_share::VersionUse,
    send_meter::{OpenSend, SendMeter, VersionSend},
    service_rollout::ServiceRollout,
    settings::RolloutSettings,
    version_outcomes::{OutcomeSums, ReportScope, Side},
};
use crate::clock::BootTime;

/// Time without a tick after which this daemon stood still and may not know of a verdict.
const MAX_TICK_PAUSE: Duration = Duration::from_secs(1);
/// Time after such a pause for which the new version gets nothing. By then this daemon has
/// reported, and has been told what it lacks.
const PAUSE_RECOVERY: Duration = Duration::from_millis(1_500);

/// Who is to get a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportTo {
    /// The leader of this daemon's zone.
    Leader,
    /// The leaders of the other zones.
    OtherLeaders,
    /// This daemon's zone and the leaders of the other zones.
    All,
}

#[derive(Debug, Default)]
struct State {
    services: HashMap<Box<str>, ServiceRollout>,
    /// Whether all targets and orders have been seen. Until then no version counts as new.
    is_complete: bool,
    ticked_at: BootTime,
    /// End of the last pause of this process.
    resumed_at: Option<BootTime>,
    next_number: u64,
}

impl State {
    fn is_stale(&self, now: BootTime) -> bool {
        let has_paused = now.saturating_sub(self.ticked_at) > MAX_TICK_PAUSE;
        let resumed_at = self.resumed_at;
        has_paused || resumed_at.is_some_and(|at| now.saturating_sub(at) < PAUSE_RECOVERY)
    }

    fn next_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }
}

#[derive(Debug)]
struct Inner {
    settings: RolloutSettings,
    daemon: Box<str>,
    zone: TargetKey,
    state: Mutex<State>,
}

/// The rollouts of this daemon. Clones share them. Without the setting it holds nothing, and
/// each call returns at once.
#[derive(Clone, Debug, Default)]
pub struct Rollouts(Option<Arc<Inner>>);

impl Rollouts {
    /// Creates the state of a daemon that knows no order yet.
    #[must_use]
    pub fn new(settings: Option<&RolloutSettings>, daemon: &str, zone: &str) -> Self {
        Self(settings.map(|settings| {
            Arc::new(Inner {
                settings: settings.clone(),
                daemon: daemon.into(),
                zone: target_key(zone),
                state: Mutex::default(),
            })
        }))
    }

    fn inner(&self) -> Option<(&Inner, MutexGuard<'_, State>)> {
        let inner = self.0.as_deref()?;
        let state = inner.state.lock().unwrap_or_else(PoisonError::into_inner);
        Some((inner, state))
    }

    /// Returns whether this deployment has rollouts.
    #[must_use]
    pub fn is_enabled(&self) -> bool {
        self.0.is_some()
    }

    /// Takes the orders and versions of a fleet, before it is published.
    pub fn observe(&self, fleet: &Fleet, now: BootTime) {
        let Some((inner, mut state)) = self.inner() else {
            return;
        };
        let first_seen = if state.is_complete {
            now
        } else {
            BootTime::ZERO
        };
        state.is_complete |= fleet.is_complete;
        for known in fleet.targets.values() {
            // Without one, a target counts as of a version of its own.
            let version = known.version.as_deref().unwrap_or_default();
            let service = &known.target.service;
            if !state.services.contains_key(service) {
                state
                    .services
                    .insert(service.clone(), ServiceRollout::default());
            }
            if let Some(service) = state.services.get_mut(service) {
                service.record_version(version, first_seen, now);
            }
        }
        for (service, rollout) in &fleet.rollouts {
            let number = state.next_number();
            let known = state.services.entry(service.clone()).or_default();
            known.put_order(rollout, number, &inner.daemon, now);
        }
        for (name, service) in &mut state.services {
            service.forget_versions(now);
            if !fleet.rollouts.contains_key(name) {
                service.end_order();
            }
        }
    }

    /// Decides on all orders again; `has_work` tells whether any daemon has work at a target.
    pub fn tick(&self, fleet: &Fleet, has_work: impl Fn(TargetKey) -> bool, now: BootTime) {
        self.observe(fleet, now);
        let Some((inner, mut state)) = self.inner() else {
            return;
        };
        let ticked_at = std::mem::replace(&mut state.ticked_at, now);
        if ticked_at > BootTime::ZERO && now.saturating_sub(ticked_at) > MAX_TICK_PAUSE {
            state.resumed_at = Some(now);
        }
        for service in state.services.values_mut() {
            if let Some(active) = &mut service.active {
                active.tick(fleet, inner.settings.exposure_share, &has_work, now);
            }
        }
    }

    /// Returns whether there is any order.
    #[must_use]
    pub fn has_orders(&self) -> bool {
        self.inner()
            .is_some_and(|(_, state)| state.services.values().any(|s| s.active.is_some()))
    }

    /// Returns which versions a request may go to. `offered` is a random number in `0..1` for
    /// the first send of a request, and `None` for further sends, backups and moves: these do
    /// not go to a version that gets only a share.
    #[must_use]
    pub fn version_use(&self, service: &str, offered: Option<f64>, now: BootTime) -> VersionUse {
        let Some((_, mut state)) = self.inner() else {
            return VersionUse::default();
        };
        let is_stale = state.is_stale(now);
        let Some(service) = state.services.get_mut(service) else {
            return VersionUse::default();
        };
        let excluded = service.excluded(now);
        let order = service.active.as_mut().map(|active| {
            let preference = active.preference(offered, is_stale);
            (active.order.version.clone(), preference)
        });
        VersionUse { excluded, order }
    }

    /// Returns whether runs at targets of a version are to be moved, because these targets are
    /// stopped soon.
    #[must_use]
    pub fn moves_runs(&self, service: &str, version: Option<&str>) -> bool {
        let Some((_, state)) = self.inner() else {
            return false;
        };
        let active = state.services.get(service).and_then(|s| s.active.as_ref());
        active.is_some_and(|a| {
            (a.moves_runs || a.is_completed)
                && a.verdict.is_none()
                && a.side_of(version) == Side::Old
        })
    }

    /// Counts a request that is sent. Returns the meter of its response; `None` without an
    /// order for the service.
    #[must_use]
    pub fn start(&self, send: &VersionSend<'_>, now: BootTime) -> Option<SendMeter> {
        let (_, mut state) = self.inner()?;
        let id = state.next_number();
        let service = state.services.get_mut(send.service)?;
        let active = service.active.as_mut()?;
        let side = active.side_of(send.version);
        active.record_send(side);
        if send.is_comparable {
            let open = OpenSend {
                side,
                route: send.route,
                objective: send.objective,
                sent_at: now,
                is_late: false,
            };
            active.open.insert(id, open);
        }
        Some(SendMeter::new(self.clone(), send, active.number, id, side))
    }

    /// Calls `act` with an order, if it is still the one with this number.
    pub(super) fn with_order(
        &self,
        service: &str,
        number: u64,
        act: impl FnOnce(&mut ActiveRollout),
    ) {
        if let Some((_, mut state)) = self.inner()
            && let Some(service) = state.services.get_mut(service)
            && let Some(active) = &mut service.active
            && active.number == number
        {
            act(active);
        }
    }

    /// Takes reports of another daemon. Returns whether it does not know what this one knows,
    /// so that it is to be sent [`Self::news`].
    #[must_use]
    pub fn merge(
        &self,
        reports: &[RolloutReport],
        (from, incarnation): (&str, Incarnation),
        zone: &str,
        now: BootTime,
    ) -> bool {
        let Some((inner, mut state)) = self.inner() else {
            return false;
        };
        let (from, zone) = (target_key(from), target_key(zone));
        let mut is_behind = false;
        for report in reports {
            let mut orders = state
                .services
                .values_mut()
                .filter_map(|s| s.active.as_mut());
            let Some(active) = orders.find(|a| a.is_about(report)) else {
                continue;
            };
            // Others are counted in the sums of their zone.
            let is_of_own_zone = zone == inner.zone;
            let is_counted = (report.scope == ReportScope::Daemon) == is_of_own_zone;
            let news;
            let report = if is_counted {
                report
            } else {
                news = RolloutReport {
                    sums: OutcomeSums::default(),
                    ..report.clone()
                };
                &news
            };
            is_behind |= active.merge(report, (from, incarnation), zone, now);
        }
        is_behind
    }

    /// Returns the reports that are due, and who gets them.
    #[must_use]
    pub fn reports(&self, leads: bool, now: BootTime) -> Vec<(ReportTo, RolloutReport)> {
        let Some((_, mut state)) = self.inner() else {
            return Vec::new();
        };
        let mut due = Vec::new();
        for active in state
            .services
            .values_mut()
            .filter_map(|s| s.active.as_mut())
        {
            let Some((report, has_news)) = active.due_report(leads, now) else {
                continue;
            };
            let to = if leads {
                ReportTo::OtherLeaders
            } else {
                ReportTo::Leader
            };
            due.push((to, report));
            if has_news {
                let news = active.report(ReportScope::News, OutcomeSums::default(), now);
                due.push((ReportTo::All, news));
            }
        }
        due
    }

    /// Returns whether there is something that all daemons are to be told now.
    #[must_use]
    pub fn has_news(&self, leads: bool) -> bool {
        self.inner().is_some_and(|(_, state)| {
            let mut active = state.services.values().filter_map(|s| s.active.as_ref());
            active.any(|a| a.has_news(leads))
        })
    }

    /// Returns what is known of all orders, without sums.
    #[must_use]
    pub fn news(&self, now: BootTime) -> Vec<RolloutReport> {
        let Some((_, state)) = self.inner() else {
            return Vec::new();
        };
        let active = state.services.values().filter_map(|s| s.active.as_ref());
        let news = active.map(|a| a.report(ReportScope::News, OutcomeSums::default(), now));
        news.collect()
    }

    /// Returns the decision on each order that the store holds, as of the last tick.
    #[must_use]
    pub fn decisions(&self, fleet: &Fleet, _now: BootTime) -> Vec<(Box<str>, RolloutDecision)> {
        let Some((_, state)) = self.inner() else {
            return Vec::new();
        };
        let ordered = fleet.rollouts.keys().filter_map(|service| {
            let active = state.services.get(service)?.active.as_ref()?;
            Some((service.clone(), active.decision()))
        });
        ordered.collect()
    }

    /// Returns the counts of all daemons for an order, as far as they are known.
    #[must_use]
    pub fn sums(&self, service: &str) -> Option<OutcomeSums> {
        let (_, state) = self.inner()?;
        let active = state.services.get(service)?.active.as_ref()?;
        Some(active.table.total())
    }
}
