//! Tests that a task misses no change of the fleet that is published after it
//! subscribed, even if the change precedes the first poll of its future.

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
