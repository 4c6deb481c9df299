//! Admits a caller's request, chooses a target for it and builds the request
//! that the target receives.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Method, Request, Uri, header::HeaderName};

use super::{
    Gateway,
    config_age::ConfigUse,
    events::EventId,
    headers::{RequestInfo, header_value},
    in_flight::Progress,
    load::Work,
    memory::MemoryGrant,
    model::{Customer, Fleet, KnownTarget, RepeatPolicy, Route, Service, Target, Tokens},
    peer_wire::{SubjectKey, target_key},
    placement::{
        Candidate, Distance, GenerationDemand, engine_cost, has_room_for_backup, plain_cost,
        sample_other_zones,
    },
    refusal::Refusal,
    rollout_share::VersionUse,
    routing::Denied,
    send_budget::RepeatReason,
    share_use::ShareAccount,
    suspects::SuspectTracker,
};
use crate::{
    clock::{self, BootTime},
    log::shown,
};

/// Estimated tokens of a generation without token counts: a short prompt and a
/// short response.
const DEFAULT_TOKENS: Tokens = 1_000;

/// Route and customer of a request, from one version of the configuration.
#[derive(Clone, Debug)]
pub(crate) struct Admitted {
    pub route: Arc<Route>,
    pub customer: Option<Arc<Customer>>,
}

/// A caller's request with its deadline and service.
#[derive(Debug)]
pub(crate) struct Job {
    pub info: RequestInfo,
    pub method: Method,
    pub uri: Uri,
    pub host: Box<str>,
    pub key: Option<Box<str>>,
    /// Headers that are forwarded to targets, without those that the gateway
    /// adds to each send.
    pub headers: HeaderMap,
    /// Memory taken for the headers.
    pub _field_memory: MemoryGrant,
    pub body: Bytes,
    pub arrived: BootTime,
    /// The caller's deadline or the end of the route's timeout, whichever is
    /// earlier.
    pub deadline: BootTime,
    /// Service chosen at random by the route's weights.
    pub service: Box<str>,
    /// Whether the route was resumable when the request was admitted.
    pub is_resumable: bool,
    /// Last event that the caller has from an earlier response; `None` if it has none, or if
    /// its stream is not resumable.
    pub last_event: Option<EventId>,
    /// Priority of the request at engines; `None` if all are equally urgent. It is the same for
    /// all sends.
    pub priority: Option<u8>,
    /// What a crash of its target may be due to: the shared parts of its prompt, and the
    /// request as a whole.
    pub subjects: Box<[SubjectKey]>,
    /// The request as a whole, the last of the subjects.
    pub request: SubjectKey,
    /// Crashes by subject, of requests of this kind.
    pub suspects: SuspectTracker,
    pub progress: Progress,
    /// Whose demand the request counts as; `None` if shares of customers do not apply.
    pub account: Option<ShareAccount>,
}

/// The target chosen for a request, with the inputs of the placement.
#[derive(Clone, Debug)]
pub(crate) struct Placement {
    pub target: Arc<Target>,
    pub service: Arc<Service>,
    /// Work that all daemons have at the target, from this daemon's own count
    /// and its peers' latest reports.
    pub work: Work,
    /// Cost of the target, the lowest of all candidates; see `placement`.
    pub cost: f64,
    /// How long work takes at the target now, as a factor of what is usual.
    pub slowness: f64,
    /// Number of targets that were passed by because of what they have stated.
    pub closed: usize,
}

/// Values of the headers that only some sends have.
#[derive(Clone, Debug, Default)]
pub(crate) struct SendHeaders {
    /// Address of the engine that is to keep a copy of the run; `None` if the run
    /// has no backup.
    pub backup: Option<Box<str>>,
    /// Name of the copy from which the run is resumed; `None` for a new run.
    pub copy_from: Option<Box<str>>,
    /// Id of the last event that the caller has received, 0 if there is none and the run is
    /// resumed from a copy; `None` for a new run from the first event.
    pub last_event: Option<u64>,
}

impl Job {
    /// Returns the time left until the deadline.
    pub fn time_left(&self, now: BootTime) -> Duration {
        self.deadline.saturating_sub(now)
    }

    /// Returns the inputs of the cost function that depend on this request.
    pub fn demand(&self, objective: Duration) -> GenerationDemand {
        GenerationDemand {
            prompt: self.info.prompt_tokens,
            tokens: self.tokens(),
            objective,
        }
    }

