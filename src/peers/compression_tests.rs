use super::compression::{compress, decompress};

/// An operator adds 1,400 routes, and dozens of routers fetch them from the first router that has
/// them, over a link of 10 Mbit/s. Forty replies must fit into the query timeout of 1 s, so each
/// may have 30 KB.
#[test]
fn large_configuration_compresses_well() {
    let route = |i: u32| {
        format!(
            r#"{{"name":"r-{i:x}","host":"h{i}.example","path_prefix":"/p{}/","type":"streaming","timeout_ms":12000,"target_latency_ms":800,"priority":1,"service":"s{}","max_attempts":1,"public":false,"session_affinity":true,"stream_resume":false,"target_gap_ms":400}}"#,
            i.wrapping_mul(2_654_435_761),
            i % 2
        )
    };
    let routes: Vec<String> = (0..1_400).map(route).collect();
    let config = format!(r#"{{"version":7,"routes":[{}]}}"#, routes.join(","));
    assert!(config.len() > 250_000);
    let compressed = compress(config.as_bytes()).unwrap();
    assert!(compressed.len() < 30_000, "{} bytes", compressed.len());
    assert_eq!(decompress(&compressed).unwrap(), config.as_bytes());
}

#[test]
fn malformed_or_oversized_records_are_refused() {
    assert!(decompress(b"no such thing").is_err());
    let oversized = compress(&vec![0; 17 << 20]).unwrap();
    assert!(decompress(&oversized).is_err());
}
