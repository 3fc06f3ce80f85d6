//! The drivers of the scripts under `review/`: each starts routers and the project's store as processes, and
//! runners, clients and proxies as threads.

mod cut_off;
mod fleet;
mod homes;
mod limits;
mod net;
mod proxy;
mod runner;

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let out = std::env::args().nth(2).unwrap_or_else(|| "record.txt".into());
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let held = match case.as_str() {
        "cut-off" => cut_off::run(&out, trouble),
        "homes" => homes::run(&out, trouble),
        "limits" => limits::run(&out, trouble),
        _ => fleet::unusable("no such case"),
    };
    std::process::exit(if held { 0 } else { 1 });
}
