//! HTTP server for callers: serves completions and plain services, and reports
//! health, readiness and metrics.
//!
//! Each request is authenticated, and its body read whole, before a target is
//! chosen, so that a slow upload never occupies capacity of a target.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use hyper::body::Body;
use viz::{IntoResponse, Request, RequestExt, Response, Router, StatusCode};

use crate::{
    auth::{self, CustomerName},
    budget::RetryBudget,
    clock::{self, BootTime},
    decisions::Decisions,
    drain,
    engine::EngineClient,
    footprint::MemoryReservations,
    gateway::{MemoryGrant, MemoryPool, SMALL_BYTES},
    generate,
    http::{self, HttpClient},
    metrics,
    platform::Platform,
    prefix::PrefixHints,
    quarantine::SharedQuarantine,
    records::{Service, ServiceType},
    refusal::{REQUEST_HEADER, Refusal, RefusalKind},
    resume::ResumeKeys,
    service,
    settings::{CutOff, Settings},
    view::{SharedView, View},
};

/// Timeout for connecting to a target and for short calls to an engine.
const ENGINE_TIMEOUT: Duration = Duration::from_secs(2);

/// State shared by all request handlers of the caller port.
pub(crate) struct ServerState {
    /// Settings of this daemon.
    pub settings: Arc<Settings>,
    /// Latest view published by the control thread.
    pub view: SharedView,
    /// Client of the platform.
    pub platform: Platform,
    /// Client of the engines.
    pub engines: EngineClient,
    /// Client of plain services; it opens a new connection for each call.
    pub services: HttpClient,
    /// Recent routing decisions.
    pub decisions: Decisions,
    /// Requests that were in flight on targets that crashed.
    pub quarantine: SharedQuarantine,
    /// Budget shared by retries and hedges.
    pub budget: RetryBudget,
    /// Keys that sign and verify resume tokens.
    pub resume_keys: ResumeKeys,
    /// Memory that the runs of this daemon are expected to use on each target.
    pub reservations: Arc<MemoryReservations>,
    /// Memory for request bodies.
    pub bodies: MemoryPool,
    /// Prompt prefixes that each engine is believed to have cached.
    pub prefixes: Arc<PrefixHints>,
    /// Number of requests being served.
    pub active_requests: AtomicUsize,
    /// Whether the daemon is stopping.
    pub is_draining: AtomicBool,
}

impl ServerState {
    /// Creates the state, with clients that have no connections yet.
    pub fn open(settings: Arc<Settings>, view: SharedView, quarantine: SharedQuarantine) -> Self {
        let address = settings.platform.address.clone();
        Self {
            platform: Platform::new(address, settings.platform.timeout),
            engines: EngineClient::open(ENGINE_TIMEOUT),
            services: http::new_client(ENGINE_TIMEOUT, None),
            decisions: Decisions::default(),
            quarantine,
            budget: RetryBudget::new(clock::now()),
            resume_keys: ResumeKeys::new(&settings.keys.resume),
            reservations: Arc::default(),
            bodies: MemoryPool::new(
                settings
                    .limits
                    .max_bodies_bytes
                    .max(settings.limits.max_body_bytes),
            ),
            prefixes: Arc::default(),
            active_requests: AtomicUsize::new(0),
            is_draining: AtomicBool::new(false),
            settings,
            view,
        }
    }
}

/// Context of one caller request while the daemon serves it.
#[derive(Clone)]
pub(crate) struct RequestContext {
    /// Request id, as in the logs and in the response header.
    pub id: Box<str>,
    /// Authenticated customer.
    pub customer: CustomerName,
    /// View that was current when the body had been read.
    pub view: Arc<View>,
    /// Time at which the whole body had been read.
    pub arrived_at: BootTime,
}

/// Guard that counts a request in [`ServerState::active_requests`] until it is dropped.
pub(crate) struct ActiveRequest(Arc<ServerState>);

