//! One request of a caller, and what it needs to be sent on.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Method, Request, Uri, header::HeaderValue};

use super::{
    Gateway,
    cold::cold_share,
    headers::Stated,
    load::Work,
    model::{Customer, Fleet, Known, Repeat, Route, Service, Target, Tokens},
    peer_wire::target_key,
    placement::{
        Candidate, Distance, Need, engine_cost, has_room_for_backup, plain_cost, sample_far,
    },
    refusal::Refusal,
    routing::Denied,
};
use crate::clock::{self, BootTime};

/// Tokens of a generation that names no sizes: a short prompt and answer.
const DEFAULT_TOKENS: Tokens = 1_000;

/// What the configuration says of a request, as of one version.
#[derive(Clone, Debug)]
pub(crate) struct Admitted {
    pub route: Arc<Route>,
    pub customer: Option<Arc<Customer>>,
}

/// A request of a caller.
#[derive(Debug)]
pub(crate) struct Job {
    pub stated: Stated,
    pub method: Method,
    pub uri: Uri,
    pub host: Box<str>,
    pub key: Option<Box<str>>,
    /// Headers for targets, before the system's own.
    pub headers: HeaderMap,
    pub body: Bytes,
    pub arrived: BootTime,
    /// The caller's deadline or the route's timeout, whichever is sooner.
    pub deadline: BootTime,
    /// Service picked by the route's weights.
    pub service: Box<str>,
}

/// Where a request may go.
#[derive(Clone, Debug)]
pub(crate) struct Choice {
    pub target: Arc<Target>,
    pub service: Arc<Service>,
    /// Work of all daemons there, as far as known.
    pub work: Work,
    /// What decided; see `placement`.
    pub cost: f64,
}

/// Headers of one send.
#[derive(Clone, Debug, Default)]
pub(crate) struct Extras {
    pub backup: Option<Box<str>>,
    pub copy_from: Option<Box<str>>,
    pub last_event: Option<u64>,
}

impl Job {
    /// Time left until the deadline.
    pub fn left(&self, now: BootTime) -> Duration {
        self.deadline.saturating_sub(now)
    }

    /// What matters for placing it.
    pub fn need(&self, objective: Duration) -> Need {
        Need {
            prompt: self.stated.prompt,
            tokens: self.tokens(),
            objective,
        }
    }

    /// Tokens of memory that it is expected to take.
    pub fn tokens(&self) -> Tokens {
        let tokens = self.stated.prompt + self.stated.output();
        if tokens == 0 { DEFAULT_TOKENS } else { tokens }
    }
}

impl Gateway {
    /// Checks a request against the newest configuration. Called again before
    /// each send, since keys and routes may be gone by then.
    pub(crate) fn admit(
        &self,
        fleet: &Fleet,
        host: &str,
        path: &str,
        key: Option<&str>,
        now: BootTime,
    ) -> Result<Admitted, Refusal> {
        let config = fleet.config_in_force().ok_or(Refusal::NoConfig)?;
        let route = config.route(host, path);
        let route = route.ok_or(Refusal::Denied(Denied::NoRoute))?;
        let customer = config.customer(route, key).map_err(Refusal::Denied)?;
        let age = self.standing.config_age(now);
        let is_fresh = age.is_some_and(|age| age <= self.settings().key_proof_age());
        if customer.is_some() && !is_fresh {
            return Err(Refusal::StaleKeys);
        }
        Ok(Admitted {
            route: route.clone(),
            customer,
        })
    }

    /// Chooses a target that a job is sent to, other than those it has tried.
    pub(crate) fn place(
        &self,
        fleet: &Fleet,
        job: &Job,
        admitted: &Admitted,
        tried: &[Box<str>],
    ) -> Option<Choice> {
        let choice = self.choose(fleet, job, admitted, tried)?;
        let work = &choice.work;
        log::info!(
            "event=placed request={} target={} distance={} cost={:.2} requests={} tokens={} \
             unread={}",
            job.stated.request_id,
            choice.target.id,
            self.distance(&choice.target.zone),
            choice.cost,
            work.requests,
            work.tokens,
            work.unread
        );
        self.note_placed(fleet, &choice.target, clock::now());
        Some(choice)
    }

    /// Chooses a target for a job, other than those it has tried.
    pub(crate) fn choose(
        &self,
        fleet: &Fleet,
        job: &Job,
        admitted: &Admitted,
        tried: &[Box<str>],
    ) -> Option<Choice> {
        let service = fleet.config.as_ref()?.services.get(&job.service)?.clone();
        let now = clock::now();
        let settings = self.settings();
        let others = self.standing.others();
        let need = job.need(admitted.route.objective);
        let open = fleet.open_targets(&job.service).filter(|known| {
            let region = settings.region_of(&known.target.zone);
            !tried.contains(&known.target.id)
                && admitted
                    .route
                    .allows_region(admitted.customer.as_deref(), region)
        });
        let warm = open.filter(|known| self.bears_more(known, &service, now));
        let (near, far): (Vec<_>, Vec<_>) =
            warm.partition(|known| known.target.zone == settings.zone);
        let mut rng = rand::rng();
        let sampled = sample_far(&far, &mut rng);
        let costs = near.iter().chain(sampled).map(|known| {
            let target = &known.target;
            let (mut work, failures) = self.loads.at(&target.id, now);
            work.add(others.works.get(&known.key));
            let candidate = Candidate {
                work,
                slots: target.slots,
                failures,
                is_cold: known.cold_until > now,
                distance: self.distance(&target.zone),
            };
            let cost = match &service.engine {
                Some(limits) => engine_cost(&candidate, limits, &need, self.read_rate.get()),
                None => plain_cost(&candidate),
            };
            // Daemons that know the same do not all choose the same target.
            let cost = cost + TIE_SPREAD * rand::random::<f64>();
            (cost, target, work)
        });
        let (cost, target, work) = costs.min_by(|(a, ..), (b, ..)| a.total_cmp(b))?;
        Some(Choice {
            target: target.clone(),
            service,
            work,
            cost,
        })
    }

