//! Requests that are bound to regions, at routers that delegate them to others.

mod support;

use cassiagrade::decide::quarantine;
use cassiagrade::fleet::homes;
use cassiagrade::fleet::member::{Member, MemberState, View};
use serde_json::{Value, json};
use support::routed::{FleetSize, KEY, RoutedFleet, route};
use support::{post, set_knobs, sleep_ms, wait_until};
use test_case::test_case;

/// Time for which the upstream refuses new connections.
const CUT_MS: u64 = 3_000;
/// Time within which routers hear of each other's loads.
const REPORTS_MS: u64 = 600;
/// Time within which routers that are not disturbed know what others observed.
const CONTACT_MS: u64 = 3_000;
/// Body prefix of a request that crashes upstreams.
const HARMFUL: &str = "12 poison";

/// What binds the requests to a region.
#[derive(Clone, Copy)]
enum BoundBy {
    Route,
    Account,
    /// The route allows two regions, of which the account allows one.
    Both,
}

impl BoundBy {
    /// A configuration whose requests may only go to `east`.
    fn config(self) -> Value {
        let (routes, accounts) = match self {
            Self::Route => (Some(json!(["east"])), None),
            Self::Account => (None, Some(json!(["east"]))),
            Self::Both => (Some(json!(["east", "west"])), Some(json!(["east"]))),
        };
        let bound = routes.map_or(json!({}), |regions| json!({ "allowed_regions": regions }));
        let mut account = json!({ "name": "workshop", "api_keys": [KEY], "priority": 1 });
        if let Some(regions) = accounts {
            account["allowed_regions"] = regions;
        }
        let routes = [
            route("get", "idempotent", bound.clone()),
            route("ticket", "non_idempotent", bound),
        ];
        json!({ "routes": routes, "tenants": [account] })
    }
}

/// Starts routers in the regions of `size` and has the requests bound to `east`.
async fn start_bound(size: FleetSize, bound_by: BoundBy) -> RoutedFleet {
    let mut routed = RoutedFleet::start(size).await;
    let version = routed.configure(bound_by.config()).await;
    wait_for_config(&routed, version).await;
    routed
}

/// Waits until all routers have applied `version`.
async fn wait_for_config(routed: &RoutedFleet, version: u64) {
    for i in 0..u8::try_from(routed.routers.len()).unwrap() {
        wait_until("the configuration", || async {
            let line = format!("configuration {version} in force");
            routed.log(i).contains(&line)
        })
        .await;
    }
}

/// A fleet of which router 0 reaches no upstream and each of `connected` does.
async fn start_cut_off(size: FleetSize, bound_by: BoundBy, connected: &[u8]) -> RoutedFleet {
    let routed = start_bound(size, bound_by).await;
    sleep_ms(REPORTS_MS).await;
    for router in connected {
        let (_, received) = routed.call(*router, "/get/1", "1").await;
        assert_eq!(received.map(|r| r.status), Some(200));
    }
    let knobs = json!({ "refuses_connections_ms": CUT_MS });
    set_knobs(routed.upstreams[0].addr, &knobs).await;
    sleep_ms(REPORTS_MS).await;
    routed
}

/// A router that reached no upstream handed requests to any router that did, bodies included, also outside
/// the regions to which the operator bound them.
#[test_case(BoundBy::Route; "bound by route")]
#[test_case(BoundBy::Account; "bound by account")]
#[test_case(BoundBy::Both; "bound by both")]
#[compio::test]
async fn cut_off_router_delegates_inside_the_allowed_regions(bound_by: BoundBy) {
    let size = FleetSize {
        routers: 3,
        upstreams: 1,
        data_center_regions: "dc-0=east,dc-1=east,dc-2=west",
        ..FleetSize::default()
    };
    let routed = start_cut_off(size, bound_by, &[1, 2]).await;
    for _ in 0..12 {
        let (id, received) = routed.call(0, "/get/1", "3").await;
        let received = received.expect("no answer");
        assert_eq!(received.status, 200, "{}", received.body);
        assert_eq!(routed.runs_of(&id), 1);
    }
    let log = routed.log_until_now(0).await;
    assert!(log.contains("delegated to router-1"));
    assert!(!log.contains("delegated to router-2"), "{log}");
}

/// Only a router outside the allowed regions reached the upstream, and got the request. It must be refused
/// at once, as not run.
#[test_case("/get/1", BoundBy::Route; "may be repeated")]
#[test_case("/ticket/1", BoundBy::Route; "runs once")]
#[test_case("/get/1", BoundBy::Account; "bound by account")]
#[test_case("/get/1", BoundBy::Both; "bound by both")]
#[compio::test]
async fn request_that_no_allowed_router_can_send_is_refused(path: &str, bound_by: BoundBy) {
    let size = FleetSize {
        routers: 2,
        upstreams: 1,
        data_center_regions: "dc-0=east,dc-1=west",
        ..FleetSize::default()
    };
    let routed = start_cut_off(size, bound_by, &[1]).await;
    for _ in 0..3 {
        let (id, received) = routed.call(0, path, "3").await;
        let received = received.expect("no answer");
        assert!(received.status == 503 && received.not_run(), "{received:?}");
        assert_eq!(routed.runs_of(&id), 0);
    }
    assert!(!routed.log_until_now(0).await.contains("delegated to"));
}

