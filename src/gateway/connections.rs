//! Decides how many connections a port has, how long each may wait, and which one gives way to
//! a new one.
//!
//! Load pattern: more clients connect than the process has descriptors or memory for, and send
//! nothing, stop in the middle of a head, or send it very slowly. Ordinary callers send their
//! head at once and keep the connection for the next request.

use std::time::Duration;

use super::body_pace::{BodyPace, PaceLimits};
use crate::clock::BootTime;

/// Share of the process's memory for the heads that connections hold and the buffers of their
/// responses. The memory of requests does not cover a head that is not complete.
const CONNECTIONS_SHARE: f64 = 0.2;
/// Memory of a connection besides its head, in bytes: its task, and a small response.
const CONNECTION_BYTES: usize = 8 * 1024;
/// Share of the free descriptors for connections of callers. Each request in progress needs
/// about one more for its target, and a run two while it is copied.
const CALLERS_SHARE: f64 = 0.45;
/// Descriptors for the store, other daemons, listeners and the log.
const RESERVED_DESCRIPTORS: usize = 64;
/// Maximum number of connections of each of the ports for readiness and metrics. A load
/// balancer has a few.
const MAX_PROBES: usize = 64;
/// Part of all descriptors for each of these ports.
const PROBES_DIVISOR: usize = 16;
/// Least number of connections of a port, whatever the limits of the process.
const MIN_CONNECTIONS: usize = 8;
/// Part of the connections of a port that stay if they wait for the next request and the others
/// have not waited for long enough. The other places are enough for new connections.
const KEPT_DIVISOR: usize = 4;
/// Place of connections that wait for the next request among those that give way.
const WAITING_CLASS: u8 = 2;
const BYTES_PER_MB: f64 = 1e6;

/// Maximum numbers of connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionBounds {
    /// Connections of callers.
    pub callers: usize,
    /// Connections of the readiness port; those of the metrics port have the same bound.
    pub probes: usize,
}

impl ConnectionBounds {
    /// Derives the bounds from the limits of a process: open descriptors, memory in MB, and
    /// the size of a head in bytes.
    #[must_use]
    pub fn new(descriptors: usize, memory_mb: u64, max_header_bytes: usize) -> Self {
        let probes = (descriptors / PROBES_DIVISOR).clamp(MIN_CONNECTIONS, MAX_PROBES);
        let reserved = RESERVED_DESCRIPTORS + 2 * probes;
        let by_descriptors = scale(descriptors.saturating_sub(reserved), CALLERS_SHARE);
        let memory = usize::try_from(memory_mb).unwrap_or(usize::MAX);
        let memory = scale(memory, BYTES_PER_MB * CONNECTIONS_SHARE);
        let by_memory = memory / max_header_bytes.saturating_add(CONNECTION_BYTES);
        Self {
            callers: by_descriptors.min(by_memory).max(MIN_CONNECTIONS),
            probes,
        }
    }
}

#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "not negative, far below 2^52, and saturates"
)]
fn scale(number: usize, factor: f64) -> usize {
    (number as f64 * factor) as usize
}

/// Longest times for which a connection may wait.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionTimes {
    /// From the first byte of a head to its end.
    pub head: Duration,
    /// Without a request.
    pub idle: Duration,
    /// Without progress while a response is written.
    pub write: Duration,
}

/// Which connections of a full port give way to a new one.
#[derive(Clone, Copy, Debug)]
pub struct EvictionRule {
    /// Shortest wait after which a connection gives way, so that new ones have time for their
    /// first request.
    pub min_wait: Duration,
    /// Requests per second above which a connection gives way in any state, as does one whose
    /// responses are not read; `None` if a connection in use stays.
    pub max_request_rate: Option<f64>,
}

/// What is known of one connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionState {
    /// Time at which it was accepted.
    accepted_at: BootTime,
    /// Time at which bytes last went in either direction.
    active_at: BootTime,
    /// Time of the first byte of a head that is not complete.
    head_since: Option<BootTime>,
    /// Number of requests that have come.
    requests: u32,
    /// Time since which bytes of a response wait to be written.
    writing_since: Option<BootTime>,
    /// What its caller has read of it since.
    read_pace: Option<BodyPace>,
}

impl ConnectionState {
    /// Creates the state of a connection that was just accepted.
    #[must_use]
    pub fn new(now: BootTime) -> Self {
        Self {
            accepted_at: now,
            active_at: now,
            head_since: None,
            requests: 0,
            writing_since: None,
            read_pace: None,
        }
    }

