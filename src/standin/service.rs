//! Stand-in for a plain service, with non-idempotent bookings, a lookup of
//! bookings and a status page.
//!
//! It executes each `POST /bookings` that arrives and does not deduplicate, so that
//! the history shows a request that was sent twice.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio_util::sync::CancellationToken;
use viz::{Request, RequestExt, Response, Router, StatusCode};

use super::{Running, StandinError, history::History, register_target, spawn_http};
use crate::{cli::ServiceArgs, http};

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Maximum wait for a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Fields of a booking that set its waits and faults. The whole body of the request
/// is written to the history and returned.
#[derive(Debug, Deserialize)]
struct Booking {
    /// Wait before execution, in milliseconds.
    #[serde(default)]
    delay_before_ms: u64,
    /// Wait between execution and answer, in milliseconds.
    #[serde(default)]
    delay_after_ms: u64,
    /// Whether the booking is executed but never answered.
    #[serde(default)]
    is_mute: bool,
}

struct Shared {
    name: Box<str>,
    /// Number of executions by idempotency key.
    bookings: Mutex<BTreeMap<Box<str>, u64>>,
    history: History,
}

impl Shared {
    fn bookings(&self) -> MutexGuard<'_, BTreeMap<Box<str>, u64>> {
        self.bookings.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts the stand-in and registers it in the platform's instance list.
///
/// # Errors
/// The history file cannot be opened, the address cannot be bound, or the
/// platform does not answer.
pub async fn spawn(args: ServiceArgs) -> Result<Running, StandinError> {
    let shared = Arc::new(Shared {
        name: args.target.name.clone(),
        bookings: Mutex::default(),
        history: History::open(args.target.history.as_deref())?,
    });
    let stop = CancellationToken::new();
    let running = spawn_http(&args.target.listen, router(&shared), stop).await?;
    register_target(&args.target, running.address).await?;
    Ok(running)
}

/// Runs the stand-in until the process is killed.
///
/// # Errors
/// The stand-in could not start.
pub async fn run(args: ServiceArgs) -> Result<(), StandinError> {
    let name = args.target.name.clone();
    let running = spawn(args).await?;
    println!(
        "event=bound standin=service name={name} address={}",
        running.address
    );
    std::future::pending().await
}

fn router(shared: &Arc<Shared>) -> Router {
    let (book, lookup, status) = (shared.clone(), shared.clone(), shared.clone());
    Router::new()
        .post("/bookings", move |mut req: Request| {
            let shared = book.clone();
            async move { Ok(execute_booking(&shared, &mut req).await) }
        })
        .get("/bookings/:key", move |req: Request| {
            let key: String = req.param("key").unwrap_or_default();
            let executed = lookup.bookings().get(&*key).copied();
            async move {
                Ok(match executed {
                    Some(n) => http::json(StatusCode::OK, &json!({"key": key, "executed": n})),
                    None => http::json(StatusCode::NOT_FOUND, &json!({"key": key})),
                })
            }
        })
        .get("/status", move |_: Request| {
            let count = status.bookings().values().sum::<u64>();
            let body = json!({"target": status.name, "bookings": count});
            async move { Ok(http::json(StatusCode::OK, &body)) }
        })
}

/// Executes a booking, with its waits, and writes it to the history.
async fn execute_booking(shared: &Shared, req: &mut Request) -> Response {
    let key: Option<String> = req.header("idempotency-key");
    let key = key.unwrap_or_default();
    let body = http::read_body(req, MAX_BODY_BYTES, BODY_TIMEOUT).await;
    let parsed = body
        .ok()
        .and_then(|b| serde_json::from_slice::<Value>(&b).ok());
    let booking = parsed.clone().map(serde_json::from_value::<Booking>);
    let (Some(content), Some(Ok(booking))) = (parsed, booking) else {
        return http::with_body(StatusCode::BAD_REQUEST, "text/plain", Bytes::new());
    };
    tokio::time::sleep(Duration::from_millis(booking.delay_before_ms)).await;
    let count = {
        let mut bookings = shared.bookings();
        let count = bookings.entry(key.as_str().into()).or_default();
        *count += 1;
        *count
    };
    let detail = json!({"key": key, "target": shared.name, "content": content});
    shared.history.append("executed", &detail);
    tokio::time::sleep(Duration::from_millis(booking.delay_after_ms)).await;
    if booking.is_mute {
        std::future::pending::<()>().await;
    }
    let answer = json!({"key": key, "target": shared.name, "executed": count, "content": content});
    http::json(StatusCode::CREATED, &answer)
}
