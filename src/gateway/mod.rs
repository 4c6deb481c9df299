//! The gateway between callers and targets that others run.
//!
//! The control thread follows the store and publishes a [`Standing`]; the
//! traffic thread serves callers from it. What callers, targets and the store
//! are called on the wire is supplied from outside.

mod body;
mod change_log;
mod cold;
mod config_patch;
mod control;
mod engines;
mod events;
mod exchange;
mod extra_sends;
mod feed;
mod fleet;
mod generation;
mod headers;
mod job;
mod listener;
mod load;
mod model;
mod peer_port;
mod peer_wire;
mod peers;
mod placement;
mod plain;
mod pump;
mod readiness;
mod refusal;
mod routing;
mod sent;
mod settings;
mod standing;
mod stop;
mod usage;

use std::{
    cell::RefCell,
    io,
    rc::Rc,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use arc_swap::ArcSwap;
use http_body_util::{BodyExt, Limited};
use hyper::{Request, Response, body::Incoming, header};
use strum::IntoEnumIterator;
use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot},
};
use tokio_util::sync::CancellationToken;

pub use self::{
    body::{AnswerBody, BrokenStream, Piece},
    change_log::ChangeLog,
    cold::{ColdSends, cold_share},
    config_patch::{ConfigPatch, with_patches},
    engines::{CopyHandle, EngineCallError, EngineCalls, MoveRun},
    events::{Event, EventId, EventSplitter},
    extra_sends::{ExtraSends, SendBook, SendBudget, SendCounts},
    feed::{ReadError, Store},
    fleet::FeedState,
    headers::{HeaderNames, Stated, end_to_end},
    load::{LoadBook, Work},
    model::{
        Batch, CallerLimits, Change, Config, Customer, EngineLimits, Fleet, Known, Read, Repeat,
        Route, Service, Target, TargetId, Tokens, Topic, ZoneName,
    },
    peer_wire::{Running, Sends, TargetKey, Update, Works, ZoneWorks, target_key},
    peers::{DaemonName, Listed, Peers},
    placement::{
        Candidate, Distance, Need, ReadRate, engine_cost, has_room_for_backup, plain_cost,
        sample_far,
    },
    routing::Denied,
    settings::{Bounds, GatewayListen, GatewaySettings, StoreSettings},
    standing::{Others, Standing},
    stop::{ends_in_time, expected_time},
};
use self::{
    control::Control,
    job::Job,
    peer_port::{Identity, PeerPort, peer_address},
    refusal::Refusal,
    stop::{IDLE_CLOSE_PART, STOP_PART},
    usage::Usage,
};
use crate::{
    clock,
    supervisor::{supervise, supervise_local},
};

/// Longest wait for a caller that names no deadline; the route's timeout bounds it
/// as well, and is shorter as a rule.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);
/// Period at which a process that stops looks for work left; short against any
/// time that it is given.
const STOP_PERIOD: Duration = Duration::from_millis(50);

/// What the traffic thread works with.
pub struct Gateway {
    settings: ArcSwap<GatewaySettings>,
    names: HeaderNames,
    engines: EngineCalls,
    standing: Arc<Standing>,
    loads: LoadBook,
    read_rate: ReadRate,
    sends: SendBook,
    cold_sends: ColdSends,
    running: Usage,
    /// When the process was told to stop.
    stopped_at: Mutex<Option<clock::BootTime>>,
}

/// A gateway that runs.
pub struct RunningGateway {
    gateway: Arc<Gateway>,
    control: CancellationToken,
}

impl RunningGateway {
    /// Binds the ports and starts the control thread.
    ///
    /// # Errors
    /// A port cannot be bound, or the thread cannot be started.
    pub async fn spawn(
        settings: GatewaySettings,
        names: HeaderNames,
        store: Store,
        engines: EngineCalls,
    ) -> io::Result<Self> {
        let callers = TcpListener::bind(settings.listen.callers).await?;
        let readiness = TcpListener::bind(settings.listen.readiness).await?;
        let metrics = TcpListener::bind(settings.listen.metrics).await?;
        crate::metrics::install();
        let standing = Arc::new(Standing::default());
        let control = CancellationToken::new();
        let loads = LoadBook::default();
        let sends = SendBook::default();
        let spawned = spawn_control(
            store,
            &settings,
            loads.clone(),
            sends.clone(),
            standing.clone(),
            control.clone(),
        );
        spawned.await?;
        let gateway = Arc::new(Gateway {
            settings: ArcSwap::from_pointee(settings),
            names,
            engines,
            standing,
            loads,
            read_rate: ReadRate::default(),
            sends,
            cold_sends: ColdSends::default(),
            running: Usage::default(),
            stopped_at: Mutex::default(),
        });
        let ports = [Arc::new(callers), Arc::new(readiness), Arc::new(metrics)];
        serve_ports(ports, &gateway);
        Ok(Self { gateway, control })
    }

