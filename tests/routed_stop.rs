//! Planned stops and changed settings of routers on the keyed log.

mod support;

use std::time::{Duration, Instant};

use futures_util::future::join;
use serde_json::json;
use support::routed::{FleetSize, RoutedFleet};
use support::{get, sleep_ms, wait_until};

/// A router is stopped while a stream runs and new requests arrive. No answer is cut, no entry
/// answer names the router any more, and the process exits within its grace period.
#[compio::test]
async fn planned_stop_cuts_nothing() {
    let size = FleetSize {
        routers: 2,
        ..FleetSize::default()
    };
    let mut routed = RoutedFleet::start(size).await;
    wait_until("two addresses", || async {
        routed.entry_addresses(1).await.len() == 2
    })
    .await;
    routed.upstream_knobs(json!({ "delay_ms": 40 })).await;
    let started = Instant::now();
    let stream = routed.call(0, "/once/stream", "40");
    let stop = async {
        sleep_ms(200).await;
        routed.routers[0].terminate();
        sleep_ms(100).await;
        assert!(get(routed.ready(0), "/readyz").await.is_none());
        let (_, received) = routed.call(0, "/ticket/1", "1").await;
        let received = received.unwrap();
        assert_eq!(received.status, 200);
        assert_eq!(received.header("connection"), "close");
    };
    let ((_, streamed), ()) = join(stream, stop).await;
    assert!(streamed.unwrap().complete);
    let own = routed.caller(0).to_string();
    wait_until("entry answers without router 0", || async {
        !routed.entry_addresses(1).await.contains(&own)
    })
    .await;
    wait_until("the router's exit", || {
        let ended = routed.routers[0].exited().is_some();
        async move { ended }
    })
    .await;
    assert!(started.elapsed() < Duration::from_secs(6));
}

/// A settings file is changed, with and without a signal: valid changes are applied, invalid ones
/// are logged and ignored, and no signal ends the process.
#[compio::test]
async fn valid_settings_changes_are_applied() {
    let mut routed = RoutedFleet::start(FleetSize::default()).await;
    let path = routed.settings_path(0);
    let mut settings = routed.settings(0);
    settings["fleet"]["retry_share"] = json!(7);
    std::fs::write(&path, settings.to_string()).unwrap();
    routed.routers[0].signal_reload();
    wait_until("the refused settings", || async {
        routed.log(0).contains("fleet.retry_share")
    })
    .await;
    settings["fleet"]["retry_share"] = json!(0.1);
    std::fs::write(&path, settings.to_string()).unwrap();
    wait_until("the applied settings", || async {
        routed
            .log(0)
            .contains("settings read again, by signal: false")
    })
    .await;
    let (_, received) = routed.call(0, "/get/1", "1").await;
    assert_eq!(received.unwrap().status, 200);
    assert!(routed.routers[0].exited().is_none());
}

/// The router's log and the request id are enough to follow the steps of one failed request.
#[compio::test]
async fn log_shows_the_steps_of_a_failed_request() {
    let routed = RoutedFleet::start(FleetSize::default()).await;
    routed
        .upstream_knobs(json!({ "spoil": "cut", "spoilt": 1 }))
        .await;
    let (id, _) = routed.call(0, "/ticket/1", "1").await;
    wait_until("the log line", || async { routed.log(0).contains(&id) }).await;
    let work = support::WorkDir::new();
    let log = routed.log_path(0);
    let steps = work.ok(&["timeline", "--request", &id, log.to_str().unwrap()]);
    assert!(steps.contains("lost: "), "{steps}");
    assert!(steps.contains("upstream_failed, unknown"), "{steps}");
    assert!(steps.contains("configuration 3 at 1/1 read"), "{steps}");
}
