//! State of one order at one daemon: how far it is and what all daemons have counted.
//!
//! Load pattern: daemons learn of an order at different times, restart, stand still, and hear of
//! each other late. The age of the order, the step and the verdict of whichever daemon is
//! furthest are therefore taken over by all, and never go back.

use std::{collections::HashMap, time::Duration};

use super::{
    model::Fleet,
    peer_wire::{Incarnation, TargetKey},
    rollout::{Rollout, RolloutOrder, RolloutState},
    rollout_plan::{RolloutMoment, RolloutStep, RolloutVerdict, VerdictCause},
    rollout_report::{OrderId, RolloutDecision, RolloutReport},
    rollout_share::{Preference, ShareCredit, VersionTargets},
    send_meter::OpenSend,
    store_era::era_of,
    version_outcomes::{OutcomeSums, OutcomeTable, Outcomes, ReportScope, Side},
};
use crate::{
    clock::{self, BootTime},
    log::shown,
    platform::Revision,
};

/// Interval between two reports without news.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum interval between two reports of a zone whose only bad responses are of the old
/// version. Such reports have to come soon as well: if all targets crash at once, the new
/// version would otherwise look worse for a while.
const OLD_BAD_INTERVAL: Duration = Duration::from_millis(400);
/// Time for which the figures have to show that the new version is bad, so that the reports of
/// all daemons on the same event are in.
const CONFIRMATION: Duration = Duration::from_millis(300);
/// Number of times that news are sent at once, since datagrams may be lost.
const NEWS_REPORTS: u8 = 3;

/// An order that is in the store.
#[derive(Debug)]
pub(super) struct ActiveRollout {
    pub order: RolloutOrder,
    pub id: OrderId,
    /// Number of the order in this process, for responses to requests of an earlier one.
    pub number: u64,
    /// Revision of the object as last read.
    revision: Revision,
    /// State of this order in the store.
    status: Option<RolloutState>,
    /// Whether the store has once said that it is completed; a restored store may have lost that.
    pub is_completed: bool,
    started_at: BootTime,
    step: RolloutStep,
    step_since: BootTime,
    /// Never withdrawn.
    pub verdict: Option<RolloutVerdict>,
    /// Share of the requests for the new version, as of the last tick.
    share: f64,
    pub moves_runs: bool,
    /// Decision of the last tick, unless the new version is bad.
    planned: RolloutDecision,
    /// Time since which targets of the new version are there.
    ready_since: Option<BootTime>,
    old_busy_at: BootTime,
    pub table: OutcomeTable,
    credit: ShareCredit,
    pub open: HashMap<u64, OpenSend>,
    reported_at: BootTime,
    /// Bad responses of the old and of the new version in the last report.
    reported_bad: [u32; 2],
    /// Time since which the figures show that the new version is bad.
    suspected_since: Option<BootTime>,
    /// Number of times that the step or the verdict is still to be sent to all.
    news_left: u8,
    /// Whether this daemon has decided on the verdict. One that is no leader of a zone passes
    /// only these on.
    has_decided: bool,
}

impl ActiveRollout {
    pub fn new(rollout: &Rollout, number: u64, daemon: &str, now: BootTime) -> Self {
        let id = OrderId::new(&rollout.order, rollout.revision);
        log::info!(
            "event=rollout_order service={} version={} limit_ms={} revision={} state={}",
            shown(&rollout.order.service),
            shown(&rollout.order.version),
            clock::millis(rollout.order.time_limit),
            rollout.revision,
            status_of(rollout).map_or_else(|| "none".to_owned(), |s| s.to_string())
        );
        let mut active = Self {
            order: rollout.order.clone(),
            id,
            number,
            revision: rollout.revision,
            status: None,
            is_completed: false,
            started_at: now,
            step: RolloutStep::Canary,
            step_since: now,
            verdict: None,
            share: 0.0,
            moves_runs: false,
            planned: RolloutDecision::Running { share: 0.0 },
            ready_since: None,
            old_busy_at: now,
            table: OutcomeTable::default(),
            credit: ShareCredit::new(daemon, id.spec),
            open: HashMap::new(),
            reported_at: BootTime::ZERO,
            reported_bad: [0; 2],
            suspected_since: None,
            news_left: 0,
            has_decided: false,
        };
        active.set_status(rollout);
        active
    }

