//! Holds the speed estimates of all targets, and exchanges their long-lived parts with other
//! daemons.
//!
//! Load pattern: 340 daemons have requests at 600 targets, a third of which are slow. Reports
//! hold a few targets each and go to a few daemons a second; all know of a target after some
//! seconds, which is less than the long-lived part averages over.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use super::{
    peer_wire::{SpeedReport, TargetKey},
    target_speed::{Average, SpeedEstimate, StatedLoad, UnseenRequests},
};
use crate::clock::BootTime;

/// Maximum number of targets with estimates, far above the targets of a fleet.
const MAX_TARGETS: usize = 4_096;
/// Maximum number of services with an average gap.
const MAX_SERVICES: usize = 256;
/// Interval between two reports, and maximum number of targets in one: with eight receivers,
/// about 1 KB/s of the 6 KB/s that control traffic may take.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
const MAX_REPORTED: usize = 8;
/// Shortest time between two log lines about unreadable values.
const UNREADABLE_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Factors from usual above which a target's long-lived value is logged as unusual and below
/// which it is logged as usual again, and shortest time between two lines of one target.
const UNUSUAL_FACTOR: f64 = 1.15;
const USUAL_FACTOR: f64 = 1.07;
const CHANGE_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Slowness above which a target counts as slow in the metrics.
const SLOW: f64 = 1.15;

#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    estimate: SpeedEstimate,
    reported_at: BootTime,
    is_logged_unusual: bool,
    logged_at: Option<BootTime>,
}

/// Counts of targets by believed speed, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SpeedSummary {
    /// Number of targets with an estimate.
    pub known: u32,
    /// Number of targets that are slow now.
    pub slow_now: u32,
    /// Number of targets whose long-lived part is slow.
    pub slow_long: u32,
    /// Highest slowness of any target now; 1 without targets.
    pub slowest: f64,
}

/// Speed estimates by target.
#[derive(Clone, Debug, Default)]
pub struct SpeedTable {
    /// At most [`MAX_TARGETS`].
    entries: HashMap<TargetKey, Entry>,
    /// Average logarithm of the gaps between events, by service; at most [`MAX_SERVICES`].
    usual_gaps: HashMap<TargetKey, Average>,
    reported_at: Option<BootTime>,
    unreadable_logged_at: Option<BootTime>,
    unreadable: u64,
}

impl SpeedTable {
    /// Records the load that an answer of a target states; see [`SpeedEstimate::record_load`].
    pub fn record_load(
        &mut self,
        target: TargetKey,
        load: &StatedLoad,
        own_requests: u32,
        now: BootTime,
    ) {
        if let Some(entry) = self.entry(target) {
            entry.estimate.record_load(load, own_requests, now);
        }
    }

    /// Records the average gap between events of a run.
    pub fn record_gap(
        &mut self,
        target: TargetKey,
        service: TargetKey,
        gap: Duration,
        now: BootTime,
    ) {
        let Some(entry) = self.entries.get_mut(&target) else {
            return;
        };
        let is_full = self.usual_gaps.len() >= MAX_SERVICES;
        if is_full && !self.usual_gaps.contains_key(&service) {
            return;
        }
        let usual = self.usual_gaps.entry(service).or_default();
        entry.estimate.record_gap(gap, usual, now);
    }

    /// Records the time to a first event; see [`SpeedEstimate::record_first_event`].
    pub fn record_first_event(&mut self, target: TargetKey, ratio: f64, now: BootTime) {
        if let Some(entry) = self.entries.get_mut(&target) {
            entry.estimate.record_first_event(ratio, now);
        }
    }

    /// Adds the reports of another daemon.
    pub fn merge(&mut self, reports: &[SpeedReport], now: BootTime) {
        for report in reports {
            if let Some(entry) = self.entry(report.target) {
                entry.estimate.merge(report, now);
            }
        }
    }

