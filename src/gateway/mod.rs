//! HTTP gateway that forwards callers' requests to targets run by other
//! operators.
//!
//! The control thread follows the store and publishes its state as a
//! [`SharedState`]; the traffic thread serves callers from that state. Header
//! names and the calls to the store and to engines are supplied by an adapter,
//! so this module does not depend on the wire formats of one platform.

mod active_rollout;
mod admission;
mod answer_end;
mod body;
mod body_pace;
mod change_log;
mod cold_limit;
mod config_age;
mod config_patch;
mod connection_set;
mod connections;
mod control;
mod crash_history;
mod crashes;
mod customer_demand;
mod customer_shares;
mod demand_exchange;
mod detour;
mod engines;
mod event_queue;
mod events;
mod exchange;
mod fallback_read;
mod feed;
mod fleet;
mod framing;
mod generation;
mod head_fields;
mod headers;
mod held;
mod in_flight;
mod job;
mod list_progress;
mod listener;
mod load;
mod memory;
mod model;
mod new_start;
mod peer_port;
mod peer_wire;
mod peers;
mod placement;
mod plain;
mod priority;
mod pump;
mod reach;
mod readiness;
mod receive_buffer;
mod refusal;
mod resumption;
mod rollout;
mod rollout_orders;
mod rollout_plan;
mod rollout_report;
mod rollout_share;
mod rollout_status;
mod rollout_use;
mod rollout_writer;
mod rollouts;
mod room;
mod routing;
mod send_budget;
mod send_meter;
mod sent;
mod service_rates;
mod service_rollout;
mod settings;
mod share_use;
mod shared_state;
mod speed_table;
mod speed_use;
mod start;
mod startup_wait;
mod statements;
mod stop;
mod store_era;
mod suspect_entry;
mod suspects;
mod takeover;
mod target_connection;
mod target_limits;
mod target_speed;
mod target_statements;
mod target_versions;
mod tunnel;
mod tunnel_stream;
mod version_outcomes;
mod wait_queue;
mod whole_body;

use std::{
    cell::RefCell,
    io,
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::AtomicBool},
    time::Duration,
};

use arc_swap::ArcSwap;
use hyper::{
    Request, Response,
    body::{Body, Incoming},
    header,
    http::request::Parts,
};
use tokio::{
    net::TcpListener,
    sync::{Semaphore, mpsc, oneshot},
};
use tokio_util::sync::CancellationToken;

