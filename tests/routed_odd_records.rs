//! Odd records in the streams that routers read, left there by another writer.

mod support;

use cassiagrade::schema::peer::{
    FleetSummary, Member, StreamOrigin, Suspicion, UpstreamDeath, VersionListing,
};
use serde::Serialize;
use serde_json::{Value, json};
use support::routed::{FleetSize, RoutedFleet, SERVICE, round_path, route};
use support::{set_knobs, sleep_ms, wall_ms};
use test_case::test_case;

const ROUTERS: u8 = 3;
/// Time within which a change that the store acknowledged must be in force.
const BOUND_MS: u64 = 2_000;
/// Time for the routers to read what was written: each reads some streams only now and then.
const READ_MS: u64 = 3_000;

/// Bytes of a real record up to which it is cut off at each.
const MAX_CUT: usize = 200;

/// A record of another writer.
type Odd = (Vec<u8>, Vec<u8>);

fn encoded<T: Serialize>(value: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(value, bincode::config::standard()).unwrap()
}

/// A length of 2^63 as it is encoded in records.
const HUGE_LENGTH: [u8; 9] = [253, 0, 0, 0, 0, 0, 0, 0, 128];

/// Values that are no record of any stream.
fn odd_values() -> Vec<Vec<u8>> {
    let nested = |levels: usize| "[".repeat(levels) + &"]".repeat(levels);
    let mut values = vec![
        nested(200_000).into_bytes(),
        nested(120).into_bytes(),
        format!("{{\"version\":{}}}", nested(200_000)).into_bytes(),
        b"{\"version\":1e400}".to_vec(),
        b"{\"version\":18446744073709551616,\"routes\":[]}".to_vec(),
        b"{\"version\":-1}".to_vec(),
        b"null".to_vec(),
        b"\"".to_vec(),
        vec![0],
        vec![0xff; 255],
        vec![0; 200_000],
        vec![b'9'; 200_000],
    ];
    for before in [vec![], vec![0], vec![1], vec![255; 9], vec![0; 16]] {
        values.push([before, HUGE_LENGTH.to_vec()].concat());
    }
    values
}

/// Keys under which odd values are written.
fn odd_keys() -> Vec<Vec<u8>> {
    vec![
        b"odd".to_vec(),
        vec![0xff, 0xfe, 0x80],
        vec![b'k'; 255],
        b"evacuate/".to_vec(),
        b"router-9".to_vec(),
    ]
}

/// All odd values, and what remains of each of `real` when it is cut off, under keys of their own; and
/// thousands of small ones.
fn odd_records(real: &[Vec<u8>]) -> Vec<Odd> {
    let mut values = odd_values();
    for value in real {
        values.extend((1..value.len()).map(|len| value[..len].to_vec()));
    }
    let mut records: Vec<Odd> = Vec::new();
    for (n, value) in values.into_iter().enumerate() {
        let key = [format!("odd-{n:04}-").into_bytes(), vec![0xff]].concat();
        records.push((key, value));
    }
    for key in odd_keys() {
        records.push((key, vec![0xff; 9]));
    }
    let small = (0..3_000_u32).map(|n| (format!("small-{n:05}").into_bytes(), vec![n as u8; 9]));
    records.extend(small);
    records
}

/// Writes in parts, as the store takes no more at once.
async fn write(routed: &RoutedFleet, stream: &str, records: &[Odd]) {
    for part in records.chunks(100) {
        routed.write_raw_records(stream, part).await;
    }
}

async fn start() -> RoutedFleet {
    let size = FleetSize {
        routers: ROUTERS,
        ..FleetSize::default()
    };
    RoutedFleet::start(size).await
}

/// Asserts that all routers run and serve, and have a later change in force in time; then the same after a
/// restart of all.
async fn assert_unharmed(routed: &mut RoutedFleet, round: usize) {
    sleep_ms(READ_MS).await;
    assert_follows(routed, round).await;
    for router in &mut routed.routers {
        router.kill();
    }
    for i in 0..ROUTERS {
        routed.spawn_router(i);
    }
    for i in 0..ROUTERS {
        routed.wait_status(i, "/get/1", 200).await;
    }
    assert_follows(routed, round + 1).await;
    sleep_ms(READ_MS).await;
    assert_run(routed);
}