    /// Returns the report to send to other daemons now; empty if none is due. It holds only
    /// this daemon's own estimates, so that no value is echoed.
    pub fn report(&mut self, now: BootTime) -> Vec<SpeedReport> {
        let elapsed = self.reported_at.map(|at| now.saturating_sub(at));
        if elapsed.is_some_and(|elapsed| elapsed < REPORT_INTERVAL) {
            return Vec::new();
        }
        self.reported_at = Some(now);
        let reports = self.entries.iter_mut().filter_map(|(key, entry)| {
            let report = entry.estimate.report(*key, now)?;
            Some((entry, report))
        });
        let mut reports: Vec<_> = reports.collect();
        reports.sort_by_key(|(entry, report)| (entry.reported_at, report.target));
        reports.truncate(MAX_REPORTED);
        let report = |(entry, report): (&mut Entry, SpeedReport)| {
            entry.reported_at = now;
            report
        };
        reports.into_iter().map(report).collect()
    }

    /// Returns how long work takes on a target now, as a factor of what is usual.
    #[must_use]
    pub fn slowness(&self, target: TargetKey, now: BootTime) -> f64 {
        let entry = self.entries.get(&target);
        entry.map_or(1.0, |entry| entry.estimate.slowness(now))
    }

    /// Returns the requests of other systems at a target; see [`SpeedEstimate::unseen`].
    #[must_use]
    pub fn unseen(&self, target: TargetKey, reported: u32, now: BootTime) -> UnseenRequests {
        let entry = self.entries.get(&target);
        entry.map_or_else(UnseenRequests::default, |entry| {
            entry.estimate.unseen(reported, now)
        })
    }

    /// Returns the long-lived slowness of a target if it has become unusual, or usual again,
    /// since it was last returned. Limited per target.
    pub fn take_change(&mut self, target: TargetKey, now: BootTime) -> Option<f64> {
        let entry = self.entries.get_mut(&target)?;
        let elapsed = entry.logged_at.map(|at| now.saturating_sub(at));
        if elapsed.is_some_and(|elapsed| elapsed < CHANGE_LOG_INTERVAL) {
            return None;
        }
        let slowness = entry.estimate.long_slowness(now);
        let factor = slowness.max(1.0 / slowness);
        let is_changed = if entry.is_logged_unusual {
            factor < USUAL_FACTOR
        } else {
            factor > UNUSUAL_FACTOR
        };
        if !is_changed {
            return None;
        }
        entry.is_logged_unusual = !entry.is_logged_unusual;
        entry.logged_at = Some(now);
        Some(slowness)
    }

    /// Counts an unreadable value. Returns the number of values since the last line if one is
    /// to be logged now.
    pub fn count_unreadable(&mut self, now: BootTime) -> Option<u64> {
        self.unreadable += 1;
        let logged_at = self.unreadable_logged_at;
        let is_due = logged_at.is_none_or(|at| now.saturating_sub(at) >= UNREADABLE_LOG_INTERVAL);
        is_due.then(|| {
            self.unreadable_logged_at = Some(now);
            std::mem::take(&mut self.unreadable)
        })
    }

    /// Returns the counts for metrics.
    #[must_use]
    pub fn summary(&self, now: BootTime) -> SpeedSummary {
        let mut summary = SpeedSummary {
            slowest: 1.0,
            ..SpeedSummary::default()
        };
        for entry in self.entries.values() {
            let slowness = entry.estimate.slowness(now);
            summary.known += 1;
            summary.slow_now += u32::from(slowness > SLOW);
            summary.slow_long += u32::from(entry.estimate.long_slowness(now) > SLOW);
            summary.slowest = summary.slowest.max(slowness);
        }
        summary
    }

    /// Removes the estimates of targets that are not listed.
    pub fn retain(&mut self, is_listed: impl Fn(TargetKey) -> bool) {
        self.entries.retain(|target, _| is_listed(*target));
        if self.entries.is_empty() {
            self.usual_gaps.clear();
        }
    }

    /// Returns whether there are no estimates.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of targets with estimates.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    fn entry(&mut self, target: TargetKey) -> Option<&mut Entry> {
        let is_full = self.entries.len() >= MAX_TARGETS;
        if is_full && !self.entries.contains_key(&target) {
            return None;
        }
        Some(self.entries.entry(target).or_default())
    }
}

/// The [`SpeedTable`] of this daemon. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct SpeedTracker(Arc<Mutex<SpeedTable>>);

impl SpeedTracker {
    /// Returns the table.
    pub fn table(&self) -> MutexGuard<'_, SpeedTable> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
