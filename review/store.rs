//! Writes to the platform's store.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use crate::http;

/// Appends one keyed record.
pub fn append(store: SocketAddr, stream: &str, key: &str, value: &str) -> io::Result<()> {
    let mut record = Vec::new();
    let length = 1 + key.len() + value.len();
    record.extend_from_slice(&(length as u32).to_be_bytes());
    record.push(key.len() as u8);
    record.extend_from_slice(key.as_bytes());
    record.extend_from_slice(value.as_bytes());
    let mut text = format!(
        "POST /log-append?stream_name={stream}&part=0 HTTP/1.1\r\nhost: {store}\r\n\
         content-length: {}\r\n\r\n",
        record.len()
    )
    .into_bytes();
    text.extend(record);
    let answer = http::call(store, &text, Duration::from_secs(1))?;
    if answer.status == 200 {
        return Ok(());
    }
    Err(io::Error::other(format!("status {}", answer.status)))
}
