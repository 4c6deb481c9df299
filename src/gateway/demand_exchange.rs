//! Exchanges the demand of customers with other daemons while a service is short of room, and
//! derives from it which customers are limited.
//!
//! Load pattern: 340 daemons, of which each knows only its own callers. Each sends the few
//! largest customers to the leader of its zone; leaders exchange the sums of their zones, and
//! send those of all zones to a few daemons, which pass them on to a few more. So the bytes of
//! one daemon hardly depend on the number of daemons, except those that a leader receives,
//! which a longer interval bounds after the first seconds. Nothing is sent while no service is short of room.

use std::{collections::BTreeMap, time::Duration};

use super::{
    customer_demand::{ClassKey, DemandMeter, MAX_CLASSES_REPORTED},
    customer_shares::{CustomerKey, CustomerRate, Limited, ServiceDemand},
    model::ZoneName,
    peer_wire::{
        CustomerDemand, DemandReport, DemandScope, Incarnation, ServiceDemandReport, rate_from_wire,
    },
    peers::DaemonName,
};
use crate::clock::BootTime;

/// Shortest and longest interval between the reports of one daemon.
const MIN_INTERVAL: Duration = Duration::from_secs(1);
const MAX_INTERVAL: Duration = Duration::from_secs(5);
/// Number of reports of a daemon and of a leader at the beginning of a shortage that follow each
/// other faster, and their interval. The first ones cannot tell much of a burst yet: with two
/// first reports, 340 daemons gave back 70% of what a burst took in the replay, with four 83%.
const FIRST_REPORTS: u32 = 4;
const FIRST_INTERVAL: Duration = Duration::from_secs(1);
const FIRST_LEADER_REPORTS: u32 = 6;
const FIRST_LEADER_INTERVAL: Duration = Duration::from_millis(400);
/// Bytes per second that the reports of a zone to its leader may take, a third of what all
/// control traffic of a daemon may, and the size of a report and of what it says of one service.
const ZONE_BYTES_PER_SECOND: f64 = 2_000.0;
const REPORT_BYTES: f64 = 60.0;
const SERVICE_BYTES: f64 = 60.0;
/// How long the report of a daemon counts: one may be lost at the longest interval.
const DAEMON_EXPIRY: Duration = Duration::from_secs(12);
/// How long the reports of leaders count: two may be lost.
const LEADER_EXPIRY: Duration = Duration::from_millis(3_500);
/// Number of customers by service in the reports of leaders.
const MAX_REPORTED: usize = 8;
/// Number of daemons to which a daemon passes on the demand of all daemons. Each of 113 daemons
/// gets more than nine in ten of the reports.
pub const FORWARDED_TO: usize = 3;
/// Part of all daemons whose demand has to be known. With less, a customer whose callers have
/// moved from one daemon to another would seem to send more.
const MIN_KNOWN_DAEMONS: f64 = 0.5;

/// What a daemon knows of the others when it exchanges demand.
#[derive(Clone, Copy, Debug, Default)]
pub struct Surroundings {
    /// Whether this daemon leads its zone.
    pub is_leader: bool,
    /// Number of the daemons of its zone.
    pub zone_daemons: usize,
    /// Number of all daemons.
    pub daemons: usize,
    /// Number of customers of the configuration.
    pub customers: usize,
}

/// A report of another daemon.
#[derive(Clone, Debug)]
struct Received {
    origin: Incarnation,
    number: u32,
    at: BootTime,
    services: Vec<ServiceDemandReport>,
}

/// Returns whether a report is newer than the known one. Reports arrive twice and out of order,
/// and some date from before a restart. Of two daemons that both lead a zone for a moment, the
/// first one counts until it is silent.
fn is_newer(
    known: Option<&Received>,
    report: &DemandReport,
    expiry: Duration,
    now: BootTime,
) -> bool {
    known.is_none_or(|known| {
        let is_silent = now.saturating_sub(known.at) >= expiry;
        let is_restarted = report.scope == DemandScope::Daemon && report.origin > known.origin;
        let is_next = report.origin == known.origin && report.number > known.number;
        is_silent || is_restarted || is_next
    })
}

/// Demand of customers at this daemon and, as reported, at others.
#[derive(Debug, Default)]
pub struct DemandExchange {
    /// Demand at this daemon.
    pub meter: DemandMeter,
    incarnation: Incarnation,
    /// Number of the last report, and of those since a shortage began; 0 if there is none.
    number: u32,
    reports_of_shortage: u32,
    reported_at: Option<BootTime>,
    /// Reports of the daemons of this zone, received while this daemon leads it.
    daemons: BTreeMap<DaemonName, Received>,
    /// Reports of the leaders of other zones.
    zones: BTreeMap<ZoneName, Received>,
    /// Demand of all daemons, as the leader of this zone reports it.
    all: Option<Received>,
    /// Customers that are limited now, by service.
    limited: BTreeMap<ClassKey, Vec<Limited>>,
}