pub use self::{
    admission::{
        Demand as AdmissionDemand, Room, TargetRoom, Verdict as AdmissionVerdict,
        decide as decide_admission, hold_end,
    },
    body::{Chunk, ResponseBody, StreamError},
    body_pace::{BodyPace, PaceLimits},
    change_log::ChangeLog,
    cold_limit::{ColdQuotas, ColdSends, cold_request_quota},
    config_age::{ConfigUse, config_use},
    config_patch::{ConfigPatch, replace_with_patches},
    connections::{
        ConnectionBounds, ConnectionState, ConnectionTimes, EvictionRule, connection_to_evict,
    },
    crash_history::{CrashHistory, CrashHistoryHandle, RunCrash},
    customer_demand::{ClassKey, DemandMeter},
    customer_shares::{CustomerKey, CustomerRate, Limited, ServiceDemand, is_short, max_min},
    demand_exchange::{DemandExchange, FORWARDED_TO, Surroundings},
    engines::{CopyHandle, CopyRequest, Dial, EngineCallError, EngineCalls, StopAnswer},
    events::{Event, EventId, EventSplitter, MAX_EVENT_BYTES},
    fallback_read::{ConfigBound, FallbackReads, Rank},
    feed::{ReadError, Store},
    fleet::FeedState,
    head_fields::{field_memory, max_fields},
    headers::{HeaderNames, RequestInfo, end_to_end, header_value},
    list_progress::ListProgress,
    load::{LoadTracker, Work},
    memory::{MemoryGrant, MemoryPool, MemoryPools, SMALL_BYTES},
    model::{
        Batch, CallerLimits, Change, Config, Customer, EngineLimits, Fleet, KnownTarget, Read,
        RepeatPolicy, Route, Service, Target, TargetId, Tokens, Topic, ZoneName,
    },
    peer_wire::{
        AttemptKey, CustomerDemand, DemandReport, DemandScope, Incarnation, RequestCrash,
        RequestCrashReport, ServiceDemandReport, ServiceSendCounts, SpeedReport, StatementReport,
        SubjectKey, SuspectReport, TargetKey, TargetWork, Update, WorkReport, ZoneLoad, target_key,
    },
    peers::{DaemonInfo, DaemonName, Peers},
    placement::{
        Candidate, Distance, GenerationDemand, PrefillRate, engine_cost, has_room_for_backup,
        plain_cost, sample_other_zones,
    },
    priority::PriorityRange,
    reach::{MAX_SIBLINGS, ReachTable, Sibling, SiblingTable, Way},
    receive_buffer::max_large_buffers,
    resumption::{
        AfterBreak, BrokenStream, GiveUpReason, InvalidEventId, StreamPosition, after_break,
        parse_event_id,
    },
    rollout::{Rollout, RolloutOrder, RolloutState},
    rollout_plan::{Capacity, RolloutMoment, RolloutStep, RolloutVerdict, VerdictCause},
    rollout_report::{OrderId, RolloutDecision, RolloutReport},
    rollout_share::{Preference, ShareCredit, VersionUse},
    rollout_writer::{RolloutAnswer, RolloutCall, RolloutStatusWrite, RolloutWriter, StatusStep},
    rollouts::{ReportTo, Rollouts},
    routing::Denied,
    send_budget::{RepeatReason, SendBudget, SendCounts, SendHistory, SendTracker},
    send_meter::{SendMeter, VersionSend},
    service_rates::ServiceRates,
    settings::{Bounds, GatewayListen, GatewaySettings, RolloutSettings, StoreSettings},
    share_use::DemandTracker,
    shared_state::{PeerLoad, SharedState},
    speed_table::{SpeedSummary, SpeedTable, SpeedTracker},
    start::Start,
    startup_wait::startup_wait_end,
    stop::{GracePeriod, PauseDetector, ends_before_exit},
    store_era::{
        ConfigStamp, era_of, is_written_in_era, mark_written_in_era, revision_in_era,
        revision_in_store,
    },
    suspects::{HeldChange, ReleaseReason, SuspectTable, SuspectTracker, Suspects, Verdict},
    takeover::{Step, Takeover},
    target_limits::{LIMIT_WINDOW, SentToTarget, demand_name, drawn_targets, has_room},
    target_speed::{GapMeter, SpeedEstimate, StatedLoad, UnseenRequests},
    target_statements::{LimitChange, StatementTable, StatementTracker},
    tunnel_stream::{MAX_PIECE_BYTES, TunnelStream, piece_head},
    version_outcomes::{OutcomeSums, OutcomeTable, Outcomes, ReportScope, RouteOutcomes, Side},
    wait_queue::{HeldNumber, RELEASE_WINDOW, WaitQueue},
};
use self::{
    body_pace::{PacedBody, Shortages},
    connection_set::{ConnectionSet, Monitor},
    control::Control,
    crashes::request_key,
    head_fields::take_field_memory,
    held::HeldRequests,
    in_flight::{InFlightCounter, InFlightRequests, Progress, Stage, describe},
    job::Job,
    memory::REQUEST_BYTES,
    peer_port::{Identity, PeerPort, peer_address},
    refusal::Refusal,
    stop::{IDLE_CLOSE_FRACTION, READ_FRACTION},
    tunnel::MAX_TUNNELS,
    whole_body::{BodyError, Shortage, read_whole},
};
use crate::{
    clock, http,
    log::shown,
    supervisor::{supervise, supervise_local},
};

/// Deadline of a request that states none. The route's timeout applies as well
/// and is usually shorter.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);
/// Interval between checks for requests still in progress during shutdown; short
/// compared with any configured grace period.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of requests that are logged when the process exits before their
/// end.
const MAX_UNFINISHED_LOGGED: usize = 256;

/// What the traffic thread counts and the control thread shares with other daemons. Clones
/// share their state.
#[derive(Clone, Debug, Default)]
pub(crate) struct Trackers {
    pub loads: LoadTracker,
    pub sends: SendTracker,
    pub suspects: Suspects,
    pub statements: StatementTracker,
    pub speeds: SpeedTracker,
    pub demand: DemandTracker,
    pub rollouts: Rollouts,
}