    /// Applies a newer state of the object. Returns whether it is another order than before:
    /// one with other content, or one that was written again without a status.
    pub fn is_replaced_by(&mut self, rollout: &Rollout) -> bool {
        if rollout.order != self.order {
            return rollout.revision > self.revision;
        }
        if rollout.revision <= self.revision {
            return false;
        }
        let is_same_era = era_of(rollout.revision) == era_of(self.revision);
        if is_same_era && self.status.is_some() && rollout.status.is_none() {
            return true;
        }
        self.revision = rollout.revision;
        self.id.extend((rollout.revision, rollout.revision));
        self.set_status(rollout);
        false
    }

    fn set_status(&mut self, rollout: &Rollout) {
        self.status = status_of(rollout);
        self.is_completed |= self.status == Some(RolloutState::Completed);
        if self.status == Some(RolloutState::RolledBack) && !self.is_completed {
            self.set_verdict(RolloutVerdict {
                cause: VerdictCause::Status,
                old: Outcomes::default(),
                new: Outcomes::default(),
            });
            self.news_left = 0;
        }
    }

    /// Returns whether the store has the final state.
    fn is_final(&self) -> bool {
        matches!(
            self.status,
            Some(RolloutState::Completed | RolloutState::RolledBack)
        )
    }

    pub fn side_of(&self, version: Option<&str>) -> Side {
        if version == Some(&*self.order.version) {
            Side::New
        } else {
            Side::Old
        }
    }

    /// Returns where a request goes. `offered` is a random number in `0..1` for the first send
    /// of a request, `None` for others. `is_stale` tells that this daemon may not know of a
    /// verdict.
    pub fn preference(&mut self, offered: Option<f64>, is_stale: bool) -> Preference {
        if self.is_completed {
            return Preference::NewOnly;
        }
        if self.verdict.is_some() || is_stale {
            return Preference::Old;
        }
        if self.share >= 1.0 {
            return Preference::New;
        }
        match offered {
            Some(random) if self.credit.offer(self.share, random) => Preference::Few(self.share),
            _ => Preference::Old,
        }
    }

    pub fn record_send(&mut self, side: Side) {
        self.table.own.record_send(side);
        if side == Side::New && self.share < 1.0 {
            self.credit.record_send();
        }
    }

    fn set_verdict(&mut self, verdict: RolloutVerdict) {
        if self.verdict.is_some() {
            return;
        }
        log::warn!(
            "event=rollout_verdict service={} version={} cause={} step={} bad={} responses={} \
             old_bad={} old_responses={}",
            shown(&self.order.service),
            shown(&self.order.version),
            verdict.cause,
            self.step,
            verdict.new.bad,
            verdict.new.responses,
            verdict.old.bad,
            verdict.old.responses
        );
        self.verdict = Some(verdict);
        self.news_left = NEWS_REPORTS;
    }

    /// Updates what depends on time and on the reports of others.
    pub fn tick(
        &mut self,
        fleet: &Fleet,
        exposure_share: f64,
        has_work: impl Fn(TargetKey) -> bool,
        now: BootTime,
    ) {
        for open in self.open.values_mut().filter(|open| !open.is_late) {
            let time = now.saturating_sub(open.sent_at);
            if time > open.objective {
                open.is_late = true;
                self.table.own.record_time(open.side, open.route, time);
            }
        }
        let version = &*self.order.version;
        let targets = VersionTargets::of(fleet, &self.order.service, version, has_work, now);
        if targets.has_old_work {
            self.old_busy_at = now;
        }
        if targets.has_new {
            self.ready_since.get_or_insert(now);
        }
        let sums = self.table.total();
        let mut moment = RolloutMoment {
            age: now.saturating_sub(self.started_at),
            time_limit: self.order.time_limit,
            step: self.step,
            step_age: now.saturating_sub(self.step_since),
            ready_for: self
                .ready_since
                .map_or(Duration::ZERO, |at| now.saturating_sub(at)),
            old_idle_for: now.saturating_sub(self.old_busy_at),
            capacity: targets.capacity,
            sums: &sums,
        };
        if self.verdict.is_none() && !self.is_completed {
            self.judge(&moment, now);
        }
        if self.verdict.is_none() && self.suspected_since.is_none() {
            let step = moment.next_step();
            if step != self.step {
                self.set_step(step, now);
                moment.step = step;
                moment.step_age = Duration::ZERO;
            }
        }
        let share = moment.share(exposure_share);
        self.moves_runs = moment.moves_runs() && share >= 1.0;
        self.planned = if moment.is_complete() {
            RolloutDecision::Complete
        } else {
            RolloutDecision::Running { share }
        };
        self.set_share(if self.verdict.is_some() { 0.0 } else { share });
        sums.record_metrics(&self.order.service, self.share);
    }