impl DemandExchange {
    /// Creates the state of one run of a daemon.
    #[must_use]
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            ..Self::default()
        }
    }

    /// Sets the incarnation of this daemon, before the first report.
    pub fn begin(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
    }

    /// Adds a report of another daemon. Returns whether this daemon is to pass it on.
    pub fn receive(&mut self, from: &str, zone: &str, report: DemandReport, now: BootTime) -> bool {
        let (known, expiry) = match report.scope {
            DemandScope::Daemon => (self.daemons.get(from), DAEMON_EXPIRY),
            DemandScope::Zone => (self.zones.get(zone), LEADER_EXPIRY),
            DemandScope::All => (self.all.as_ref(), LEADER_EXPIRY),
        };
        if report.origin == self.incarnation || !is_newer(known, &report, expiry, now) {
            return false;
        }
        let received = Received {
            origin: report.origin,
            number: report.number,
            at: now,
            services: report.services,
        };
        match report.scope {
            DemandScope::Daemon => {
                self.daemons.insert(from.into(), received);
            }
            DemandScope::Zone => {
                self.zones.insert(zone.into(), received);
            }
            DemandScope::All => self.all = Some(received),
        }
        report.scope == DemandScope::All
    }

    /// Returns whether nothing is to be done in [`Self::step`], since no service has been short of
    /// room recently.
    #[must_use]
    pub fn is_idle(&self, now: BootTime) -> bool {
        let has_received = !self.daemons.is_empty() || !self.zones.is_empty();
        !has_received
            && self.all.is_none()
            && self.reports_of_shortage == 0
            && !self.meter.is_short(now)
    }

    /// Updates who is limited, and returns the reports to send now: those of scope
    /// [`DemandScope::Daemon`] to the leader of this zone, [`DemandScope::Zone`] to the leaders
    /// of other zones, and [`DemandScope::All`] to [`FORWARDED_TO`] daemons of this zone.
    pub fn step(&mut self, around: &Surroundings, now: BootTime) -> Vec<DemandReport> {
        let is_fresh = |received: &Received, expiry| now.saturating_sub(received.at) < expiry;
        self.daemons.retain(|_, r| is_fresh(r, DAEMON_EXPIRY));
        self.zones.retain(|_, r| is_fresh(r, LEADER_EXPIRY));
        self.all = self.all.take().filter(|r| is_fresh(r, LEADER_EXPIRY));
        let own = self.meter.report(&self.short_elsewhere(), now);
        let interval = interval(around, own.len(), self.reports_of_shortage);
        let reports = if around.is_leader {
            let of_daemons = self.daemons.values().flat_map(|r| &r.services);
            let of_zone = sum(of_daemons.chain(&own));
            let of_zones = self.zones.values().flat_map(|r| &r.services);
            let of_all = sum(of_zones.chain(&of_zone));
            self.update_limited(&of_all, around);
            [(DemandScope::Zone, of_zone), (DemandScope::All, of_all)].into()
        } else {
            let of_all = self.all.as_ref().map(|r| r.services.clone());
            self.update_limited(&of_all.unwrap_or_default(), around);
            vec![(DemandScope::Daemon, own)]
        };
        // Once more without any service, so that others do not wait for the end.
        let is_short = reports.iter().any(|(_, services)| !services.is_empty());
        let elapsed = self.reported_at.map(|at| now.saturating_sub(at));
        let is_due = elapsed.is_none_or(|elapsed| elapsed >= interval);
        if !is_due || !(is_short || self.reports_of_shortage > 0) {
            return Vec::new();
        }
        self.reported_at = Some(now);
        self.reports_of_shortage = if is_short {
            self.reports_of_shortage.saturating_add(1)
        } else {
            0
        };
        self.number = self.number.wrapping_add(1);
        let report = |(scope, services)| DemandReport {
            scope,
            origin: self.incarnation,
            number: self.number,
            services,
        };
        reports.into_iter().map(report).collect()
    }

    /// Returns the limit of a customer; `None` if it has none.
    #[must_use]
    pub fn limit(&self, class: ClassKey, customer: CustomerKey) -> Option<Limited> {
        let limited = self.limited.get(&class)?;
        limited.iter().find(|l| l.customer == customer).copied()
    }

    /// Returns the number of customers that are limited now.
    #[must_use]
    pub fn limited_count(&self) -> usize {
        self.limited.values().map(Vec::len).sum()
    }

    /// Returns the services that other daemons report as short of room.
    fn short_elsewhere(&self) -> Vec<ClassKey> {
        let received = self.daemons.values().chain(self.zones.values());
        let services = received.chain(&self.all).flat_map(|r| &r.services);
        let mut classes: Vec<_> = services.filter(|s| s.is_short).map(|s| s.class).collect();
        classes.sort_unstable();
        classes.dedup();
        classes
    }

    fn update_limited(&mut self, all: &[ServiceDemandReport], around: &Surroundings) {
        self.limited.clear();
        for service in all {
            #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
            let needed = around.daemons as f64 * MIN_KNOWN_DAEMONS;
            if f64::from(service.daemons) >= needed && around.customers > 1 {
                let limited = demand_of(service, around.customers).limited();
                if !limited.is_empty() {
                    self.limited.insert(service.class, limited);
                }
            }
        }
    }
}