/// A table that the tasks of the traffic thread share.
#[derive(Debug, Default)]
struct SharedTable<T>(Mutex<T>);

impl<T> SharedTable<T> {
    fn lock(&self) -> MutexGuard<'_, T> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Open connections of each port.
#[derive(Debug, Default)]
struct PortConnections {
    callers: ConnectionSet,
    readiness: ConnectionSet,
    metrics: ConnectionSet,
}

/// State that the tasks of the traffic thread share.
pub struct Gateway {
    settings: ArcSwap<GatewaySettings>,
    names: HeaderNames,
    engines: EngineCalls,
    shared: Arc<SharedState>,
    loads: LoadTracker,
    prefill_rate: PrefillRate,
    rates: ServiceRates,
    held: HeldRequests,
    sends: SendTracker,
    suspects: Suspects,
    statements: StatementTracker,
    speeds: SpeedTracker,
    demand: DemandTracker,
    rollouts: Rollouts,
    reach: SharedTable<ReachTable>,
    siblings: SharedTable<SiblingTable>,
    /// Permits for connections that are open for other daemons.
    tunnels: Arc<Semaphore>,
    cold_quotas: ColdQuotas,
    cold_sends: ColdSends,
    in_progress: InFlightRequests,
    memory: MemoryPools,
    /// Whether requests or connections found no room.
    shortages: Shortages,
    ports: PortConnections,
    /// Open connections of callers.
    connections: InFlightCounter,
    /// Those with a large receive buffer.
    large_buffers: InFlightCounter,
    /// Cancelled when requests that have no response yet are to be answered, because
    /// the process is about to exit.
    final_answers: CancellationToken,
    /// What the load balancer was last told.
    was_ready: AtomicBool,
    /// Time at which the process started to serve.
    started_at: clock::BootTime,
    /// Time at which shutdown was requested; `None` before that.
    stop_requested_at: Mutex<Option<clock::BootTime>>,
}

/// Handle to a started gateway.
pub struct RunningGateway {
    gateway: Arc<Gateway>,
    /// Ends the control thread when cancelled.
    control: CancellationToken,
}

impl RunningGateway {
    /// Binds the ports, starts the control thread and serves callers.
    ///
    /// # Errors
    /// Returns an error if a port cannot be bound, the instance's IP address is
    /// invalid, or the control thread cannot be started.
    pub async fn spawn(
        settings: GatewaySettings,
        names: HeaderNames,
        store: Store,
        engines: EngineCalls,
    ) -> io::Result<Self> {
        let listen = |address| receive_buffer::listen(address, settings.memory_mb);
        let callers = listen(settings.listen.callers)?;
        let readiness = listen(settings.listen.readiness)?;
        let metrics = listen(settings.listen.metrics)?;
        let tunnels = match tunnel_address(&settings) {
            Some(address) => Some(listen(address)?),
            None => None,
        };
        crate::metrics::install();
        let shared = Arc::new(SharedState::default());
        let control = CancellationToken::new();
        let trackers = Trackers {
            rollouts: Rollouts::new(settings.rollouts.as_ref(), &settings.name, &settings.zone),
            ..Trackers::default()
        };
        let memory = MemoryPools::new(settings.memory_mb);
        let control_started = spawn_control(
            store,
            &settings,
            trackers.clone(),
            shared.clone(),
            control.clone(),
        );
        control_started.await?;
        let gateway = Arc::new(Gateway {
            settings: ArcSwap::from_pointee(settings),
            names,
            engines,
            shared,
            loads: trackers.loads,
            prefill_rate: PrefillRate::default(),
            rates: ServiceRates::default(),
            held: HeldRequests::default(),
            sends: trackers.sends,
            suspects: trackers.suspects,
            statements: trackers.statements,
            speeds: trackers.speeds,
            demand: trackers.demand,
            rollouts: trackers.rollouts,
            reach: SharedTable::default(),
            siblings: SharedTable::default(),
            tunnels: Arc::new(Semaphore::new(MAX_TUNNELS)),
            cold_quotas: ColdQuotas::default(),
            cold_sends: ColdSends::default(),
            in_progress: InFlightRequests::default(),
            memory,
            shortages: Shortages::default(),
            ports: PortConnections::default(),
            connections: InFlightCounter::default(),
            large_buffers: InFlightCounter::default(),
            final_answers: CancellationToken::new(),
            was_ready: AtomicBool::default(),
            started_at: clock::now(),
            stop_requested_at: Mutex::default(),
        });
        let ports = [Arc::new(callers), Arc::new(readiness), Arc::new(metrics)];
        serve_ports(ports, &gateway);
        if let Some(tunnels) = tunnels {
            serve_others(Arc::new(tunnels), &gateway);
        }
        Ok(Self { gateway, control })
    }