impl ActiveRequest {
    /// Counts one more active request.
    pub fn new(state: &Arc<ServerState>) -> Self {
        state.active_requests.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(state))
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.active_requests.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Returns the routes of the caller port.
pub(crate) fn router(state: &Arc<ServerState>) -> Router {
    let (readiness, metrics_state) = (state.clone(), state.clone());
    let (completions, services) = (state.clone(), state.clone());
    Router::new()
        .get("/healthz", |_: Request| async { Ok("ok\n") })
        .get("/metrics", move |_: Request| {
            let text = metrics::render_with_view(&metrics_state.view.load());
            async move { Ok(text) }
        })
        .get("/readyz", move |_: Request| {
            let is_ready = readiness.view.load().is_ready;
            async move {
                Ok(if is_ready {
                    "ready\n".into_response()
                } else {
                    (StatusCode::SERVICE_UNAVAILABLE, "not ready\n").into_response()
                })
            }
        })
        .post("/v1/completions", move |req: Request| {
            let state = completions.clone();
            async move {
                let res = generate::complete(state.clone(), req).await;
                Ok(drain::close_when_draining(&state, res))
            }
        })
        .any("/services/:service/*", move |req: Request| {
            let state = services.clone();
            async move {
                let res = service::serve(state.clone(), req).await;
                Ok(drain::close_when_draining(&state, res))
            }
        })
}

/// Returns a random id for a new request or generation: 96 bits in hexadecimal.
pub(crate) fn new_id() -> Box<str> {
    format!("{:024x}", rand::random::<u128>() >> 32).into()
}

/// Authenticates a request and reads its body.
///
/// No credit or idempotency key is claimed before the whole body has arrived.
///
/// # Errors
/// Refuses a request when the daemon is not ready, when the customer key is
/// invalid, or when the body is too large, too slow or incomplete.
pub(crate) async fn authenticate_and_read(
    state: &ServerState,
    req: &mut Request,
    id: Box<str>,
) -> Result<(RequestContext, Bytes), Refusal> {
    let view = state.view.load_full();
    check_ready(&view, &state.settings)?;
    let Some(customer) = auth::customer_of(req, &view.snapshot) else {
        return Err(Refusal::not_run(
            RefusalKind::Unauthorized,
            "no valid customer key",
        ));
    };
    let limits = &state.settings.limits;
    let mut memory = take_body_memory(state, req)?;
    let body = http::read_body(req, limits.max_body_bytes, limits.request_timeout).await;
    let body = body.map_err(|e| {
        let kind = match e {
            http::BodyError::TooLarge { .. } => RefusalKind::TooLarge,
            http::BodyError::TooSlow { .. } => RefusalKind::TooSlow,
            http::BodyError::Incomplete { .. } => RefusalKind::BadRequest,
        };
        Refusal::not_run(kind, e.to_string())
    })?;
    let body = if memory.bytes() > 0 && memory.try_resize(&state.bodies, body.len()) {
        memory.attach(body)
    } else {
        body
    };
    let context = RequestContext {
        id,
        customer,
        view: state.view.load_full(),
        arrived_at: clock::now(),
    };
    Ok((context, body))
}

/// Takes memory for the body of a request: its declared length, or that of the largest one.
///
/// # Errors
/// Other bodies take the memory.
fn take_body_memory(state: &ServerState, req: &Request) -> Result<MemoryGrant, Refusal> {
    let limits = &state.settings.limits;
    let declared = req.body().size_hint().exact();
    let length = declared.and_then(|length| usize::try_from(length).ok());
    let length = length.unwrap_or(limits.max_body_bytes);
    // Too large a body is refused as it is read.
    if length <= SMALL_BYTES || length > limits.max_body_bytes {
        return Ok(MemoryGrant::default());
    }
    state.bodies.try_take(length).ok_or_else(|| {
        Refusal::not_run(
            RefusalKind::NoRoom,
            "other bodies take the memory of this daemon",
        )
    })
}

/// Refuses new work while the daemon has no configuration, or has a stale one that
/// the `cut_off` setting does not let it use.
fn check_ready(view: &View, settings: &Settings) -> Result<(), Refusal> {
    if view.confirmed_at.is_none() && view.snapshot.revision == 0 {
        return Err(Refusal::not_run(
            RefusalKind::NotReady,
            "this daemon has no configuration yet",
        ));
    }
    let stale_after = settings.timing.stale_after;
    let serves_when_stale = settings.cut_off == CutOff::Serve;
    if view.is_stale(clock::now(), stale_after) && !serves_when_stale {
        return Err(Refusal::not_run(
            RefusalKind::NotReady,
            "this daemon cannot confirm its configuration",
        ));
    }
    Ok(())
}

/// Returns the record of a service.
///
/// # Errors
/// No service of this type has that name.
pub(crate) fn find_service<'a>(
    view: &'a View,
    name: &str,
    kind: ServiceType,
) -> Result<&'a Service, Refusal> {
    let service = view.snapshot.services.get(name);
    service.filter(|s| s.kind == kind).ok_or_else(|| {
        let message = format!("no {kind} service named {name:?}");
        Refusal::not_run(RefusalKind::NoService, message)
    })
}

/// Returns the value of the `idempotency-key` header; `None` if the header is absent
/// or not ASCII.
pub(crate) fn idempotency_key(req: &Request) -> Option<Box<str>> {
    let key: Option<String> = req.header("idempotency-key");
    key.map(Into::into)
}

/// Returns the response to a request, with the request id in a header.
pub(crate) fn with_request_id(served: Result<Response, Refusal>, id: &str) -> Response {
    let mut res = served.unwrap_or_else(|refusal| refusal.into_response(id));
    if let Ok(value) = id.parse() {
        res.headers_mut().insert(REQUEST_HEADER, value);
    }
    res
}