/// Returns the interval between the reports of one daemon.
fn interval(around: &Surroundings, services: usize, reports: u32) -> Duration {
    match (around.is_leader, reports) {
        (true, ..FIRST_LEADER_REPORTS) => return FIRST_LEADER_INTERVAL,
        (true, _) => return MIN_INTERVAL,
        (false, ..FIRST_REPORTS) => return FIRST_INTERVAL,
        (false, _) => {}
    }
    #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
    let (daemons, services) = (around.zone_daemons as f64, services as f64);
    let seconds = daemons * (REPORT_BYTES + SERVICE_BYTES * services) / ZONE_BYTES_PER_SECOND;
    Duration::from_secs_f64(seconds).clamp(MIN_INTERVAL, MAX_INTERVAL)
}

/// Adds up reports by service and customer. Services at which no daemon is short of room are
/// left out.
fn sum<'a>(reports: impl Iterator<Item = &'a ServiceDemandReport>) -> Vec<ServiceDemandReport> {
    let mut sums: BTreeMap<ClassKey, ServiceDemandReport> = BTreeMap::new();
    let mut customers: BTreeMap<ClassKey, BTreeMap<CustomerKey, CustomerDemand>> = BTreeMap::new();
    for report in reports {
        let sum = sums.entry(report.class).or_default();
        sum.class = report.class;
        sum.is_short |= report.is_short;
        sum.daemons = sum.daemons.saturating_add(report.daemons);
        sum.recent = sum.recent.saturating_add(report.recent);
        sum.usual = sum.usual.saturating_add(report.usual);
        sum.served = sum.served.saturating_add(report.served);
        let customers = customers.entry(report.class).or_default();
        for customer in &report.largest {
            let sum = customers
                .entry(customer.customer)
                .or_insert(CustomerDemand {
                    customer: customer.customer,
                    ..CustomerDemand::default()
                });
            sum.recent = sum.recent.saturating_add(customer.recent);
            sum.usual = sum.usual.saturating_add(customer.usual);
            sum.deviation = add_deviations(sum.deviation, customer.deviation);
        }
    }
    let mut sums: Vec<_> = sums.into_values().filter(|sum| sum.is_short).collect();
    sums.sort_by_key(|sum| (std::cmp::Reverse(sum.recent), sum.class));
    sums.truncate(MAX_CLASSES_REPORTED);
    for sum in &mut sums {
        let customers = customers.remove(&sum.class).unwrap_or_default();
        sum.largest = customers.into_values().collect();
        let size = |c: &CustomerDemand| (std::cmp::Reverse(c.recent.max(c.usual)), c.customer);
        sum.largest.sort_by_key(size);
        sum.largest.truncate(MAX_REPORTED);
    }
    sums
}

/// Returns the standard deviation of the sum of two independent values.
fn add_deviations(a: u32, b: u32) -> u32 {
    let sum = f64::from(a).hypot(f64::from(b));
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "saturates"
    )]
    let sum = sum.round() as u32;
    sum
}

/// Returns the demand that a report states. All customers have the same weight, since the
/// configuration gives none.
fn demand_of(report: &ServiceDemandReport, customers: usize) -> ServiceDemand {
    let rate = |recent, usual, deviation| CustomerRate {
        recent: rate_from_wire(recent),
        usual: rate_from_wire(usual),
        deviation: rate_from_wire(deviation),
    };
    let largest = report.largest.iter();
    let largest = largest.map(|c| (c.customer, rate(c.recent, c.usual, c.deviation), 1.0));
    #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
    let weights = customers as f64;
    ServiceDemand {
        all: rate(report.recent, report.usual, 0),
        served: rate_from_wire(report.served),
        largest: largest.collect(),
        weights,
    }
}