    /// Chooses an engine of the same zone for a backup of a run.
    pub(crate) fn place_backup(
        &self,
        fleet: &Fleet,
        choice: &Choice,
        need: &Need,
    ) -> Option<Arc<Target>> {
        let limits = choice.service.engine.as_ref().filter(|e| e.has_backups)?;
        let tried = [choice.target.id.clone()];
        let haven = self.place_near(fleet, &choice.target, &tried, need)?;
        let (mut work, _) = self.loads.at(&haven.id, clock::now());
        work.add(self.standing.others().works.get(&target_key(&haven.id)));
        let has_room = has_room_for_backup(&work, limits, need);
        has_room.then_some(haven)
    }

    /// Chooses another engine of the same service and zone.
    pub(crate) fn place_near(
        &self,
        fleet: &Fleet,
        target: &Target,
        tried: &[Box<str>],
        need: &Need,
    ) -> Option<Arc<Target>> {
        let services = &fleet.config.as_ref()?.services;
        let limits = services.get(&target.service)?.engine.as_ref()?;
        let now = clock::now();
        let others = self.standing.others();
        let fitting = fleet
            .open_targets(&target.service)
            .filter(|known| known.target.zone == target.zone && !tried.contains(&known.target.id));
        let costs = fitting.map(|known| {
            let (mut work, failures) = self.loads.at(&known.target.id, now);
            work.add(others.works.get(&known.key));
            let candidate = Candidate {
                work,
                slots: known.target.slots,
                failures,
                is_cold: known.cold_until > now,
                distance: Distance::Zone,
            };
            let cost = engine_cost(&candidate, limits, need, self.read_rate.get());
            (cost + TIE_SPREAD * rand::random::<f64>(), &known.target)
        });
        let (_, target) = costs.min_by(|(a, _), (b, _)| a.total_cmp(b))?;
        Some(target.clone())
    }

    /// Whether a target, if it is cold, may be sent one more request.
    fn bears_more(&self, known: &Known, service: &Service, now: BootTime) -> bool {
        if known.cold_until <= now || service.cold_per_second <= 0.0 {
            return true;
        }
        let settings = self.settings();
        let bounds = &settings.bounds;
        let limit = service.cold_per_second * bounds.cold_factor + bounds.cold_extra;
        let target = &known.target.id;
        let share = cold_share(target, &settings.name, limit, &self.standing.names());
        self.cold_sends.has_room(target, share, now)
    }

    /// Counts a request to a target that is cold.
    pub(crate) fn note_placed(&self, fleet: &Fleet, target: &Target, now: BootTime) {
        let known = fleet.targets.get(&target.id);
        if known.is_some_and(|k| k.cold_until > now) {
            self.cold_sends.note(&target.id, now);
        }
    }

    fn distance(&self, zone: &str) -> Distance {
        let settings = self.settings();
        if *zone == *settings.zone {
            Distance::Zone
        } else if settings.region_of(zone) == settings.region() {
            Distance::Region
        } else {
            Distance::Far
        }
    }

    /// Builds the request that a target gets.
    pub(crate) fn request_for(
        &self,
        job: &Job,
        admitted: &Admitted,
        target: &Target,
        extras: &Extras,
        now: BootTime,
    ) -> Request<Full<Bytes>> {
        let names = &self.names;
        let mut req = Request::new(Full::new(job.body.clone()));
        *req.method_mut() = job.method.clone();
        *req.uri_mut() = job.uri.clone();
        let mut headers = job.headers.clone();
        let mut set = |name: &hyper::header::HeaderName, value: &str| {
            if let Ok(value) = HeaderValue::from_str(value) {
                headers.insert(name.clone(), value);
            }
        };
        set(&names.request_id, &job.stated.request_id);
        set(
            &names.deadline_ms,
            &clock::millis(job.left(now)).to_string(),
        );
        set(&names.expect_target, &target.id);
        if let Some(customer) = &admitted.customer {
            set(&names.customer, &customer.name);
        }
        if let Some(backup) = &extras.backup {
            set(&names.backup, backup);
        }
        if let Some(copy) = &extras.copy_from {
            set(&names.copy_from, copy);
        }
        if let Some(event) = extras.last_event {
            set(&names.last_event, &event.to_string());
        }
        *req.headers_mut() = headers;
        req
    }

    /// Counts a first send, or takes a repeated one from the budget.
    pub(crate) fn may_send(&self, job: &Job, is_repeat: bool, now: BootTime) -> bool {
        let daemons = self.standing.daemons();
        let others = self.standing.others();
        let sent = others.sends.get(&target_key(&job.service)).copied();
        let budget = self.settings().send_budget();
        let may_send = self.sends.with(&job.service, |sends| {
            if is_repeat {
                return sends.try_repeat(now, &budget, daemons, sent.unwrap_or_default());
            }
            sends.note_first(now);
            true
        });
        if !may_send {
            log::info!(
                "event=budget_empty request={} service={}",
                job.stated.request_id,
                job.service
            );
        }
        may_send
    }
}

/// Largest random part of a cost, about one run's share of an engine.
const TIE_SPREAD: f64 = 0.02;

impl Repeat {
    /// Whether a request that may have run may be sent again.
    #[must_use]
    pub fn is_idempotent(self) -> bool {
        self == Self::Idempotent
    }
}
