//! A request that crashes each engine that runs it, over separate processes.

mod support;

use std::time::Duration;

use cassiagrade::schema::config::change::Op;
use serde_json::json;
use support::{ACCOUNT_KEY, Fleet, Shape, account, call, chat_body, set_knobs, wait_until};

const SHAPE: Shape = Shape {
    routers: 3,
    engines: 4,
    plains: 0,
};
const CHAT: &str = "/v1/chat/completions";
/// Less than a router's timeout for publishing an update to a peer.
const FREEZE_TIME: Duration = Duration::from_millis(500);

/// One request crashes its engine. The fleet retries it once, at another engine, which crashes too;
/// then the caller is refused. Sent again through each router, the request must not crash the two
/// engines that are left.
#[compio::test]
async fn crashing_request_takes_two_engines_at_most() {
    let fleet = Fleet::start(SHAPE).await;
    for engine in &fleet.engines {
        set_knobs(engine.addr, &json!({ "crash_marker": "poison" })).await;
    }
    let poison = chat_body("bad", "poison", 8);
    let first = call(fleet.caller(0), "POST", CHAT, &[], &poison).await;
    let first = first.expect("no answer");
    assert_eq!(first.status, 422, "{}", first.body);
    assert!(first.body.contains("\"quarantined\""), "{}", first.body);
    assert!(
        !first.not_run(),
        "the request ran but was refused as not run"
    );
    for router in 0..3 {
        // While the suspicion is still being published, a router that knows it answers "not run".
        wait_until("the quarantine to be published", || async {
            let again = call(fleet.caller(router), "POST", CHAT, &[], &poison).await;
            again.is_some_and(|a| a.status == 422 && a.not_run())
        })
        .await;
    }
    let mut answered = 0;
    for i in 0..6 {
        let body = chat_body(&format!("good-{i}"), "a brake squeals", 4);
        let good = call(fleet.caller(i % 3), "POST", CHAT, &[], &body).await;
        answered += u32::from(good.is_some_and(|a| a.status == 200));
    }
    let events = fleet.events();
    assert_eq!(answered, 6, "other requests failed; events: {events:#?}");
}

/// A caller's request has crashed two engines, and the caller sends it again at once through
/// another router that was frozen meanwhile. The caller is refused as quarantined only after that
/// router knows of the quarantine: earlier, the resend would crash the next two engines.
#[compio::test]
async fn quarantine_is_published_before_the_caller_is_refused() {
    let shape = Shape {
        engines: 2,
        ..SHAPE
    };
    // The homes of engines 0 and 1 are in the data centres of routers 0 and 1.
    let fleet = Fleet::start(shape).await;
    for engine in &fleet.engines {
        set_knobs(engine.addr, &json!({ "crash_marker": "poison" })).await;
    }
    let poison = chat_body("bad", "poison", 8);
    fleet.routers[2].freeze();
    let mut first = Box::pin(call(fleet.caller(0), "POST", CHAT, &[], &poison));
    let early = compio::time::timeout(FREEZE_TIME, &mut first).await;
    fleet.routers[2].unfreeze();
    assert!(early.is_err(), "refused before router 2 knew: {early:?}");
    let first = first.await.expect("no answer");
    assert_eq!(first.status, 422, "{}", first.body);
    let again = call(fleet.caller(2), "POST", CHAT, &[], &poison).await;
    let again = again.expect("no answer");
    assert!(again.status == 422 && again.not_run(), "{}", again.body);
}

/// An account limited to two requests a second in the whole fleet sends thirty. A few are served;
/// the rest are refused at once, as not run, with a retry time.
#[compio::test]
async fn account_over_its_rate_gets_a_retry_time() {
    let fleet = Fleet::start(SHAPE).await;
    let mut acme = account("acme", ACCOUNT_KEY);
    acme.rate_per_s = 2.0;
    let version = fleet.accept(Op::PutAccount(acme)).await.version;
    for router in 0..3 {
        fleet.wait_version(router, version).await;
    }
    let (mut served, mut refused) = (0, 0);
    for i in 0..30 {
        let body = chat_body(&format!("chat-{i}"), "a label", 1);
        let answer = call(fleet.caller(i % 3), "POST", CHAT, &[], &body).await;
        let answer = answer.expect("no answer");
        if answer.status == 200 {
            served += 1;
            continue;
        }
        assert_eq!(answer.status, 429, "{}", answer.body);
        assert!(answer.not_run());
        assert!(!answer.header("retry-after").is_empty());
        refused += 1;
    }
    assert!(
        served >= 1 && refused >= 10,
        "{served} served, {refused} refused"
    );
}
