//! Measures the cost of one timeline event on the request path, with events written to a file and
//! with events off.
//!
//! `cargo run --release --example events_cost`

use std::fs::File;
use std::io::Write;
use std::time::Instant;

use cassiagrade::event::{Events, Kind};

const COUNT: u32 = 200_000;

fn main() -> std::io::Result<()> {
    let path = std::env::temp_dir().join(format!("events-cost-{}", std::process::id()));
    measure("written to a file", Some(Box::new(File::create(&path)?)));
    std::fs::remove_file(path)?;
    measure("off", None);
    Ok(())
}

fn measure(name: &str, out: Option<Box<dyn Write + Send>>) {
    let events = Events::open("router-0".into(), "dc-0".into(), out);
    let start = Instant::now();
    for n in 0..COUNT {
        events.emit(Kind::RequestStarted, |e| {
            e.request_id = "01a2387c-dbfe-7463-a363-e5ec8f6446e4".to_owned();
            e.account = "acme".to_owned();
            e.upstream = "engine-1".to_owned();
            e.attempt = n;
        });
    }
    let each_ns = start.elapsed().as_nanos() / u128::from(COUNT);
    println!("{name}: {each_ns} ns per event over {COUNT} events");
}
