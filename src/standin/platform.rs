//! Stand-in for the platform: an object store with revisions, conditional
//! writes and watches, the instance list, and faults that tests switch on.

use std::{
    collections::BTreeMap,
    convert::Infallible,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::sync::broadcast;
use tokio_util::sync::CancellationToken;
use viz::{Body, Request, RequestExt, Response, Router, StatusCode};

use super::{Running, StandinError, spawn_http};
use crate::{
    cli::PlatformArgs,
    clock::{self, BootTime},
    http,
    platform::{Instance, Listing, Object, Revision},
};

/// Maximum size of a request body, and so of an object's value.
const MAX_VALUE_BYTES: usize = 1024 * 1024;
/// Maximum wait for a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of changes by which a slow watch may lag before it is ended.
const WATCH_BUFFER: usize = 4096;

/// Faults of the stand-in; all are off at the start. They do not affect
/// the calls that only tests make: to set faults, to read the counts and to change
/// the instance list.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether the platform answers 503 to all calls. A watch that is already open
    /// ends at the first change that it receives meanwhile.
    pub is_down: bool,
    /// Delay before each call takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Number of writes, from now on, that take effect but are never answered.
    pub lose_answers: u32,
    /// Number of writes after which [`Faults::is_down`] is set. `None` if it is not.
    pub down_after_writes: Option<u32>,
    /// Whether watches stay open but send no changes.
    pub silent_watches: bool,
    /// Age of the instance list that readers get, in milliseconds.
    pub instance_lag_ms: u64,
}

/// Number of calls since the start.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Reads of objects, lists, revisions and instances.
    pub reads: u64,
    /// Conditional writes and deletes.
    pub writes: u64,
    /// Opened watches.
    pub watches: u64,
}

#[derive(Default)]
struct Store {
    /// Revision of the last write.
    revision: Revision,
    /// Objects by key; a deleted one stays without a value.
    objects: BTreeMap<Box<str>, Object>,
    /// Changes of the instance list, oldest first.
    instances: Vec<InstanceChange>,
    faults: Faults,
    counts: Counts,
}

/// Change of the instance list, which readers see after
/// [`Faults::instance_lag_ms`].
struct InstanceChange {
    at: BootTime,
    name: Box<str>,
    /// New state of the instance. `None` if it was removed.
    instance: Option<Instance>,
}

struct Shared {
    store: Mutex<Store>,
    changes: broadcast::Sender<Object>,
}