    /// Returns the tokens of engine memory that the request is expected to take.
    pub fn tokens(&self) -> Tokens {
        let tokens = self.info.prompt_tokens + self.info.expected_output_tokens();
        if tokens == 0 { DEFAULT_TOKENS } else { tokens }
    }
}

impl Gateway {
    /// Checks a request against the newest configuration. Called again before
    /// each further send, since its key or route may have been removed by then.
    pub(crate) fn admit(
        &self,
        fleet: &Fleet,
        host: &str,
        path: &str,
        key: Option<&str>,
        now: BootTime,
    ) -> Result<Admitted, Refusal> {
        let config = fleet.active_config().ok_or(Refusal::NoConfig)?;
        let config_use = self.config_use(now);
        if config_use == ConfigUse::Stale {
            return Err(Refusal::StaleConfig);
        }
        let denied = |denied| match config_use {
            ConfigUse::Current => Refusal::Denied(denied),
            _ => Refusal::StaleConfig,
        };
        let route = config.route(host, path);
        let route = route.ok_or_else(|| denied(Denied::NoRoute))?;
        let customer = config.customer(route, key).map_err(denied)?;
        let age = self.shared.config_age(now);
        let is_fresh = age.is_some_and(|age| age <= self.settings().max_config_age_for_keys());
        if customer.is_some() && !is_fresh {
            return Err(Refusal::StaleKeys);
        }
        if let Some(customer) = &customer
            && header_value(&customer.name).is_none()
        {
            // No header can state whose request it is.
            log::warn!("event=customer_unusable customer={:?}", customer.name);
            return Err(Refusal::NoTarget);
        }
        Ok(Admitted {
            route: route.clone(),
            customer,
        })
    }

    /// Chooses a target other than those in `tried` and `late`, logs the placement and
    /// counts it against the target's cold limit. The caller sends the request.
    pub(crate) fn place(
        &self,
        fleet: &Fleet,
        job: &Job,
        admitted: &Admitted,
        tried: &[Box<str>],
        late: &[Box<str>],
    ) -> Option<Placement> {
        let now = clock::now();
        if tried.is_empty() && self.statements.is_in_force() {
            self.statements.record_request(&job.service, now);
        }
        let offered = tried.is_empty().then(rand::random);
        let versions = self.rollouts.version_use(&job.service, offered, now);
        let tried = [tried, late].concat();
        let placement = self.choose(fleet, job, admitted, &tried, &versions)?;
        let work = &placement.work;
        log::info!(
            "event=placed request={} target={} distance={} cost={:.2} requests={} tokens={} \
             unread={} closed={} slowness={:.2} config={} config_age_ms={}",
            shown(&job.info.request_id),
            shown(&placement.target.id),
            self.distance(&placement.target.zone),
            placement.cost,
            work.requests,
            work.tokens,
            work.pending_prompt_tokens,
            placement.closed,
            placement.slowness,
            fleet.config_stamp().version,
            self.config_age_ms()
        );
        self.record_placement(fleet, &placement.target, now);
        Some(placement)
    }