fn assert_run(routed: &mut RoutedFleet) {
    for i in 0..ROUTERS {
        let ended = routed.routers[usize::from(i)].exited();
        assert!(ended.is_none(), "router {i} ended: {}", tail(routed, i));
    }
}

fn tail(routed: &RoutedFleet, i: u8) -> String {
    let log = routed.log(i);
    let lines: Vec<String> = log.lines().map(|l| l.chars().take(300).collect()).collect();
    lines[lines.len().saturating_sub(10)..].join("\n")
}

async fn assert_follows(routed: &mut RoutedFleet, round: usize) {
    assert_run(routed);
    let acked_ms = routed.write_version(round).await;
    sleep_ms((acked_ms + BOUND_MS).saturating_sub(wall_ms())).await;
    assert_run(routed);
    for i in 0..ROUTERS {
        let (_, received) = routed.call(i, &round_path(round), "1").await;
        let received = received.expect("no answer");
        assert_eq!(
            received.status,
            200,
            "router {i}: {received:?}\n{}",
            tail(routed, i)
        );
    }
    // The upstreams' entries are followed, too.
    let upstream = routed.upstreams[0].addr;
    for (draining, state) in [(true, "draining"), (false, "ready")] {
        set_knobs(upstream, &json!({ "draining": draining })).await;
        routed.wait_entry(0, state).await;
    }
    for i in 0..ROUTERS {
        let (_, received) = routed.call(i, "/get/1", "1").await;
        let received = received.expect("no answer");
        assert_eq!(received.status, 200, "router {i}: {received:?}");
    }
}

fn members() -> Vec<Odd> {
    let member = |host: &str, peer_addr: &str| Member {
        host: host.to_owned(),
        data_center: "dc-0".to_owned(),
        incarnation: u64::MAX,
        state: "no such state".to_owned(),
        peer_addr: peer_addr.to_owned(),
        caller_addr: peer_addr.to_owned(),
    };
    let long = "h".repeat(100_000);
    let all = [
        member("", ""),
        member("odd-0", "127.0.0.1:0"),
        member("odd-1", "127.0.0.1:70000"),
        member("odd-2", "no address"),
        member("odd-3", "[::"),
        member("odd-4", &long),
        member(&long, "127.0.0.1:1"),
        member("odd\n\0", "127.0.0.1:1"),
        // Its own name at another address.
        member("router-1", "127.0.0.1:1"),
    ];
    let key = |n: usize| format!("member-{n}").into_bytes();
    let all = all.iter().enumerate();
    all.map(|(n, member)| (key(n), encoded(member))).collect()
}

fn suspicions() -> Vec<Odd> {
    let mut records = Vec::new();
    for written_ms in [0, 1, wall_ms(), wall_ms() * 2, u64::MAX] {
        for age_ms in [0, 1, u64::MAX] {
            let deaths = (0..2_000).map(|upstream_digest| UpstreamDeath {
                upstream_digest,
                age_ms,
            });
            let suspicion = Suspicion {
                fingerprint: age_ms,
                deaths: deaths.collect(),
                convicted_age_ms: Some(age_ms),
                answered_age_ms: Some(u64::MAX - age_ms),
            };
            let key = format!("{written_ms:016x}{age_ms:016x}").into_bytes();
            records.push((key, encoded(&(written_ms, suspicion))));
        }
    }
    records
}

fn summaries() -> Vec<Vec<u8>> {
    let member = |n: u32| Member {
        host: format!("gone-{n}"),
        peer_addr: "127.0.0.1:70000".to_owned(),
        ..Member::default()
    };
    let summary = |routers, sample| {
        encoded(&FleetSummary {
            routers,
            sample: (0..sample).map(member).collect(),
        })
    };
    vec![
        summary(u32::MAX, 0),
        summary(u32::MAX, 100),
        summary(0, 1_000),
        vec![0xff; 255],
    ]
}

