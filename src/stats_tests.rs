const STATS: &str = include_str!("stats.rs");
const OPERATIONS: &str = include_str!("../docs/OPERATIONS.md");
const PREFIX: &str = "\"cassiagrade_";

/// Guards against metrics without a help text or an entry in the operators' documentation.
#[test]
fn every_metric_is_described_and_documented() {
    let names: Vec<&str> = STATS
        .split(PREFIX)
        .skip(1)
        .filter_map(|rest| rest.split('"').next())
        .collect();
    assert!(names.len() > 20, "{names:?}");
    for name in names {
        let shown = OPERATIONS.contains(&format!("`{name}"));
        assert!(shown, "docs/OPERATIONS.md lacks {name}");
    }
    let constants = STATS.matches(": &str = \"cassiagrade_").count();
    let described = STATS.matches("    describe_").count();
    assert_eq!(described, constants, "each has a help text");
}
