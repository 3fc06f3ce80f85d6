//! Compares the router's placement and admission with common baselines, on a virtual clock with
//! fixed seeds: `cargo bench --bench policies`.
//!
//! An engine is modelled as slots and an LRU prefix cache. Engine order, queueing and refusals use
//! the router's own decision modules. Load reports are delayed and lost as they are with gossip.
//! To run one part: `cargo bench --bench policies -- PART`, where PART is `reuse`, `overload`,
//! `surge`, `patterns` or `cost`.

mod cost;
mod sim;
mod tables;

fn main() {
    let parts: Vec<String> = std::env::args()
        .skip(1)
        .filter(|a| !a.starts_with('-'))
        .collect();
    let selected = |part: &str| parts.is_empty() || parts.iter().any(|p| p == part);
    let mut missed = Vec::new();
    if selected("reuse") {
        missed.extend(tables::reuse());
    }
    if selected("overload") {
        missed.extend(tables::overload());
    }
    if selected("surge") {
        missed.extend(tables::surge());
    }
    if selected("patterns") {
        tables::patterns();
    }
    if selected("cost") {
        cost::print();
    }
    println!("\ngoals missed: {}", missed.len());
    for line in missed {
        println!("  {line}");
    }
}