fn versions() -> Vec<Odd> {
    let mut records = Vec::new();
    for written_ms in [0, wall_ms(), wall_ms() * 2, u64::MAX] {
        for age_ms in [0, u64::MAX] {
            let listing = |n: u32| VersionListing {
                service: SERVICE.to_owned(),
                software: (n > 0).then(|| format!("v{n}")),
                age_ms,
                stored_age_ms: (!n.is_multiple_of(3)).then_some(age_ms),
            };
            for n in 0..1_000 {
                let key = format!("{written_ms:016x}{age_ms:016x}{n:04}").into_bytes();
                records.push((key, encoded(&(written_ms, n % 2 == 0, listing(n)))));
            }
        }
    }
    records
}

fn origins() -> Vec<Odd> {
    let mut records = Vec::new();
    for written_ms in [0, wall_ms(), wall_ms() * 2, u64::MAX] {
        let origin = |n: u64| StreamOrigin {
            service: SERVICE.to_owned(),
            software: Some(format!("v{n}")),
        };
        let streams = (0..1_000).map(|n| (origin(n), vec![n, u64::MAX]));
        let streams: Vec<(StreamOrigin, Vec<u64>)> = streams.collect();
        let key = format!("{written_ms:016x}").into_bytes();
        records.push((key, encoded(&(written_ms, streams))));
    }
    records
}

/// Guards against routers that end, or stop following the store, because of one odd record among those
/// that they keep there.
#[test_case("keyed.routers", members(); "routers")]
#[test_case("keyed.suspicions", suspicions(); "suspicions")]
#[test_case("keyed.versions", versions(); "versions")]
#[test_case("keyed.origins", origins(); "origins")]
#[compio::test]
async fn odd_records_of_routers_do_no_harm(stream: &str, well_formed: Vec<Odd>) {
    let mut routed = start().await;
    let mut real = well_formed[0].1.clone();
    real.truncate(MAX_CUT);
    write(&routed, stream, &well_formed).await;
    write(&routed, stream, &odd_records(&[real])).await;
    assert_unharmed(&mut routed, 1).await;
}

/// Guards against routers that take the size of their fleet from an odd summary, and wait for others that
/// don't exist.
#[compio::test]
async fn odd_summaries_of_the_fleet_do_no_harm() {
    let mut routed = start().await;
    for (n, summary) in summaries().iter().enumerate() {
        routed
            .write_kept_record("keyed.fleet", "summary", summary)
            .await;
        assert_unharmed(&mut routed, 1 + 2 * n).await;
    }
}

/// Guards against routers that end, or stop following the store, because of one odd record of an operator.
#[compio::test]
async fn odd_records_of_operators_do_no_harm() {
    let mut routed = start().await;
    let real = support::routed::config(1, &json!({})).to_string();
    write(&routed, "keyed.op", &odd_records(&[real.into_bytes()])).await;
    for value in odd_values() {
        routed
            .write_raw_records("keyed.op", &[("config", value)])
            .await;
    }
    assert_unharmed(&mut routed, 1).await;
}

/// A configuration of the largest numbers that its fields take, which still lets requests through.
fn largest_numbers() -> Value {
    const COUNT: u64 = u32::MAX as u64;
    let more = json!({
        "timeout_ms": 1e300, "target_latency_ms": 1e300, "target_gap_ms": 1e300, "priority": COUNT,
        "max_attempts": COUNT,
    });
    let split = json!({ "traffic_split": [
        { "service": SERVICE, "weight": 1e308 }, { "service": SERVICE, "weight": 1e308 },
        { "service": SERVICE, "weight": -1.0 },
    ]});
    let routes = [
        route("get", "idempotent", more.clone()),
        route("ticket", "non_idempotent", more.clone()),
        route("resumed", "streaming", more),
        route("split", "idempotent", split),
    ];
    json!({
        "routes": routes,
        "services": [{ "name": SERVICE, "max_connections": COUNT, "cold_per_s": 1e300 }],
        "limits": {
            "max_header_bytes": COUNT, "max_body_bytes": COUNT,
            "header_timeout_ms": 1e300, "idle_timeout_ms": 1e300,
        },
    })
}

