//! Installs the process-wide metrics recorder and renders its metrics in the
//! Prometheus text format.

use std::{sync::OnceLock, time::Duration};

use metrics::gauge;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use crate::{
    clock::{self, BootTime},
    view::View,
};

/// Upper bounds of the histogram buckets for times, in seconds. Two of them are the
/// latency objectives: 0.041 between two tokens and 1.6 to the first token.
const TIME_BUCKETS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.041, 0.1, 0.2, 0.5, 1.0, 1.6, 5.0, 30.0, 300.0,
];

static RECORDER: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Installs the recorder. Later calls in the same process have no effect.
pub fn install() {
    RECORDER.get_or_init(|| {
        let builder = PrometheusBuilder::new().set_buckets(&TIME_BUCKETS).ok()?;
        builder.install_recorder().ok()
    });
}

/// Interval at which recorded values are moved into the histograms' buckets; until then
/// each takes some bytes.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Bounds the memory that recorded values take between two scrapes; never returns.
pub(crate) async fn keep_up() {
    let mut timer = tokio::time::interval(UPKEEP_INTERVAL);
    loop {
        timer.tick().await;
        if let Some(recorder) = RECORDER.get().and_then(Option::as_ref) {
            recorder.run_upkeep();
        }
    }
}

/// Updates the gauges that are derived from `view` and returns all metrics as
/// Prometheus text.
pub(crate) fn render_with_view(view: &View) -> String {
    set_view_gauges(view, clock::now());
    render()
}

/// Returns all metrics as Prometheus text; empty without a recorder.
pub(crate) fn render() -> String {
    let recorder = RECORDER.get().and_then(Option::as_ref);
    recorder.map(PrometheusHandle::render).unwrap_or_default()
}

fn set_view_gauges(view: &View, now: BootTime) {
    let age = view.confirmed_at.map(|at| now.saturating_sub(at));
    gauge!("bluebell_config_age_seconds").set(age.map_or(f64::INFINITY, |a| a.as_secs_f64()));
    #[expect(clippy::cast_precision_loss, reason = "revisions stay far below 2^52")]
    gauge!("bluebell_config_revision").set(view.snapshot.revision as f64);
    for target in view.targets.values().flatten() {
        let name = target.name.to_string();
        gauge!("bluebell_credits", "target" => name.clone()).set(target.credit.held(now));
        gauge!("bluebell_in_flight", "target" => name).set(target.credit.in_flight());
    }
}
