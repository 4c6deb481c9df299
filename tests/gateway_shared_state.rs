//! Tests that a change that the control thread publishes wakes those who wait for it.

use std::time::Duration;

use bluebelldrift::gateway::{Fleet, SharedState};

#[tokio::test]
async fn change_between_subscribing_and_awaiting_is_not_missed() {
    let shared = SharedState::default();
    let changed = shared.changed();
    // The control thread publishes before the other thread polls the future.
    shared.publish(Fleet::default());
    let notified = tokio::time::timeout(Duration::from_secs(1), changed).await;
    assert!(notified.is_ok());
}
