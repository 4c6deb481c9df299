//! The callers' port: generations, plain services, health and metrics.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use viz::{IntoResponse, Request, RequestExt, Response, Router, StatusCode};

use crate::{
    admission::{self, CustomerName},
    budget::Budget,
    clock::{self, BootTime},
    decisions::Decisions,
    drain,
    engine::EngineClient,
    footprint::Footprints,
    generate,
    http::{self, HttpClient},
    metrics,
    platform::Platform,
    prefix::PrefixHints,
    quarantine::SharedQuarantine,
    records::{Service, ServiceType},
    refusal::{REQUEST_HEADER, Refusal, RefusalKind},
    resume::ResumeKey,
    service,
    settings::{CutOff, Settings},
    view::{SharedView, View},
};

/// Longest wait for an engine's connection and for short calls.
const ENGINE_TIMEOUT: Duration = Duration::from_secs(2);

/// What all handlers of the callers' port share.
pub(crate) struct Entry {
    pub settings: Arc<Settings>,
    pub view: SharedView,
    pub platform: Platform,
    pub engines: EngineClient,
    /// Client for plain services: a new connection for each call.
    pub services: HttpClient,
    pub decisions: Decisions,
    /// Requests that crashed targets.
    pub quarantine: SharedQuarantine,
    /// Pays for retries and hedges.
    pub budget: Budget,
    /// Makes and checks resume tokens.
    pub resume: ResumeKey,
    /// What runs of this daemon are expected to take at each target.
    pub footprints: Arc<Footprints>,
    /// What engines are believed to have cached.
    pub prefixes: Arc<PrefixHints>,
    /// Requests being served.
    pub active: AtomicUsize,
    /// The daemon is stopping.
    pub is_draining: AtomicBool,
}

impl Entry {
    pub fn open(settings: Arc<Settings>, view: SharedView, quarantine: SharedQuarantine) -> Self {
        let address = settings.platform.address.clone();
        Self {
            platform: Platform::open(address, settings.platform.timeout),
            engines: EngineClient::open(ENGINE_TIMEOUT),
            services: http::client(ENGINE_TIMEOUT, None),
            decisions: Decisions::default(),
            quarantine,
            budget: Budget::new(clock::now()),
            resume: ResumeKey::new(&settings.keys.resume),
            footprints: Arc::default(),
            prefixes: Arc::default(),
            active: AtomicUsize::new(0),
            is_draining: AtomicBool::new(false),
            settings,
            view,
        }
    }
}

/// One request on its way through the daemon.
#[derive(Clone)]
pub(crate) struct Call {
    /// Request id, in logs and in the answer.
    pub id: Box<str>,
    /// Who asks.
    pub customer: CustomerName,
    /// View it is served under.
    pub view: Arc<View>,
    /// When its last byte was here.
    pub arrived: BootTime,
}

/// Counts a request as active until dropped.
pub(crate) struct Active(Arc<Entry>);

impl Active {
    pub fn new(entry: &Arc<Entry>) -> Self {
        entry.active.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(entry))
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Routes of the callers' port.
pub(crate) fn router(entry: &Arc<Entry>) -> Router {
    let (ready, shown) = (entry.clone(), entry.clone());
    let (completions, any) = (entry.clone(), entry.clone());
    Router::new()
        .get("/healthz", |_: Request| async { Ok("ok\n") })
        .get("/metrics", move |_: Request| {
            let text = metrics::render(&shown.view.load());
            async move { Ok(text) }
        })
        .get("/readyz", move |_: Request| {
            let is_ready = ready.view.load().is_ready;
            async move {
                Ok(if is_ready {
                    "ready\n".into_response()
                } else {
                    (StatusCode::SERVICE_UNAVAILABLE, "not ready\n").into_response()
                })
            }
        })
        .post("/v1/completions", move |req: Request| {
            let entry = completions.clone();
            async move {
                let res = generate::complete(entry.clone(), req).await;
                Ok(drain::mark(&entry, res))
            }
        })
        .any("/services/:service/*", move |req: Request| {
            let entry = any.clone();
            async move {
                let res = service::serve(entry.clone(), req).await;
                Ok(drain::mark(&entry, res))
            }
        })
}

/// Id of a new request.
pub(crate) fn new_id() -> Box<str> {
    format!("{:024x}", rand::random::<u128>() >> 32).into()
}

/// Authenticates a request and takes in its body: nothing is claimed before
/// the body is whole.
pub(crate) async fn accept(
    entry: &Entry,
    req: &mut Request,
    id: Box<str>,
) -> Result<(Call, Bytes), Refusal> {
    let view = entry.view.load_full();
    check_ready(&view, &entry.settings)?;
    let Some(customer) = admission::customer_of(req, &view.snapshot) else {
        return Err(Refusal::not_run(
            RefusalKind::Unauthorized,
            "no valid customer key",
        ));
    };
    let limits = &entry.settings.limits;
    let body = http::read_body(req, limits.max_body_bytes, limits.request_timeout).await;
    let body = body.map_err(|e| {
        let kind = match e {
            http::BodyError::TooLarge { .. } => RefusalKind::TooLarge,
            http::BodyError::TooSlow { .. } => RefusalKind::TooSlow,
            http::BodyError::Cut { .. } => RefusalKind::BadRequest,
        };
        Refusal::not_run(kind, e.to_string())
    })?;
    let call = Call {
        id,
        customer,
        view: entry.view.load_full(),
        arrived: clock::now(),
    };
    Ok((call, body))
}

fn check_ready(view: &View, settings: &Settings) -> Result<(), Refusal> {
    if view.confirmed_at.is_none() && view.snapshot.revision == 0 {
        return Err(Refusal::not_run(
            RefusalKind::NotReady,
            "this daemon has no configuration yet",
        ));
    }
    let stale_after = settings.timing.stale_after;
    let serves_on = settings.cut_off == CutOff::Serve;
    if view.is_stale(clock::now(), stale_after) && !serves_on {
        return Err(Refusal::not_run(
            RefusalKind::NotReady,
            "this daemon cannot confirm its configuration",
        ));
    }
    Ok(())
}

/// The service record, if it is of the right type.
pub(crate) fn service_of<'a>(
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

/// The idempotency key of a request.
pub(crate) fn idempotency_key(req: &Request) -> Option<Box<str>> {
    let key: Option<String> = req.header("idempotency-key");
    key.map(Into::into)
}

/// The answer to a request, with its id in a header.
pub(crate) fn finish(served: Result<Response, Refusal>, id: &str) -> Response {
    let mut res = served.unwrap_or_else(|refusal| refusal.into_response(id));
    if let Ok(value) = id.parse() {
        res.headers_mut().insert(REQUEST_HEADER, value);
    }
    res
}