/// Guards against sums of a configuration's numbers that overflow, which ends a router.
#[compio::test]
async fn largest_numbers_of_a_configuration_do_no_harm() {
    let mut routed = start().await;
    routed.configure(largest_numbers()).await;
    for i in 0..ROUTERS {
        routed.wait_status(i, "/split/1", 200).await;
        for path in ["/get/1", "/ticket/1", "/resumed/stream"] {
            let (_, received) = routed.call(i, path, "1").await;
            let received = received.unwrap_or_else(|| panic!("{path}: {}", tail(&routed, i)));
            assert_eq!(received.status, 200, "{path}: {received:?}");
        }
    }
    assert_unharmed(&mut routed, 1).await;
}

/// Entries of upstreams at an address where nothing listens: of the service that is called no more than a
/// request tries, and else of another.
fn entries() -> Vec<Odd> {
    let entry = |n: usize, change: Value| {
        let mut entry = json!({
            "service": "other", "address": "127.0.0.1:1", "zone": "dc-0", "version": "v1",
            "slots": 64, "state": "ready", "born": 1, "cold_remaining_ms": 0,
        });
        for (field, value) in change.as_object().unwrap() {
            entry[field] = value.clone();
        }
        (
            format!("odd-{n}").into_bytes(),
            entry.to_string().into_bytes(),
        )
    };
    let changes = [
        json!({ "slots": u32::MAX, "service": SERVICE }),
        json!({ "slots": u32::MAX, "service": SERVICE, "zone": "dc-1" }),
        json!({ "slots": u32::MAX, "service": SERVICE, "zone": "dc-2", "state": "draining" }),
        json!({ "slots": 1e300 }),
        json!({ "slots": -1 }),
        json!({ "born": u64::MAX }),
        json!({ "born": 0 }),
        json!({ "cold_remaining_ms": 1e300, "service": SERVICE }),
        json!({ "cold_remaining_ms": -1e300 }),
        json!({ "address": "127.0.0.1:70000" }),
        json!({ "address": "127.0.0.1:0" }),
        json!({ "version": [[[1e300]]] }),
        json!({ "zone": "z".repeat(100_000) }),
    ];
    let changes = changes.into_iter().enumerate();
    changes.map(|(n, change)| entry(n, change)).collect()
}

/// Guards against sums over the entries of upstreams that overflow, which ends a router; and against
/// numbers of one that are still counted when it is gone.
#[compio::test]
async fn largest_numbers_of_entries_do_no_harm() {
    let mut routed = start().await;
    let mut records = odd_records(&[entries()[0].1.clone()]);
    records.extend(entries());
    write(&routed, "keyed.servers", &records).await;
    let calls = (0..30).map(|n| routed.call(n % ROUTERS, "/get/1", "1"));
    for (_, received) in futures_util::future::join_all(calls).await {
        assert_eq!(received.expect("no answer").status, 200);
    }
    assert_unharmed(&mut routed, 1).await;
    let gone: Vec<Odd> = records
        .into_iter()
        .map(|(key, _)| (key, Vec::new()))
        .collect();
    write(&routed, "keyed.servers", &gone).await;
    assert_unharmed(&mut routed, 3).await;
}

/// Guards against absurd numbers in the headers of answers, which end a router or keep it from serving later.
#[compio::test]
async fn odd_headers_of_answers_do_no_harm() {
    let mut routed = start().await;
    let absurd = [
        "1e400",
        "-1e400",
        "NaN",
        "inf",
        "18446744073709551616",
        "18446744073709551615",
        "4294967296",
        "-1",
        "1e18",
        "",
    ];
    for value in absurd {
        for knobs in [
            json!({ "spoil": "reject", "spoilt": 1, "retry_after": value }),
            json!({ "brittle": value, "leaving": value }),
        ] {
            set_knobs(routed.upstreams[0].addr, &knobs).await;
            for n in 0..2 * ROUTERS {
                let (_, received) = routed.call(n % ROUTERS, "/get/1", "1").await;
                let received = received.expect("no answer");
                // One that was rejected by a brittle upstream may be refused as not run.
                let is_proper = [200, 503].contains(&received.status);
                assert!(is_proper, "{value}: {received:?}");
            }
        }
    }
    set_knobs(routed.upstreams[0].addr, &json!({})).await;
    assert_unharmed(&mut routed, 1).await;
}