    fn judge(&mut self, moment: &RolloutMoment<'_>, now: BootTime) {
        let Some(verdict) = moment.verdict() else {
            self.suspected_since = None;
            return;
        };
        let since = *self.suspected_since.get_or_insert(now);
        if now.saturating_sub(since) >= CONFIRMATION {
            self.has_decided = true;
            self.set_verdict(verdict);
        }
    }

    fn set_step(&mut self, step: RolloutStep, since: BootTime) {
        self.step = step;
        self.step_since = since;
        // The later steps follow at the same times at all daemons.
        if step == RolloutStep::Quarter {
            self.news_left = self.news_left.max(1);
        }
    }

    fn set_share(&mut self, share: f64) {
        if (share - self.share).abs() > 0.01 {
            log::info!(
                "event=rollout_share service={} version={} share={share:.3} step={}",
                shown(&self.order.service),
                shown(&self.order.version),
                self.step
            );
        }
        self.share = share;
    }

    /// Takes a report of another daemon. Returns whether its sender does not know what this
    /// daemon knows.
    pub fn merge(
        &mut self,
        report: &RolloutReport,
        from: (TargetKey, Incarnation),
        zone: TargetKey,
        now: BootTime,
    ) -> bool {
        self.id.extend(report.id.revisions);
        let ago = |ms: u32| now.saturating_sub(Duration::from_millis(ms.into()));
        self.started_at = self.started_at.min(ago(report.age_ms));
        self.table.merge(report.scope, from, zone, &report.sums);
        if let Some(verdict) = report.verdict.filter(|_| !self.is_completed) {
            self.set_verdict(verdict);
        }
        if report.step > self.step {
            self.set_step(report.step, ago(report.step_age_ms));
        }
        report.scope != ReportScope::News
            && (self.step > report.step || (self.verdict.is_some() && report.verdict.is_none()))
    }

    /// Returns whether there is something that all daemons are to be told now.
    pub fn has_news(&self, leads: bool) -> bool {
        !self.is_final() && self.news_left > 0 && (leads || self.has_decided)
    }

    /// Returns whether a report is about this order.
    pub fn is_about(&self, report: &RolloutReport) -> bool {
        self.id.is_same(&report.id)
    }

    /// Returns the sums to report now, and whether there are news for all; `None` if nothing is
    /// due.
    pub fn due_report(&mut self, leads: bool, now: BootTime) -> Option<(RolloutReport, bool)> {
        if self.is_final() {
            return None;
        }
        let (scope, sums) = if leads {
            (ReportScope::Zone, self.table.zone_sum())
        } else {
            (ReportScope::Daemon, self.table.own.clone())
        };
        let has_news = self.has_news(leads);
        if !has_news {
            self.news_left = 0;
        }
        let bad = [Side::Old, Side::New].map(|side| sums.total(side).bad);
        let age = now.saturating_sub(self.reported_at);
        let is_due = age >= REPORT_INTERVAL
            || bad[1] > self.reported_bad[1]
            || (bad[0] > self.reported_bad[0] && (!leads || age >= OLD_BAD_INTERVAL));
        if !is_due && !has_news {
            return None;
        }
        self.news_left = self.news_left.saturating_sub(1);
        self.reported_at = now;
        self.reported_bad = bad;
        Some((self.report(scope, sums, now), has_news))
    }

    /// Returns a report with these sums.
    pub fn report(&self, scope: ReportScope, sums: OutcomeSums, now: BootTime) -> RolloutReport {
        let age = |at| u32::try_from(clock::millis(now.saturating_sub(at))).unwrap_or(u32::MAX);
        RolloutReport {
            id: self.id,
            scope,
            age_ms: age(self.started_at),
            step: self.step,
            step_age_ms: age(self.step_since),
            verdict: self.verdict,
            sums,
        }
    }

    /// Returns what the store should say.
    pub fn decision(&self) -> RolloutDecision {
        if self.is_completed {
            RolloutDecision::Complete
        } else if self.verdict.is_some() {
            RolloutDecision::RollBack
        } else {
            self.planned
        }
    }
}

/// Returns the state of the object's present order; `None` if the status is of an earlier one.
fn status_of(rollout: &Rollout) -> Option<RolloutState> {
    let status = rollout.status.as_ref();
    let own = status.filter(|(_, version)| *version == rollout.order.version);
    own.map(|(state, _)| *state)
}