    /// Replaces the settings that requests are served with. Listeners and the
    /// control thread keep the settings with which they were started.
    pub fn reload(&self, settings: GatewaySettings) {
        if **self.gateway.settings.load() == settings {
            return;
        }
        log::info!("event=settings_changed instance={}", shown(&settings.name));
        self.gateway.memory.resize(settings.memory_mb);
        self.gateway.settings.store(Arc::new(settings));
    }

    /// Waits until callers' connections have ended, then stops the control thread. A
    /// connection ends once its last response has been written.
    ///
    /// Even if none are left, it waits for twice the time after which idle
    /// connections start to be closed. Shortly before the end of `stop_grace_s` of the
    /// settings, requests that have no response yet are answered. Once each has one, the
    /// method returns even if responses are still being written. The grace period began at
    /// `earliest` or later.
    pub async fn stop(self, earliest: clock::BootTime) {
        let gateway = &self.gateway;
        *gateway
            .stop_requested_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(earliest);
        gateway.shared.mark_stopping();
        gateway.held.close();
        log::info!("event=stopping running={}", gateway.in_progress.count());
        let grace = GracePeriod {
            earliest,
            latest: clock::now(),
            length: gateway.stop_grace(),
        };
        loop {
            tokio::time::sleep(SHUTDOWN_POLL_INTERVAL).await;
            let now = clock::now();
            let is_idle = gateway.connections.count() == 0 && grace.may_exit_idle(now);
            // One check may come after both times, if the process was not scheduled or
            // the grace period is short. The final answers are then written first.
            let had_final_answers = gateway.final_answers.is_cancelled();
            // Nothing bounds the time that writing the answers takes, but the kill does.
            let exits =
                || grace.may_cut_responses(now) && gateway.in_progress.unanswered_count() == 0;
            if is_idle || (had_final_answers && exits()) {
                break;
            }
            if !had_final_answers && grace.final_answers_due(now) {
                // Targets' answers that arrived while the process was not scheduled
                // go first.
                tokio::time::sleep(grace.length.mul_f64(READ_FRACTION)).await;
                gateway.final_answers.cancel();
            }
        }
        let unfinished = gateway.in_progress.take();
        for request in unfinished.iter().take(MAX_UNFINISHED_LOGGED) {
            log::warn!("event=cut_at_exit {}", describe(request));
        }
        log::info!("event=stopped running={}", unfinished.len());
        self.control.cancel();
    }
}

/// Serves callers, readiness probes and metrics scrapes until the process ends.
/// An accept loop that panics is restarted on the same listener.
fn serve_ports([callers, readiness, metrics]: [Arc<TcpListener>; 3], gateway: &Arc<Gateway>) {
    let never_cancelled = CancellationToken::new();
    let callers_gateway = gateway.clone();
    supervise("callers", never_cancelled.clone(), move || {
        listener::accept(callers.clone(), callers_gateway.clone())
    });
    let readiness_gateway = gateway.clone();
    supervise("readiness", never_cancelled.clone(), move || {
        readiness::serve_readiness(readiness.clone(), readiness_gateway.clone())
    });
    let metrics_gateway = gateway.clone();
    supervise("metrics", never_cancelled.clone(), move || {
        readiness::serve_metrics(metrics.clone(), metrics_gateway.clone())
    });
    supervise("metrics_upkeep", never_cancelled, crate::metrics::keep_up);
}

/// Opens connections to targets for other daemons, and looks for the links to them while
/// they are cut, until the process ends.
fn serve_others(tunnels: Arc<TcpListener>, gateway: &Arc<Gateway>) {
    let never_cancelled = CancellationToken::new();
    let tunnels_gateway = gateway.clone();
    supervise("tunnels", never_cancelled.clone(), move || {
        tunnel::serve_tunnels(tunnels.clone(), tunnels_gateway.clone())
    });
    let links_gateway = gateway.clone();
    supervise("links", never_cancelled, move || {
        detour::probe_links(links_gateway.clone())
    });
}

/// Returns the address at which other daemons ask for connections to targets: the last peer
/// port. `None` if there is only one.
fn tunnel_address(settings: &GatewaySettings) -> Option<SocketAddr> {
    let (first, last) = settings.peer_ports;
    peer_address(&settings.ip, last).filter(|_| first != last)
}

/// Starts the control thread and waits until its peer port is bound.
async fn spawn_control(
    store: Store,
    settings: &GatewaySettings,
    trackers: Trackers,
    shared: Arc<SharedState>,
    stop: CancellationToken,
) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let identity = identity(settings)?;
    let window = settings.send_budget().window;
    let config_bound = settings.config_bound();
    let has_rollouts = settings.rollouts.is_some();
    let tunnel_port = tunnel_address(settings).map(|address| address.port());
    let (started_tx, started_rx) = oneshot::channel();
    let run_control = move || {
        let tasks = tokio::task::LocalSet::new();
        let mut peers = Peers::new(identity.name.clone(), identity.zone.clone(), clock::now())
            .with_config_bound(config_bound);
        if identity.has_seeds() {
            peers = peers.with_seeds();
        }
        let mut control = Control::new(peers, trackers, window, shared);
        if has_rollouts {
            control = control.with_rollouts();
        }
        control.tunnel_port = tunnel_port;
        let control = Rc::new(RefCell::new(control));
        tasks.block_on(&runtime, async move {
            let port = PeerPort::bind(identity, control.clone()).await;
            let started = port.map(|port| start_control(Rc::new(port), &store, &control));
            // The receiver is awaited below, so it is gone only if that future
            // was dropped.
            let _ = started_tx.send(started);
            stop.cancelled().await;
        });
    };
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(run_control)?;
    started_rx.await.map_err(io::Error::other)?
}