impl Shared {
    fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts the stand-in.
///
/// # Errors
/// The address cannot be bound.
pub async fn spawn(address: &str) -> Result<Running, StandinError> {
    let (changes, _) = broadcast::channel(WATCH_BUFFER);
    let shared = Arc::new(Shared {
        store: Mutex::default(),
        changes,
    });
    spawn_http(address, router(&shared), CancellationToken::new()).await
}

/// Runs the stand-in until the process is killed.
///
/// # Errors
/// The address cannot be bound.
pub async fn run(args: &PlatformArgs) -> Result<(), StandinError> {
    let running = spawn(&args.listen).await?;
    println!("event=bound standin=platform address={}", running.address);
    std::future::pending().await
}

fn router(shared: &Arc<Shared>) -> Router {
    let route = |handle: fn(&Shared, &Request) -> Response| {
        let shared = shared.clone();
        move |req: Request| {
            let shared = shared.clone();
            async move { Ok(with_faults(&shared, async |shared| handle(shared, &req)).await) }
        }
    };
    let (put, watch, faults, instance) = (
        shared.clone(),
        shared.clone(),
        shared.clone(),
        shared.clone(),
    );
    Router::new()
        .get("/v1/objects/*", route(get_object))
        .delete("/v1/objects/*", route(delete_object))
        .get("/v1/list", route(list))
        .get("/v1/revision", route(revision))
        .get("/v1/instances", route(instances))
        .get("/v1/counts", {
            let shared = shared.clone();
            move |_: Request| {
                let counts = shared.store().counts.clone();
                async move { Ok(http::json(StatusCode::OK, &counts)) }
            }
        })
        .put("/v1/objects/*", move |mut req: Request| {
            let shared = put.clone();
            async move {
                let body = http::read_body(&mut req, MAX_VALUE_BYTES, BODY_TIMEOUT).await;
                let body = body.ok().and_then(|b| serde_json::from_slice(&b).ok());
                Ok(with_faults(&shared, async |shared| put_object(shared, &req, body)).await)
            }
        })
        .get("/v1/watch", move |req: Request| {
            let shared = watch.clone();
            async move { Ok(with_faults(&shared, async |_| watch_objects(&shared, &req)).await) }
        })
        .put("/v1/faults", move |mut req: Request| {
            let shared = faults.clone();
            async move { Ok(set_faults(&shared, &mut req).await) }
        })
        .post("/v1/instances", move |mut req: Request| {
            let shared = instance.clone();
            async move { Ok(set_instance(&shared, &mut req).await) }
        })
        .delete("/v1/instances/:name", {
            let shared = shared.clone();
            move |req: Request| {
                let name: String = req.param("name").unwrap_or_default();
                change_instance(&shared, http::unescaped(&name).unwrap_or_default(), None);
                async move { Ok(empty_response(StatusCode::OK)) }
            }
        })
}

/// Answers a call under the faults that are set. If the answer to a write is
/// lost, the write has taken effect.
async fn with_faults(shared: &Shared, answer: impl AsyncFnOnce(&Shared) -> Response) -> Response {
    let faults = shared.store().faults.clone();
    if faults.is_down {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    let writes_before = shared.store().counts.writes;
    let res = answer(shared).await;
    let is_lost = {
        let mut store = shared.store();
        let is_write = store.counts.writes > writes_before;
        let is_lost = is_write && store.faults.lose_answers > 0;
        if is_lost {
            store.faults.lose_answers -= 1;
        }
        is_lost
    };
    if shared.store().counts.writes > writes_before {
        count_write(shared);
    }
    if is_lost {
        std::future::pending::<()>().await;
    }
    res
}

/// Counts a write towards [`Faults::down_after_writes`], and goes down after the
/// last one.
fn count_write(shared: &Shared) {
    let faults = &mut shared.store().faults;
    let left = faults.down_after_writes.map(|left| left.saturating_sub(1));
    faults.down_after_writes = left.filter(|left| *left > 0);
    faults.is_down |= left == Some(0);
}

fn empty_response(status: StatusCode) -> Response {
    http::with_body(status, "text/plain", Bytes::new())
}

fn key_of(req: &Request) -> Box<str> {
    let path = req.uri().path();
    let key = path.strip_prefix("/v1/objects/").unwrap_or_default();
    http::unescaped(key).unwrap_or_default()
}

/// Returns a query parameter, or `None` if it is missing or malformed.
fn query<T: std::str::FromStr>(req: &Request, name: &str) -> Option<T> {
    let pairs: Vec<(String, String)> = req.query().unwrap_or_default();
    let found = pairs.into_iter().find(|(n, _)| n == name);
    found.and_then(|(_, value)| value.parse().ok())
}

fn get_object(shared: &Shared, req: &Request) -> Response {
    let mut store = shared.store();
    store.counts.reads += 1;
    let found = store.objects.get(&key_of(req));
    match found.filter(|object| object.value.is_some()) {
        Some(object) => http::json(StatusCode::OK, object),
        None => empty_response(StatusCode::NOT_FOUND),
    }
}

fn put_object(shared: &Shared, req: &Request, value: Option<Value>) -> Response {
    match value {
        Some(value) => write(shared, req, Some(value)),
        None => empty_response(StatusCode::BAD_REQUEST),
    }
}

fn delete_object(shared: &Shared, req: &Request) -> Response {
    write(shared, req, None)
}

/// Sets an object's value, or deletes it if `value` is `None`, provided that its
/// revision is the one that the request expects.
fn write(shared: &Shared, req: &Request, value: Option<Value>) -> Response {
    let key = key_of(req);
    let Some(expected) = query::<Revision>(req, "if_revision") else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let mut store = shared.store();
    store.counts.writes += 1;
    let current = store.objects.get(&key).filter(|o| o.value.is_some());
    if current.map_or(0, |o| o.revision) != expected {
        return http::json(StatusCode::CONFLICT, &current);
    }
    store.revision += 1;
    let object = Object {
        key: key.clone(),
        revision: store.revision,
        value,
    };
    store.objects.insert(key, object.clone());
    let _ = shared.changes.send(object);
    http::json(StatusCode::OK, &store.revision)
}

fn list(shared: &Shared, req: &Request) -> Response {
    let prefix: String = query(req, "prefix").unwrap_or_default();
    let mut store = shared.store();
    store.counts.reads += 1;
    let objects = store.objects.values();
    let matching = objects.filter(|o| o.value.is_some() && o.key.starts_with(&*prefix));
    let listing = Listing {
        revision: store.revision,
        objects: matching.cloned().collect(),
    };
    http::json(StatusCode::OK, &listing)
}

/// Answers with the newest revision of the objects whose key has a prefix,
/// deleted ones included.
fn revision(shared: &Shared, req: &Request) -> Response {
    let prefix: String = query(req, "prefix").unwrap_or_default();
    let mut store = shared.store();
    store.counts.reads += 1;
    let objects = store.objects.values();
    let matching = objects.filter(|o| o.key.starts_with(&*prefix));
    let newest = matching.map(|o| o.revision).max().unwrap_or(0);
    http::json(StatusCode::OK, &newest)
}

/// Streams the changes after a revision: first the missed ones, then new ones.
fn watch_objects(shared: &Arc<Shared>, req: &Request) -> Response {
    let prefix: String = query(req, "prefix").unwrap_or_default();
    let after: Revision = query(req, "after").unwrap_or(0);
    let (missed, changes) = {
        let mut store = shared.store();
        store.counts.watches += 1;
        let objects = store.objects.values();
        let newer = objects.filter(|o| o.revision > after && o.key.starts_with(&*prefix));
        let mut missed: Vec<Object> = newer.cloned().collect();
        missed.sort_by_key(|o| o.revision);
        (missed, shared.changes.subscribe())
    };
    let shared = shared.clone();
    let events = futures::stream::unfold(
        (missed.into_iter(), changes, shared, prefix),
        |(mut missed, mut changes, shared, prefix)| async move {
            let object = match missed.next() {
                Some(object) => object,
                None => next_change(&mut changes, &shared, &prefix).await?,
            };
            let line = serde_json::to_vec(&object).unwrap_or_default();
            let line = Bytes::from([line, vec![b'\n']].concat());
            Some((Ok::<_, Infallible>(line), (missed, changes, shared, prefix)))
        },
    );
    Response::new(Body::from_stream(events))
}

/// Waits for the next change of an object whose key has the prefix. Returns
/// `None` if the watch ends.
async fn next_change(
    changes: &mut broadcast::Receiver<Object>,
    shared: &Shared,
    prefix: &str,
) -> Option<Object> {
    loop {
        let object = changes.recv().await.ok()?;
        let faults = shared.store().faults.clone();
        if faults.is_down {
            return None;
        }
        if faults.silent_watches {
            // Never returns, since a watch that sent later changes would have skipped
            // this one.
            std::future::pending::<()>().await;
        }
        if object.key.starts_with(prefix) {
            return Some(object);
        }
    }
}

fn instances(shared: &Shared, _: &Request) -> Response {
    let mut store = shared.store();
    store.counts.reads += 1;
    let lag = Duration::from_millis(store.faults.instance_lag_ms);
    let shown_until = clock::now().saturating_sub(lag);
    let mut current: BTreeMap<&str, &Instance> = BTreeMap::new();
    for change in store.instances.iter().filter(|c| c.at <= shown_until) {
        match &change.instance {
            Some(instance) => current.insert(&change.name, instance),
            None => current.remove(&*change.name),
        };
    }
    let current: Vec<&Instance> = current.into_values().collect();
    http::json(StatusCode::OK, &current)
}

async fn set_instance(shared: &Shared, req: &mut Request) -> Response {
    let body = http::read_body(req, MAX_VALUE_BYTES, BODY_TIMEOUT).await;
    let instance = body.ok().and_then(|b| serde_json::from_slice(&b).ok());
    let Some(instance): Option<Instance> = instance else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    change_instance(shared, instance.name.clone(), Some(instance));
    empty_response(StatusCode::OK)
}

fn change_instance(shared: &Shared, name: Box<str>, instance: Option<Instance>) {
    let at = clock::now();
    let change = InstanceChange { at, name, instance };
    shared.store().instances.push(change);
}

async fn set_faults(shared: &Shared, req: &mut Request) -> Response {
    let body = http::read_body(req, MAX_VALUE_BYTES, BODY_TIMEOUT).await;
    match body.ok().and_then(|b| serde_json::from_slice(&b).ok()) {
        Some(faults) => {
            shared.store().faults = faults;
            empty_response(StatusCode::OK)
        }
        None => empty_response(StatusCode::BAD_REQUEST),
    }
}
