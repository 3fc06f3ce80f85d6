//! What operators see of a router: metrics, health, readiness and log lines.

mod support;

use serde_json::Value;
use support::{Fleet, Shape, WorkDir, call, chat_body, get, wait_until};

const SHAPE: Shape = Shape {
    routers: 2,
    engines: 2,
    plains: 1,
};

const CHAT: &str = "/v1/chat/completions";

/// Sums a metric's samples whose lines have this prefix, over all routers.
async fn sum_samples(fleet: &Fleet, prefix: &str) -> f64 {
    let mut sum = 0.0;
    for i in 0..SHAPE.routers {
        let page = get(fleet.admin(i), "/metrics").await.unwrap();
        let lines = page.lines().filter(|l| l.starts_with(prefix));
        let values = lines.filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok());
        sum += values.sum::<f64>();
    }
    sum
}

#[compio::test]
async fn requests_are_counted_by_outcome_and_service() {
    let fleet = Fleet::start(SHAPE).await;
    for i in 0..8_u8 {
        let body = chat_body(&format!("chat-{i}"), "how tight is the chain?", 3);
        let answer = call(fleet.caller(i % 2), "POST", CHAT, &[], &body)
            .await
            .unwrap();
        assert!(answer.complete);
    }
    let ticket = call(fleet.caller(0), "POST", "/records/tickets", &[], "7")
        .await
        .unwrap();
    assert_eq!(ticket.status, 200);
    call(fleet.caller(0), "POST", CHAT, &[], "{").await.unwrap();
    let requests = |service: &str, outcome: &str| {
        format!("cassiagrade_requests_total{{outcome=\"{outcome}\",service=\"{service}\"}}")
    };
    let draft = requests("draft", "answered");
    // The counter is updated after the last byte is sent.
    wait_until("the request counter", || async {
        sum_samples(&fleet, &draft).await == 8.0
    })
    .await;
    let records = requests("records", "answered");
    wait_until("the request counter", || async {
        sum_samples(&fleet, &records).await == 1.0
    })
    .await;
    assert_eq!(sum_samples(&fleet, &requests("none", "refused")).await, 1.0);
    assert_eq!(
        sum_samples(&fleet, "cassiagrade_refusals_total{cause=\"bad_request\"}").await,
        1.0
    );
    assert_eq!(
        sum_samples(&fleet, "cassiagrade_queue_wait_ms_count").await,
        9.0
    );
    assert_eq!(
        sum_samples(&fleet, "cassiagrade_first_byte_ms_count{service=\"draft\"}").await,
        8.0
    );
    assert_eq!(
        sum_samples(&fleet, "cassiagrade_requests_in_flight").await,
        0.0
    );
    assert!(sum_samples(&fleet, "cassiagrade_hops_total").await > 0.0);
    assert!(sum_samples(&fleet, "cassiagrade_prompt_tokens_total{cached=\"no\"}").await > 0.0);
    assert!(sum_samples(&fleet, "cassiagrade_log_append_ms_count").await > 0.0);
    assert!(
        sum_samples(
            &fleet,
            "cassiagrade_control_bytes_total{kind=\"ack\",way=\"sent\"}"
        )
        .await
            > 0.0
    );
    // Routers that start request all members from a peer, and that reply counts too.
    let members =
        |way: &str| format!("cassiagrade_control_bytes_total{{kind=\"members\",way=\"{way}\"}}");
    for way in ["sent", "received"] {
        assert!(sum_samples(&fleet, &members(way)).await > 0.0, "{way}");
    }
    let page = get(fleet.admin(0), "/metrics").await.unwrap();
    assert!(
        page.contains("# HELP cassiagrade_requests_total "),
        "{page}"
    );
}

/// A router that has never read a configuration would refuse every caller: it reports that it is
/// not ready, and why, though it is healthy.
#[compio::test]
async fn readiness_reports_the_reason() {
    let work = WorkDir::new();
    let mut listeners = Vec::new();
    for _ in 0..4 {
        listeners.push(std::net::TcpListener::bind("127.0.0.1:0").unwrap());
    }
    let addrs: Vec<_> = listeners.iter().map(|l| l.local_addr().unwrap()).collect();
    drop(listeners);
    let settings = format!(
        r#"{{
            "host": {{ "name": "a1", "data_center": "north" }},
            "listen": {{
                "caller_addr": "{}", "peer_addr": "{}", "operator_addr": "{}", "admin_addr": "{}"
            }},
            "platform": {{ "addr": "127.0.0.1:1", "log_poll_ms": 20 }},
            "fleet": {{ "key": "0123456789abcdef" }},
            "operator": {{ "key": "fedcba9876543210" }}
        }}"#,
        addrs[0], addrs[1], addrs[2], addrs[3]
    );
    work.file("a1.jsonc", &settings);
    let mut router = work.spawn(&["router", "--settings", "a1.jsonc"], addrs[0]);
    wait_until("health", || async {
        get(addrs[3], "/healthz").await.is_some()
    })
    .await;
    let client = cyper::Client::new().unwrap();
    let url = format!("http://{}/readyz", addrs[3]);
    let response = client.get(url).unwrap().send().await.unwrap();
    assert_eq!(response.status().as_u16(), 503);
    let text = response.text().await.unwrap();
    assert!(text.starts_with("no configuration yet"), "{text}");
    assert!(get(addrs[3], "/nowhere").await.is_none());
    let log = work.path("cassiagrade.out");
    let read = || std::fs::read_to_string(&log).unwrap();
    wait_until("a log line", || async { read().contains("can't be read") }).await;
    router.kill();
    for line in read().lines() {
        let line: Value = serde_json::from_str(line).unwrap();
        assert_eq!(line["host"], "a1");
        assert_eq!(line["data_center"], "north");
    }
}