/// Starts the tasks of the control thread: the feeds of the topics, the reads of the
/// configuration for this daemon itself, the writer of rollouts' status, the exchange of messages with peers, the server that answers fetches, and the
/// maintenance of the list of daemons.
fn start_control(port: Rc<PeerPort>, store: &Store, control: &Rc<RefCell<Control>>) {
    let (updates_tx, updates_rx) = mpsc::unbounded_channel();
    // Shared, so that the exchange of messages still has it after a restart.
    let updates_rx = Rc::new(tokio::sync::Mutex::new(updates_rx));
    let topics = control.borrow().topics();
    let feeds = topics.flat_map(|topic| feed::lanes(topic).map(move |lane| (topic, lane)));
    for (topic, lane) in feeds {
        let (store, control, updates_tx) = (store.clone(), control.clone(), updates_tx.clone());
        supervise_local("feed", move || {
            let (store, control) = (store.clone(), control.clone());
            feed::follow(topic, lane, store, control, updates_tx.clone())
        });
    }
    {
        let (store, control, updates_tx) = (store.clone(), control.clone(), updates_tx.clone());
        supervise_local("fallback_read", move || {
            feed::keep_confirmed(store.clone(), control.clone(), updates_tx.clone())
        });
    }
    if control.borrow().has_rollouts() {
        let (store, control) = (store.clone(), control.clone());
        supervise_local("rollout_status", move || {
            rollout_status::write_statuses(store.clone(), control.clone())
        });
    }
    let exchange_port = port.clone();
    supervise_local("peers", move || {
        exchange_port.clone().run(updates_rx.clone())
    });
    let fetch_port = port.clone();
    supervise_local("fetches", move || fetch_port.clone().serve_fetches());
    let store = store.clone();
    supervise_local("daemon_list", move || {
        port.clone().maintain_listing(store.clone())
    });
}

