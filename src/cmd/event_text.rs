//! Text output of events: a list, or the steps of one request from entry to answer.

use std::io::{self, Write};

use crate::event::Event;

const MS_PER_S: u64 = 1_000;
const S_PER_MIN: u64 = 60;
const S_PER_HOUR: u64 = 3_600;
const S_PER_DAY: u64 = 86_400;

/// Prints one line per event, with the time of day in UTC.
pub(crate) fn list(wtr: &mut impl Write, events: &[Event]) -> io::Result<()> {
    for event in events {
        let time = time_of_day(event.at_ms);
        let (host, kind) = (&event.host, &event.kind);
        writeln!(wtr, "{time} {host:<10} {kind:<19} {}", fields(event))?;
    }
    Ok(())
}

/// Prints the steps of one request, with the milliseconds since its first event.
pub(crate) fn trace(wtr: &mut impl Write, events: &[Event]) -> io::Result<()> {
    let Some(first) = events.first() else {
        return writeln!(wtr, "no event of this request");
    };
    let account = events.iter().find(|e| !e.account.is_empty());
    let chat = events.iter().find(|e| !e.chat.is_empty());
    let account = account.map_or("unknown", |e| &e.account);
    let chat = chat.map_or("unknown", |e| &e.chat);
    let day = time_of_day(first.at_ms);
    let id = &first.request_id;
    writeln!(
        wtr,
        "request {id} of account {account}, chat {chat}, came at {day} UTC"
    )?;
    for event in events {
        let since_ms = event.at_ms - first.at_ms;
        let host = &event.host;
        writeln!(wtr, "{since_ms:>8} ms  {host:<10} {}", describe(event))?;
    }
    let last = events.last().unwrap_or(first);
    let total_ms = last.at_ms - first.at_ms;
    let attempts = events.iter().map(|e| e.attempt).max().unwrap_or(0);
    let mut hosts: Vec<&str> = events.iter().map(|e| e.host.as_str()).collect();
    hosts.sort_unstable();
    hosts.dedup();
    let (attempts, hosts) = (count(attempts, "attempt"), hosts.join(", "));
    writeln!(
        wtr,
        "{total_ms} ms from first to last event, {attempts}, hosts {hosts}"
    )
}

fn count(n: u32, what: &str) -> String {
    let plural = if n == 1 { "" } else { "s" };
    format!("{n} {what}{plural}")
}

/// Describes one event in words.
fn describe(event: &Event) -> String {
    let upstream = &event.upstream;
    let detail = &event.detail;
    let attempt = event.attempt;
    let took_ms = event.took_us as f64 / 1_000.0;
    match event.kind.as_str() {
        "request_received" => "came in".to_owned(),
        "request_placed" => format!("attempt {attempt}: placed on {upstream}"),
        "request_hopped" => format!("hopped to {detail}, the home of {upstream}"),
        "request_queued" => format!("waits in the queue of {upstream}"),
        "request_started" => format!("started at {upstream} after waiting {took_ms:.1} ms"),
        "request_retried" if upstream.is_empty() => format!("tried again: {detail}"),
        "request_retried" => format!("attempt {attempt} at {upstream} failed: {detail}"),
        "request_resumed" => format!("resumed at {upstream}: {detail}"),
        "request_refused" => format!("refused: {detail}"),
        "request_answered" => format!("answered: {detail}, {took_ms:.1} ms after the first"),
        "request_cancelled" => format!("cancelled by its caller {detail}"),
        "answer_dropped" => format!("dropped an answer of {upstream} to another request"),
        "request_quarantined" => format!("quarantined: {detail}"),
        "claim_won" => format!("won the claim of its key {detail}"),
        "claim_lost" => format!("found its key claimed before: {detail}"),
        "claim_released" => format!("released the claim of its key {detail}"),
        kind => format!("{kind} {}", fields(event)),
    }
}

/// Formats the fields that are set, as `name=value`.
fn fields(event: &Event) -> String {
    let mut text = Vec::new();
    let named = [
        ("request", &event.request_id),
        ("account", &event.account),
        ("chat", &event.chat),
        ("upstream", &event.upstream),
    ];
    for (name, value) in named {
        if !value.is_empty() {
            text.push(format!("{name}={value}"));
        }
    }
    if event.attempt > 0 {
        text.push(format!("attempt={}", event.attempt));
    }
    if event.took_us > 0 {
        text.push(format!("took_us={}", event.took_us));
    }
    if !event.detail.is_empty() {
        text.push(event.detail.clone());
    }
    text.join(" ")
}

fn time_of_day(at_ms: u64) -> String {
    let s = at_ms / MS_PER_S % S_PER_DAY;
    let (hour, minute) = (s / S_PER_HOUR, s % S_PER_HOUR / S_PER_MIN);
    let (second, ms) = (s % S_PER_MIN, at_ms % MS_PER_S);
    format!("{hour:02}:{minute:02}:{second:02}.{ms:03}")
}