    /// Records bytes that were read; `in_request` while a request is in progress.
    pub fn record_read(&mut self, in_request: bool, now: BootTime) {
        self.active_at = now;
        if !in_request {
            self.head_since.get_or_insert(now);
        }
    }

    /// Records that a head is complete.
    pub fn record_request(&mut self) {
        self.head_since = None;
        self.requests = self.requests.saturating_add(1);
    }

    /// Records that bytes wait to be written, and whether some were.
    pub fn record_write(&mut self, has_progress: bool, now: BootTime) {
        if has_progress || self.writing_since.is_none() {
            self.active_at = now;
        }
        self.writing_since.get_or_insert(now);
        self.read_pace.get_or_insert_with(|| BodyPace::new(now));
    }

    /// Records how many bytes were written.
    pub fn record_written(&mut self, bytes: usize, now: BootTime) {
        if let Some(pace) = &mut self.read_pace {
            pace.record(bytes, now);
        }
    }

    /// Returns whether the peer reads a response too slowly, by the same rule as for a body that
    /// it sends.
    #[must_use]
    pub fn is_read_too_slowly(
        &self,
        limits: &PaceLimits,
        has_shortage: bool,
        now: BootTime,
    ) -> bool {
        let pace = self.read_pace;
        pace.is_some_and(|pace| pace.is_too_slow(limits, has_shortage, now))
    }

    /// Records that all bytes were written.
    pub fn record_flush(&mut self, now: BootTime) {
        self.read_pace = None;
        if self.writing_since.take().is_some() {
            self.active_at = now;
        }
    }

    /// Returns the time at which the connection is closed unless something happens on it;
    /// `None` while a request is in progress.
    #[must_use]
    pub fn expires_at(&self, in_request: bool, times: &ConnectionTimes) -> Option<BootTime> {
        if self.writing_since.is_some() {
            return Some(self.active_at + times.write);
        }
        if in_request {
            return None;
        }
        let by_head = self.head_since.map(|since| since + times.head);
        Some(by_head.unwrap_or(self.active_at + times.idle))
    }

    /// Returns the place of this connection among those that give way to a new one, lowest
    /// first; `None` if it does not. Connections that never had a request go first, by age,
    /// since bytes that trickle in are no request; those that wait for the next one go last.
    #[must_use]
    pub fn eviction_rank(
        &self,
        in_request: bool,
        rule: &EvictionRule,
        now: BootTime,
    ) -> Option<(u8, BootTime)> {
        let rank = self.rank(in_request, rule, now);
        rank.filter(|(_, since)| now.saturating_sub(*since) >= rule.min_wait)
    }

    /// Returns the place that this connection has once it has waited for long enough.
    fn rank(&self, in_request: bool, rule: &EvictionRule, now: BootTime) -> Option<(u8, BootTime)> {
        let age = now.saturating_sub(self.accepted_at);
        let max_rate = rule.max_request_rate;
        let is_in_use = in_request || self.writing_since.is_some();
        let max_requests = max_rate.map(|rate| rate * age.as_secs_f64().max(1.0));
        Some(if is_in_use && max_rate.is_none() {
            return None;
        } else if self.requests == 0 {
            (0, self.accepted_at)
        } else if max_requests.is_some_and(|max| f64::from(self.requests) > max) {
            (1, self.accepted_at)
        } else if let Some(since) = self.writing_since {
            (1, since)
        } else {
            (WAITING_CLASS, self.head_since.unwrap_or(self.active_at))
        })
    }
}

/// Returns the connection of a full port that gives way to a new one; `None` if none does yet.
/// `connections` has the state of each, and whether a request is in progress on it.
///
/// Where connections in use give way too, some of those that wait for the next request stay as
/// long as the others will have waited for long enough soon. A load balancer's is among them: it
/// waits between two probes, and clients that open many connections at once are all younger.
pub fn connection_to_evict<K: Ord + Copy>(
    connections: impl IntoIterator<Item = (K, bool, ConnectionState)>,
    rule: &EvictionRule,
    now: BootTime,
) -> Option<K> {
    let (mut count, mut waiting) = (0, 0);
    let mut first: Option<((u8, BootTime), K)> = None;
    for (key, in_request, state) in connections {
        count += 1;
        if let Some((WAITING_CLASS, _)) = state.rank(in_request, rule, now) {
            waiting += 1;
        }
        if let Some(rank) = state.eviction_rank(in_request, rule, now) {
            let ranked = (rank, key);
            first = Some(first.map_or(ranked, |first| first.min(ranked)));
        }
    }
    let ((class, _), key) = first?;
    let stays = rule.max_request_rate.is_some()
        && class == WAITING_CLASS
        && waiting <= count / KEPT_DIVISOR;
    (!stays).then_some(key)
}