/// Returns the name, zone, peer address and seeds of this instance. Seeds that
/// are not IP addresses are skipped.
fn identity(settings: &GatewaySettings) -> io::Result<Identity> {
    let port = settings.peer_ports.0;
    let address = peer_address(&settings.ip, port);
    let address = address.ok_or_else(|| {
        io::Error::other("step=peer_address: setting \"ip\" is not an IP address")
    })?;
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

    /// Returns the limits on callers from the newest configuration, or the
    /// defaults before one has been read.
    fn limits(&self) -> CallerLimits {
        let fleet = self.shared.fleet();
        fleet
            .config
            .as_ref()
            .map_or_else(CallerLimits::default, |c| c.limits)
    }

    /// Returns the age of the configuration for the log; -1 until one has been confirmed.
    fn config_age_ms(&self) -> i64 {
        let age = self.shared.config_age(clock::now());
        age.map_or(-1, |a| i64::try_from(a.as_millis()).unwrap_or(i64::MAX))
    }

    /// Returns how many connections each port may have.
    fn connection_bounds(&self) -> ConnectionBounds {
        let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
        let descriptors = limit.map_or(usize::MAX, |l| usize::try_from(l).unwrap_or(usize::MAX));
        let max_header_bytes = self.limits().max_header_bytes;
        ConnectionBounds::new(descriptors, self.settings().memory_mb, max_header_bytes)
    }

    /// Returns the time since shutdown was requested; `None` before that.
    fn elapsed_since_stop(&self) -> Option<Duration> {
        let stop_requested_at = *self
            .stop_requested_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        stop_requested_at.map(|at| clock::now().saturating_sub(at))
    }

    fn stop_grace(&self) -> Duration {
        Duration::from_secs_f64(self.settings().bounds.stop_grace_s)
    }

    /// Returns whether idle connections are to be closed now. During shutdown
    /// this begins after a part of the grace period.
    fn closes_idle_connections(&self) -> bool {
        let elapsed = self.elapsed_since_stop();
        elapsed.is_some_and(|elapsed| elapsed > self.stop_grace().mul_f64(IDLE_CLOSE_FRACTION))
    }

    /// Refuses a request if the process may exit before the request's deadline.
    fn check_ends_before_exit(&self, deadline: clock::BootTime) -> Result<(), Refusal> {
        let Some(elapsed) = self.elapsed_since_stop() else {
            return Ok(());
        };
        let time_left = deadline.saturating_sub(clock::now());
        let is_certain = ends_before_exit(time_left, elapsed, self.stop_grace());
        is_certain.then_some(()).ok_or(Refusal::Stopping)
    }

    /// Handles a caller's request. A refusal is logged, counted and turned into
    /// a response; the connection counts as in use until the request's body has been
    /// discarded.
    async fn handle_request(
        self: &Arc<Self>,
        req: Request<Incoming>,
        progress: &Progress,
        monitor: &Monitor,
    ) -> Response<ResponseBody> {
        let (head, mut body) = req.into_parts();
        let id = self.names.request_id_of(&head.headers).unwrap_or("-");
        let id: Box<str> = id.into();
        let served = tokio::select! {
            // A response that is ready goes before the final answer.
            biased;
            served = self.serve(head, &mut body, progress, monitor) => served,
            () = self.final_answers.cancelled() => Err(match progress.stage() {
                Stage::NotRun => Refusal::Stopping,
                Stage::Sent | Stage::Responding => Refusal::Exiting,
            }),
        };
        match served {
            Ok(res) => res,
            Err(refusal) => {
                if refusal == Refusal::NoMemory {
                    self.shortages.record();
                }
                let version = self.shared.fleet().config_stamp().version;
                log::info!(
                    "event=refusal request={id} reason={refusal} config={version} config_age_ms={}",
                    self.config_age_ms(),
                    id = shown(&id)
                );
                metrics::counter!("bluebell_gateway_refusals", "reason" => refusal.to_string())
                    .increment(1);
                let unread = monitor.in_flight.start();
                let max_body_bytes = self.limits().max_body_bytes;
                tokio::spawn(async move {
                    http::discard(body, max_body_bytes).await;
                    drop(unread);
                });
                refusal.response(rand::random())
            }
        }
    }

    /// Takes the memory for a request and serves it.
    async fn serve(
        self: &Arc<Self>,
        head: Parts,
        body: &mut Incoming,
        progress: &Progress,
        monitor: &Monitor,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let memory = self.memory.requests.try_take(REQUEST_BYTES);
        let memory = memory.ok_or(Refusal::NoMemory)?;
        let mut res = self.forward(head, body, progress, monitor).await?;
        res.body_mut().attach_memory(memory);
        Ok(res)
    }

    /// Admits a request, reads its body and forwards it to a target.
    async fn forward(
        self: &Arc<Self>,
        head: Parts,
        body: &mut Incoming,
        progress: &Progress,
        monitor: &Monitor,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let arrived = clock::now();
        let field_memory = take_field_memory(&head.headers, &self.memory.bodies);
        let field_memory = field_memory.ok_or(Refusal::NoMemory)?;
        let info = self.names.request_info(&head.headers);
        let deadline_ms = info.as_ref().and_then(|info| info.deadline_ms);
        let caller_timeout = deadline_ms.map_or(DEFAULT_DEADLINE, Duration::from_millis);
        if let Some(info) = &info {
            self.wait_for_config(&info.request_id, arrived, caller_timeout)
                .await;
        }
        let fleet = self.shared.fleet();
        let host = head.headers.get(header::HOST).and_then(|h| h.to_str().ok());
        let host: Box<str> = host.or(head.uri.host()).unwrap_or_default().into();
        let key = head
            .headers
            .get(&self.names.key)
            .and_then(|k| k.to_str().ok())
            .map(Box::<str>::from);
        let key = key.as_deref();
        let path = head.uri.path();
        let admitted = self.admit(&fleet, &host, path, key, clock::now())?;
        let info = info.ok_or(Refusal::NoId)?;
        let deadline = arrived + caller_timeout.min(admitted.route.timeout);
        self.check_ends_before_exit(deadline)?;
        let limits = self.limits();
        let (max_bytes, pool) = (limits.max_body_bytes, &self.memory.bodies);
        let pace = PaceLimits {
            deadline,
            pause: limits.idle_timeout,
            shortage_pause: limits.header_timeout,
        };
        let size = body.size_hint();
        if size.exact().is_none_or(|size| size > SMALL_BYTES as u64) {
            let max = max_large_buffers(self.settings().memory_mb);
            monitor.receive_buffer.enlarge(&self.large_buffers, max);
        }
        let mut paced = PacedBody::new(body, pace, self.shortages.clone());
        // Bodies that have stopped give way meanwhile.
        let on_shortage = || {
            self.shortages.record();
        };
        let body = read_whole(&mut paced, max_bytes, pool, Shortage::Fail, on_shortage).await;
        let body = body.map_err(|e| match e {
            BodyError::TooLarge { .. } => Refusal::TooLarge,
            BodyError::NoMemory => Refusal::NoMemory,
            BodyError::Broken { .. } if paced.is_too_slow => Refusal::BodySlow,
            BodyError::Broken { .. } => Refusal::BodyCut,
        })?;
        let fleet = self.shared.fleet();
        let admitted = self.admit(&fleet, &host, path, key, clock::now())?;
        let deadline = arrived + caller_timeout.min(admitted.route.timeout);
        // The process may have been asked to stop while the body was read.
        self.check_ends_before_exit(deadline)?;
        let service = admitted
            .route
            .pick_service(rand::random())
            .unwrap_or_default();
        let customer = admitted.customer.as_ref();
        let config = fleet.config.as_ref();
        let priority = config.and_then(|config| {
            config.engine_priority(&admitted.route, customer.map(|c| &**c), service)
        });
        let request = request_key(&head.method, &host, &head.uri, customer, &body);
        let policy = admitted.route.repeat_policy;
        let is_stream = policy.is_stream();
        let last_event = if policy.is_resumable() {
            let stated = self.names.last_event_id(&head.headers);
            stated.map_err(|InvalidEventId| Refusal::BadEventId)?
        } else {
            None
        };
        let mut job = Job {
            subjects: info.parts.iter().copied().chain([request]).collect(),
            request,
            is_resumable: policy.is_resumable(),
            last_event,
            suspects: self.suspects.of_kind(is_stream).clone(),
            deadline,
            service: service.into(),
            priority,
            key: key.map(Into::into),
            headers: self.names.for_target(head.headers),
            _field_memory: field_memory,
            method: head.method,
            uri: head.uri,
            host,
            body,
            arrived,
            info,
            progress: progress.clone(),
            account: None,
        };
        job.account = Self::share_account(&fleet, &job, &admitted);
        self.record_demand(&job, clock::now());
        if is_stream {
            self.serve_stream(job, admitted).await
        } else {
            self.serve_plain(&Arc::new(job), admitted).await
        }
    }
}
