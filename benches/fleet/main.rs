//! Cost of membership, homes and planned stops, with router processes on one machine:
//! `cargo build --release --examples && cargo bench --bench fleet`.
//!
//! To run one part: `cargo bench --bench fleet -- PART`, where PART is `cost` (sizes may follow:
//! `cost 9 20`), `stops` or `model`. The model runs the router's membership code over a simulated
//! network on a virtual clock. The other parts start processes and read metrics, events and /proc.

mod cost;
mod model;
mod sample;
mod stops;
#[path = "../../tests/support/mod.rs"]
mod support;

const SIZES: [u8; 4] = [9, 20, 50, 100];

#[compio::main]
async fn main() {
    let args: Vec<String> = std::env::args()
        .skip(1)
        .filter(|a| !a.starts_with('-'))
        .collect();
    let parts: Vec<&str> = args
        .iter()
        .map(String::as_str)
        .filter(|a| a.parse::<u8>().is_err())
        .collect();
    let selected = |part: &str| parts.is_empty() || parts.contains(&part);
    if selected("model") {
        model::print();
    }
    if selected("cost") {
        let sizes_arg: Vec<u8> = args.iter().filter_map(|a| a.parse().ok()).collect();
        let sizes = if sizes_arg.is_empty() {
            &SIZES[..]
        } else {
            &sizes_arg[..]
        };
        cost::print(sizes).await;
    }
    if selected("stops") {
        stops::print().await;
    }
}

/// Returns the `share` quantile of sorted values, or 0 if there are none.
fn quantile(sorted: &[u64], share: f64) -> u64 {
    let last = sorted.len().saturating_sub(1);
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "an index into a short list"
    )]
    let at = (last as f64 * share).round() as usize;
    sorted.get(at).copied().unwrap_or_default()
}