/// Upstreams have crashed three times under a request whose runs take place at router 1 among all. Returns
/// its body, once all routers know of that and the other upstreams do no harm.
async fn suspect(routed: &RoutedFleet) -> String {
    let hosts: Vec<String> = (0..routed.routers.len())
        .map(|i| format!("router-{i}"))
        .collect();
    let runs_at_router_1 = |body: &String| {
        let fingerprint = quarantine::fingerprint("workshop", "/get/1", body.as_bytes());
        first_host(&hosts, &fingerprint.to_string()) == "router-1"
    };
    let mut bodies = (0..).map(|n| format!("{HARMFUL} {n}"));
    let body = bodies.find(runs_at_router_1).unwrap();

    routed
        .upstream_knobs(json!({ "crash_marker": "poison" }))
        .await;
    routed.call(0, "/get/1", &body).await;
    wait_until("three deaths at all routers", || async {
        let mut routers = 0..u8::try_from(hosts.len()).unwrap();
        routers.all(|i| routed.log(i).contains("\"deaths\":3"))
    })
    .await;
    for upstream in &routed.upstreams {
        // Three of them have ended.
        post(upstream.addr, "/knobs", "{}").await;
    }
    sleep_ms(CONTACT_MS).await;
    body
}

/// The one of `hosts` that comes first for `id`, wherever it is.
fn first_host(hosts: &[String], id: &str) -> String {
    let members = hosts.iter().map(|host| Member {
        host: host.as_str().into(),
        data_center: "".into(),
        incarnation: 1,
        state: MemberState::Alive,
        peer_addr: "".into(),
        caller_addr: "".into(),
    });
    let view = View {
        members: members.collect(),
        ..View::default()
    };
    let first = homes::home(&view, id, "-").unwrap();
    first.host.to_string()
}

/// The runs of a suspected request took place at one router of the whole fleet, wherever that was. They must
/// take place at one in the allowed regions.
#[compio::test]
async fn suspected_request_runs_at_a_router_in_its_allowed_regions() {
    let size = FleetSize {
        routers: 2,
        upstreams: 10,
        data_center_regions: "dc-0=east,dc-1=west,dc-2=west",
        ..FleetSize::default()
    };
    let routed = start_bound(size, BoundBy::Route).await;
    let body = suspect(&routed).await;
    for i in 0..2 {
        let (id, received) = routed.call(i, "/get/1", &body).await;
        assert_eq!(received.map(|r| r.status), Some(200), "router {i}");
        assert_eq!(routed.runs_of(&id), 1);
    }
    let trials = "runs of this suspected request take place there";
    let (log, other) = (routed.log_until_now(0).await, routed.log_until_now(1).await);
    assert!(!log.contains(trials), "{log}");
    assert!(other.contains(&format!("delegated to router-0: {trials}")));
}

/// No router was in the regions to which a suspected request is bound. Each of them may not run it on its
/// own, and none may hand it over.
#[compio::test]
async fn suspected_request_without_an_allowed_router_runs_at_one_only() {
    let size = FleetSize {
        routers: 2,
        upstreams: 12,
        data_center_regions: "dc-0=west,dc-1=west,dc-2=east",
        ..FleetSize::default()
    };
    let routed = start_bound(size, BoundBy::Route).await;
    let body = suspect(&routed).await;
    let (id, received) = routed.call(0, "/get/1", &body).await;
    let received = received.expect("no answer");
    assert!(received.status == 503 && received.not_run(), "{received:?}");
    assert_eq!(routed.runs_of(&id), 0);
    let (id, received) = routed.call(1, "/get/1", &body).await;
    assert_eq!(received.map(|r| r.status), Some(200));
    assert_eq!(routed.runs_of(&id), 1);
    for i in 0..2 {
        assert!(!routed.log_until_now(i).await.contains("delegated to"));
    }
}

/// The home of a brittle upstream whose data centre has no router may be anywhere, and got requests that
/// may not leave their regions.
#[compio::test]
async fn request_is_not_sent_to_the_home_of_a_brittle_upstream_outside_its_regions() {
    let size = FleetSize {
        routers: 0,
        upstreams: 0,
        data_center_regions: "dc-0=east,dc-1=west,dc-2=east",
        ..FleetSize::default()
    };
    let mut routed = RoutedFleet::start(size).await;
    let hosts = ["router-0".to_owned(), "router-1".to_owned()];
    for (i, home) in [2, 5].into_iter().zip(&hosts) {
        let mut ids = (0..).map(|n| format!("i-{n}"));
        let id = ids.find(|id| first_host(&hosts, id) == *home).unwrap();
        routed.spawn_upstream_as(i, &id);
    }
    for i in 0..2 {
        routed.spawn_router(i);
    }
    for i in 0..2 {
        routed.wait_ready(i).await;
    }
    routed.upstream_knobs(json!({ "brittle": "4" })).await;
    let handed_over = "delegated to router-1: the home of brittle upstream";
    wait_until("a request that goes to a home", || async {
        routed.call(0, "/get/1", "1").await;
        routed.log(0).contains(handed_over)
    })
    .await;

    let version = routed.configure(BoundBy::Route.config()).await;
    wait_for_config(&routed, version).await;
    let before = routed.log_until_now(0).await.len();
    let mut served = 0;
    for _ in 0..40 {
        let (_, received) = routed.call(0, "/get/1", "1").await;
        served += usize::from(received.is_some_and(|r| r.status == 200));
        // A home that has just become one lets few through.
        sleep_ms(50).await;
    }
    assert!(served > 0);
    let log = routed.log_until_now(0).await;
    assert!(
        !log[before..].contains("delegated to"),
        "{}",
        &log[before..]
    );
}
