//! The process-wide metrics recorder and its Prometheus text.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Bounds of histogram buckets for times, in seconds.
const TIME_BUCKETS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.041, 0.1, 0.2, 0.5, 1.0, 1.6, 5.0, 30.0, 300.0,
];

static RECORDER: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Installs the recorder once per process; later calls change nothing.
pub fn install() {
    RECORDER.get_or_init(|| {
        let builder = PrometheusBuilder::new().set_buckets(&TIME_BUCKETS).ok()?;
        builder.install_recorder().ok()
    });
}

/// All metrics as Prometheus text.
pub(crate) fn render() -> String {
    let recorder = RECORDER.get().and_then(Option::as_ref);
    recorder.map(PrometheusHandle::render).unwrap_or_default()
}