    /// Chooses the cheapest target that may receive the request, other than those
    /// in `tried`, among all targets in this zone and a random sample of those in
    /// other zones, of the versions that it may go to. Counts and logs nothing.
    pub(crate) fn choose(
        &self,
        fleet: &Fleet,
        job: &Job,
        admitted: &Admitted,
        tried: &[Box<str>],
        versions: &VersionUse,
    ) -> Option<Placement> {
        let service = fleet.config.as_ref()?.services.get(&job.service)?.clone();
        let now = clock::now();
        let settings = self.settings();
        let peer_load = self.shared.peer_load();
        let demand = job.demand(admitted.route.objective);
        let available = fleet.available_targets(&job.service).filter(|entry| {
            let region = settings.region_of(&entry.target.zone);
            !tried.contains(&entry.target.id)
                && admitted
                    .route
                    .allows_region(admitted.customer.as_deref(), region)
        });
        let available: Vec<_> = available.collect();
        let closed = self.closed_targets(&job.service, &available, now);
        let eligible = available
            .into_iter()
            .filter(|entry| !closed.contains(&entry.key))
            .filter(|entry| self.is_within_cold_limit(entry, &service, now));
        let is_near =
            |entry: &KnownTarget| settings.region_of(&entry.target.zone) == settings.region();
        let eligible = versions.select(eligible.collect(), is_near);
        let (in_own_zone, in_other_zones): (Vec<_>, Vec<_>) = eligible
            .into_iter()
            .partition(|entry| entry.target.zone == settings.zone);
        let mut rng = rand::rng();
        let sampled = sample_other_zones(&in_other_zones, &mut rng);
        let costs = in_own_zone.iter().chain(sampled).map(|entry| {
            let target = &entry.target;
            let load = self.believed_load(&target.id, entry.key, &peer_load, &demand, now);
            let candidate = Candidate {
                work: load.work,
                slots: target.slots,
                failures: load.failures,
                slowness: load.slowness,
                is_cold: entry.cold_until > now,
                distance: self.distance(&target.zone),
            };
            let cost = match &service.engine {
                Some(limits) => engine_cost(&candidate, limits, &demand, self.prefill_rate.get()),
                None => plain_cost(&candidate),
            };
            // The random part keeps daemons that have the same view from all
            // choosing the same target.
            let cost = cost + MAX_TIE_JITTER * rand::random::<f64>();
            (cost, target, load)
        });
        let (cost, target, load) = costs.min_by(|(a, ..), (b, ..)| a.total_cmp(b))?;
        Some(Placement {
            target: target.clone(),
            service,
            work: load.work,
            slowness: load.slowness,
            cost,
            closed: closed.len(),
        })
    }

    /// Chooses another engine of the same zone for the backup of a run. Returns
    /// `None` if the service has no backups, if there is no such engine, or if the
    /// cheapest one has too little free memory.
    pub(crate) fn choose_backup(
        &self,
        fleet: &Fleet,
        placement: &Placement,
        demand: &GenerationDemand,
    ) -> Option<Arc<Target>> {
        let limits = placement
            .service
            .engine
            .as_ref()
            .filter(|e| e.has_backups)?;
        let tried = [placement.target.id.clone()];
        let backup = self.choose_in_zone(fleet, &placement.target, &tried, demand)?;
        let (key, peer_load) = (target_key(&backup.id), self.shared.peer_load());
        let load = self.believed_load(&backup.id, key, &peer_load, demand, clock::now());
        let has_room = has_room_for_backup(&load.work, limits, demand);
        has_room.then_some(backup)
    }

    /// Chooses the cheapest other engine of the same service and zone, of the versions that
    /// further sends may go to.
    pub(crate) fn choose_in_zone(
        &self,
        fleet: &Fleet,
        target: &Target,
        tried: &[Box<str>],
        demand: &GenerationDemand,
    ) -> Option<Arc<Target>> {
        let services = &fleet.config.as_ref()?.services;
        let limits = services.get(&target.service)?.engine.as_ref()?;
        let now = clock::now();
        let peer_load = self.shared.peer_load();
        let candidates = fleet
            .available_targets(&target.service)
            .filter(|entry| entry.target.zone == target.zone && !tried.contains(&entry.target.id))
            .filter(|entry| self.may_be_sent_to(&target.service, entry.key, now));
        let versions = self.rollouts.version_use(&target.service, None, now);
        let candidates = versions.select(candidates.collect(), |_| true);
        let costs = candidates.into_iter().map(|entry| {
            let load = self.believed_load(&entry.target.id, entry.key, &peer_load, demand, now);
            let candidate = Candidate {
                work: load.work,
                slots: entry.target.slots,
                failures: load.failures,
                slowness: load.slowness,
                is_cold: entry.cold_until > now,
                distance: Distance::SameZone,
            };
            let cost = engine_cost(&candidate, limits, demand, self.prefill_rate.get());
            (cost + MAX_TIE_JITTER * rand::random::<f64>(), &entry.target)
        });
        let (_, target) = costs.min_by(|(a, _), (b, _)| a.total_cmp(b))?;
        Some(target.clone())
    }

    /// Returns whether a target may be sent one more request: always if it is
    /// warm or its service has no cold limit, else within this daemon's share of
    /// that limit.
    fn is_within_cold_limit(&self, entry: &KnownTarget, service: &Service, now: BootTime) -> bool {
        if entry.cold_until <= now || service.cold_per_second <= 0.0 {
            return true;
        }
        let settings = self.settings();
        let bounds = &settings.bounds;
        let limit = service.cold_per_second * bounds.cold_factor + bounds.cold_extra;
        let target = &entry.target.id;
        let daemons = self.shared.daemon_names();
        let quota = self
            .cold_quotas
            .get(target, &settings.name, limit, &daemons);
        self.cold_sends.has_room(target, quota, now)
    }

