//! Planned stops and changed settings of routers on the keyed log.

mod support;

use std::time::{Duration, Instant};

use futures_util::future::join;
use serde_json::json;
use support::routed::{Routed, Size};
use support::{get, sleep_ms, wait_until};

/// A router is told to stop while a stream runs and while new requests come. None is cut, nobody is
/// sent there any more, and the process is gone within its grace time.
#[compio::test]
async fn planned_stop_cuts_nothing() {
    let size = Size {
        routers: 2,
        ..Size::default()
    };
    let mut routed = Routed::start(size).await;
    wait_until("two addresses", || async {
        routed.entry(1).await.len() == 2
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
    assert!(streamed.unwrap().whole);
    let own = routed.caller(0).to_string();
    wait_until("the news", || async {
        !routed.entry(1).await.contains(&own)
    })
    .await;
    wait_until("the end", || {
        let ended = routed.routers[0].exited().is_some();
        async move { ended }
    })
    .await;
    assert!(started.elapsed() < Duration::from_secs(6));
}

/// A settings file is changed, with and without a signal: good changes are taken up, bad ones named
/// and left out, and no signal ends the process.
#[compio::test]
async fn changed_settings_are_taken_up_once_checked() {
    let mut routed = Routed::start(Size::default()).await;
    let path = routed.settings_path(0);
    let mut settings = routed.settings(0);
    settings["fleet"]["retry_share"] = json!(7);
    std::fs::write(&path, settings.to_string()).unwrap();
    routed.routers[0].hang_up();
    wait_until("the refusal", || async {
        routed.log(0).contains("fleet.retry_share")
    })
    .await;
    settings["fleet"]["retry_share"] = json!(0.1);
    std::fs::write(&path, settings.to_string()).unwrap();
    wait_until("the change", || async {
        routed
            .log(0)
            .contains("settings read again, by signal: false")
    })
    .await;
    let (_, received) = routed.call(0, "/get/1", "1").await;
    assert_eq!(received.unwrap().status, 200);
    assert!(routed.routers[0].exited().is_none());
}

/// What an on-call engineer has is the log: the story of one failed request can be told from its id.
#[compio::test]
async fn log_tells_the_story_of_a_failed_request() {
    let routed = Routed::start(Size::default()).await;
    routed
        .upstream_knobs(json!({ "spoil": "cut", "spoilt": 1 }))
        .await;
    let (id, _) = routed.call(0, "/ticket/1", "1").await;
    wait_until("the line", || async { routed.log(0).contains(&id) }).await;
    let work = support::WorkDir::new();
    let log = routed.log_path(0);
    let story = work.ok(&["timeline", "--request", &id, log.to_str().unwrap()]);
    assert!(story.contains("lost: "), "{story}");
    assert!(story.contains("upstream_failed, unknown"), "{story}");
    assert!(story.contains("configuration 3 read"), "{story}");
}