    /// Takes new settings; ports stay as they are.
    pub fn reload(&self, settings: GatewaySettings) {
        if **self.gateway.settings.load() == settings {
            return;
        }
        log::info!("event=settings_changed instance={}", settings.name);
        self.gateway.settings.store(Arc::new(settings));
    }

    /// Finishes what runs, then stops; ends within the grace of the settings.
    pub async fn stop(self) {
        let gateway = &self.gateway;
        let began = clock::now();
        *gateway
            .stopped_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(began);
        gateway.standing.stop();
        log::info!("event=stopping running={}", gateway.running.count());
        let grace = gateway.stop_grace();
        loop {
            tokio::time::sleep(STOP_PERIOD).await;
            let waited = clock::now().saturating_sub(began);
            let is_quiet =
                gateway.running.count() == 0 && waited > grace.mul_f64(2.0 * IDLE_CLOSE_PART);
            if is_quiet || waited > grace.mul_f64(STOP_PART) {
                break;
            }
        }
        log::info!("event=stopped running={}", gateway.running.count());
        self.control.cancel();
    }
}

/// Serves callers, questions for readiness and for metrics until the process
/// ends; a loop that panics is started again on the same port.
fn serve_ports([callers, readiness, metrics]: [Arc<TcpListener>; 3], gateway: &Arc<Gateway>) {
    let never = CancellationToken::new();
    let of = gateway.clone();
    supervise("callers", never.clone(), move || {
        listener::accept(callers.clone(), of.clone())
    });
    let of = gateway.clone();
    supervise("readiness", never.clone(), move || {
        readiness::serve(readiness.clone(), of.clone())
    });
    let of = gateway.clone();
    supervise("metrics", never, move || {
        readiness::serve_metrics(metrics.clone(), of.clone())
    });
}

/// Starts the control thread; returns once its port is bound.
async fn spawn_control(
    store: Store,
    settings: &GatewaySettings,
    loads: LoadBook,
    sends: SendBook,
    standing: Arc<Standing>,
    stop: CancellationToken,
) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let identity = identity(settings)?;
    let window = settings.send_budget().window;
    let (bound, is_bound) = oneshot::channel();
    let body = move || {
        let tasks = tokio::task::LocalSet::new();
        let peers = Peers::new(identity.name.clone(), identity.zone.clone(), clock::now());
        let control = Rc::new(RefCell::new(Control::new(
            peers, loads, sends, window, standing,
        )));
        tasks.block_on(&runtime, async move {
            let port = PeerPort::bind(identity, control.clone()).await;
            let started = port.map(|port| start_control(Rc::new(port), &store, &control));
            // The receiver waits for this.
            let _ = bound.send(started);
            stop.cancelled().await;
        });
    };
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(body)?;
    is_bound.await.map_err(io::Error::other)?
}

fn start_control(port: Rc<PeerPort>, store: &Store, control: &Rc<RefCell<Control>>) {
    let (news, passed_on) = mpsc::unbounded_channel();
    let passed_on = Rc::new(tokio::sync::Mutex::new(passed_on));
    for topic in Topic::iter() {
        let (store, control, news) = (store.clone(), control.clone(), news.clone());
        supervise_local("feed", move || {
            feed::follow(topic, store.clone(), control.clone(), news.clone())
        });
    }
    let of_run = port.clone();
    supervise_local("peers", move || of_run.clone().run(passed_on.clone()));
    let of_fetches = port.clone();
    supervise_local("fetches", move || of_fetches.clone().serve_fetches());
    let store = store.clone();
    supervise_local("daemon_list", move || {
        port.clone().keep_listed(store.clone())
    });
}

fn identity(settings: &GatewaySettings) -> io::Result<Identity> {
    let port = settings.peer_ports.0;
    let address = peer_address(&settings.ip, port);
    let address = address.ok_or_else(|| io::Error::other("step=peer_address: no IP address"))?;
    let seeds = settings
        .seeds
        .iter()
        .filter_map(|seed| peer_address(seed, port));
    Ok(Identity {
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        address,
        seeds: seeds.collect(),
    })
}