    /// Counts a request against the limit that a target has stated, and against its cold
    /// limit if the target is cold.
    pub(crate) fn record_placement(&self, fleet: &Fleet, target: &Target, now: BootTime) {
        if self.statements.record_send(&target.id, now) {
            self.loads.request_report();
        }
        let entry = fleet.targets.get(&target.id);
        if entry.is_some_and(|e| e.cold_until > now) {
            self.cold_sends.record(&target.id, now);
        }
    }

    fn distance(&self, zone: &str) -> Distance {
        let settings = self.settings();
        if *zone == *settings.zone {
            Distance::SameZone
        } else if settings.region_of(zone) == settings.region() {
            Distance::OtherZone
        } else {
            Distance::OtherRegion
        }
    }

    /// Builds the request that is sent to a target. Fails, with the reason, if a header cannot
    /// hold its value: without it, the request would be another one.
    pub(crate) fn request_for(
        &self,
        job: &Job,
        admitted: &Admitted,
        target: &Target,
        send_headers: &SendHeaders,
        now: BootTime,
    ) -> Result<Request<Full<Bytes>>, Box<str>> {
        let names = &self.names;
        let mut req = Request::new(Full::new(job.body.clone()));
        *req.method_mut() = job.method.clone();
        *req.uri_mut() = job.uri.clone();
        let mut headers = job.headers.clone();
        let mut set = |name: &HeaderName, value: &str| -> Result<(), Box<str>> {
            let invalid = || format!("step=build header={name} value={value:?}");
            let value = header_value(value).ok_or_else(invalid)?;
            headers.insert(name.clone(), value);
            Ok(())
        };
        set(&names.request_id, &job.info.request_id)?;
        set(
            &names.deadline_ms,
            &clock::millis(job.time_left(now)).to_string(),
        )?;
        set(&names.expect_target, &target.id)?;
        if let Some(customer) = &admitted.customer {
            set(&names.customer, &customer.name)?;
        }
        if let Some(priority) = job.priority.filter(|_| self.settings().sends_priority) {
            set(&names.priority, &priority.to_string())?;
        }
        if let Some(backup) = &send_headers.backup {
            set(&names.backup, backup)?;
        }
        if let Some(copy) = &send_headers.copy_from {
            set(&names.copy_from, copy)?;
        }
        if let Some(event) = send_headers.last_event {
            set(&names.last_event, &event.to_string())?;
        }
        *req.headers_mut() = headers;
        Ok(req)
    }

    /// Counts a send. First sends are always allowed; a repeated one is taken
    /// from the service's budget, and `false` is returned if none is left.
    pub(crate) fn try_record_send(
        &self,
        job: &Job,
        repeat: Option<RepeatReason>,
        now: BootTime,
    ) -> bool {
        let daemons = self.shared.daemon_count();
        let peer_load = self.shared.peer_load();
        let peer_sends = peer_load.sends.get(&target_key(&job.service)).copied();
        let peer_sends = peer_sends.unwrap_or_default();
        let budget = self.settings().send_budget();
        let is_allowed = self.sends.with(&job.service, |sends| {
            if let Some(reason) = repeat {
                return sends.try_repeat(reason, now, &budget, daemons, peer_sends);
            }
            sends.record_first(now);
            true
        });
        if is_allowed && repeat.is_some() {
            self.record_demand(job, now);
        }
        if !is_allowed {
            log::info!(
                "event=budget_empty request={} service={}",
                shown(&job.info.request_id),
                shown(&job.service)
            );
        }
        is_allowed
    }
}

/// Upper bound of the random part of a cost: about the share of an engine that
/// one run takes.
const MAX_TIE_JITTER: f64 = 0.02;

impl RepeatPolicy {
    /// Returns whether a request that may have run may be sent again.
    #[must_use]
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Returns whether a stream may be started anew after the last event that its caller has.
    #[must_use]
    pub fn is_resumable(self) -> bool {
        self == Self::ResumableStream
    }
}
