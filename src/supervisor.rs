//! Restarts tasks that end or panic, with exponential backoff, until they are
//! stopped.

use std::time::Duration;

use tokio::task::{JoinHandle, spawn_local};
use tokio_util::sync::CancellationToken;

use crate::clock;

/// Shortest and longest pause before a restart.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(2));
/// Run time after which a task is restarted with the shortest pause again.
const BACKOFF_RESET_AFTER: Duration = Duration::from_secs(10);

/// Spawns the task that `start` returns, and again whenever it ends or panics.
/// Cancelling `stop` aborts the running task and ends the restarts.
pub(crate) fn supervise<F, Fut>(
    name: &'static str,
    stop: CancellationToken,
    mut start: F,
) -> JoinHandle<()>
where
    F: FnMut() -> Fut + Send + 'static,
    Fut: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(keep_running(name, stop, move || tokio::spawn(start())))
}

/// Does the same as [`supervise`] for a task that is not `Send`, on the current
/// thread. The task is restarted until the thread's `LocalSet` is dropped.
pub(crate) fn supervise_local<F, Fut>(name: &'static str, mut start: F) -> JoinHandle<()>
where
    F: FnMut() -> Fut + 'static,
    Fut: Future<Output = ()> + 'static,
{
    let stop = CancellationToken::new();
    spawn_local(keep_running(name, stop, move || spawn_local(start())))
}

async fn keep_running(
    name: &'static str,
    stop: CancellationToken,
    mut spawn: impl FnMut() -> JoinHandle<()>,
) {
    let mut pause = BACKOFF.0;
    loop {
        let started_at = clock::now();
        let mut task = spawn();
        let ended = tokio::select! {
            ended = &mut task => ended,
            () = stop.cancelled() => {
                task.abort();
                return;
            }
        };
        if clock::now().saturating_sub(started_at) > BACKOFF_RESET_AFTER {
            pause = BACKOFF.0;
        }
        let (level, reason) = match ended {
            Ok(()) => (log::Level::Debug, "ended".to_owned()),
            Err(e) => (log::Level::Warn, e.to_string()),
        };
        metrics::counter!("bluebell_task_restarts", "task" => name).increment(1);
        log::log!(
            level,
            "event=task_restart task={name} reason={reason:?} pause_ms={}",
            pause.as_millis()
        );
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = stop.cancelled() => return,
        }
        pause = (pause * 2).min(BACKOFF.1);
    }
}