impl Gateway {
    fn settings(&self) -> Arc<GatewaySettings> {
        self.settings.load_full()
    }

    /// Limits on callers as the newest configuration has them.
    fn limits(&self) -> CallerLimits {
        let fleet = self.standing.fleet();
        fleet
            .config
            .as_ref()
            .map_or_else(CallerLimits::default, |c| c.limits)
    }

    /// How long ago the process was told to stop.
    fn stopping_for(&self) -> Option<Duration> {
        let stopped_at = *self
            .stopped_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        stopped_at.map(|at| clock::now().saturating_sub(at))
    }

    fn stop_grace(&self) -> Duration {
        Duration::from_secs_f64(self.settings().bounds.stop_grace_s)
    }

    /// Whether idle connections are to be closed.
    fn closes_idle(&self) -> bool {
        let stopping = self.stopping_for();
        stopping.is_some_and(|since| since > self.stop_grace().mul_f64(IDLE_CLOSE_PART))
    }

    /// Refuses a request that would still run when the process ends.
    fn check_stop(&self, route: &Route, stated: &Stated) -> Result<(), Refusal> {
        let Some(since) = self.stopping_for() else {
            return Ok(());
        };
        let expected = match route.repeat {
            Repeat::Stream => expected_time(route.objective, stated.output()),
            Repeat::Idempotent | Repeat::AtMostOnce => route.objective,
        };
        let is_taken = ends_in_time(expected, since, self.stop_grace());
        is_taken.then_some(()).ok_or(Refusal::Stopping)
    }

    /// Answers a caller's request.
    async fn answer(self: &Arc<Self>, req: Request<Incoming>) -> Response<AnswerBody> {
        let id = req.headers().get(&self.names.request_id);
        let id: Box<str> = id.and_then(|id| id.to_str().ok()).unwrap_or("-").into();
        match self.serve(req).await {
            Ok(res) => res,
            Err(refusal) => {
                let age = self.standing.config_age(clock::now());
                let version = self
                    .standing
                    .fleet()
                    .config
                    .as_ref()
                    .map_or(0, |c| c.version);
                log::info!(
                    "event=refusal request={id} reason={refusal} config={version} config_age_ms={}",
                    age.map_or(-1, |a| i64::try_from(a.as_millis()).unwrap_or(i64::MAX))
                );
                metrics::counter!("bluebell_gateway_refusals", "reason" => refusal.to_string())
                    .increment(1);
                refusal.answer(rand::random())
            }
        }
    }

    async fn serve(
        self: &Arc<Self>,
        req: Request<Incoming>,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let arrived = clock::now();
        let (head, body) = req.into_parts();
        let fleet = self.standing.fleet();
        let host = head.headers.get(header::HOST).and_then(|h| h.to_str().ok());
        let host: Box<str> = host.or(head.uri.host()).unwrap_or_default().into();
        let key = head
            .headers
            .get(&self.names.key)
            .and_then(|k| k.to_str().ok());
        let path = head.uri.path();
        let admitted = self.admit(&fleet, &host, path, key, arrived)?;
        let stated = self.names.stated(&head.headers).ok_or(Refusal::NoId)?;
        self.check_stop(&admitted.route, &stated)?;
        let limits = self.limits();
        let body = Limited::new(body, limits.max_body_bytes);
        let body = body.collect().await.map_err(|e| {
            if e.is::<http_body_util::LengthLimitError>() {
                Refusal::TooLarge
            } else {
                Refusal::BodyCut
            }
        })?;
        let fleet = self.standing.fleet();
        let admitted = self.admit(&fleet, &host, path, key, clock::now())?;
        let stated_left = stated
            .deadline_ms
            .map_or(DEFAULT_DEADLINE, Duration::from_millis);
        let service = admitted.route.pick_service(rand::random());
        let job = Job {
            deadline: arrived + stated_left.min(admitted.route.timeout),
            service: service.unwrap_or_default().into(),
            key: key.map(Into::into),
            headers: self.names.for_target(&head.headers),
            method: head.method,
            uri: head.uri,
            host,
            body: body.to_bytes(),
            arrived,
            stated,
        };
        if admitted.route.repeat == Repeat::Stream {
            self.serve_stream(job, admitted).await
        } else {
            self.serve_plain(&job, admitted).await
        }
    }
}
