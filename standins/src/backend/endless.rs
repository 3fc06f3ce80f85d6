//! Response faults that last until the router closes the connection.

use std::time::{Duration, Instant};

use compio::io::AsyncWriteExt;
use compio::net::TcpStream;
use serde::{Deserialize, Serialize};

use crate::backend::wire::{chunk, format_response};
use crate::http::print_run;

/// Minimum size of one write, about that of a socket's buffer.
const BLOCK_BYTES: usize = 64 << 10;
/// Size of a small chunk.
const PIECE_BYTES: usize = 256;
/// Interval between the bytes of a slow response, below every limit on silence.
const SLOW_INTERVAL: Duration = Duration::from_millis(20);

/// A response that is never finished.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EndlessFault {
    /// Bytes that are not an HTTP response, from the first one.
    Garbage,
    /// The line ends of empty lines, where the status line is expected.
    EmptyLines,
    /// A status line.
    StatusLine,
    /// One header line.
    HeaderLine,
    /// Header lines.
    Headers,
    /// Informational responses.
    Informational,
    /// A chunked body that isn't a stream of events.
    Chunks,
    /// A body that the end of the connection would end.
    Unframed,
    /// The body of a server error.
    Failure,
    /// A chunk extension.
    ChunkExtension,
    /// Trailers.
    Trailers,
    /// Bytes after a complete response.
    PastLength,
    /// A rejection of a request that did not run, with a chunked body.
    Rejection,
    /// One event.
    Event,
    /// One event in small chunks, each as long as a usual event.
    EventPieces,
    /// One event, slowly, in chunks of one byte.
    SlowEvent,
    /// Events.
    Events,
}

/// The end of an endless response, printed when its connection was closed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EndlessResponse {
    /// The fault.
    pub endless: EndlessFault,
    /// Id that the caller gave the request.
    pub request_id: String,
    /// Number of bytes that the socket accepted.
    pub written_bytes: u64,
    /// Time from the first byte until the connection was closed, in milliseconds.
    pub lasted_ms: u64,
}

/// Sends an endless response with the headers `head`, as fast as the connection accepts it unless the
/// fault is a slow one. Returns once the connection is closed.
pub(super) async fn respond(
    stream: &mut TcpStream,
    fault: EndlessFault,
    head: &str,
    request_id: &str,
) {
    let started = Instant::now();
    let mut written_bytes = 0;
    let mut bytes = beginning(fault, head).into_bytes();
    let block = block(fault);
    loop {
        let len = bytes.len() as u64;
        let sent = stream.write_all(bytes).await;
        if sent.0.is_err() {
            break;
        }
        written_bytes += len;
        bytes = sent.1;
        bytes.clear();
        bytes.extend_from_slice(block.as_bytes());
        if fault == EndlessFault::SlowEvent {
            compio::time::sleep(SLOW_INTERVAL).await;
        }
    }
    print_run(&EndlessResponse {
        endless: fault,
        request_id: request_id.to_owned(),
        written_bytes,
        lasted_ms: u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX),
    });
}

/// Returns the bytes before those that are repeated.
fn beginning(fault: EndlessFault, head: &str) -> String {
    let chunked = |status: &str, kind: &str| {
        format!(
            "HTTP/1.1 {status}\r\n{head}content-type: {kind}\r\ntransfer-encoding: chunked\r\n\r\n"
        )
    };
    match fault {
        EndlessFault::Garbage | EndlessFault::EmptyLines | EndlessFault::Informational => {
            String::new()
        }
        EndlessFault::StatusLine => "HTTP/1.1 200 ".to_owned(),
        EndlessFault::HeaderLine => format!("HTTP/1.1 200 OK\r\n{head}x-filler: "),
        EndlessFault::Headers => format!("HTTP/1.1 200 OK\r\n{head}"),
        EndlessFault::Unframed => format!("HTTP/1.1 200 OK\r\n{head}\r\n"),
        EndlessFault::Failure => chunked("500 Internal Server Error", "text/plain"),
        EndlessFault::Chunks => chunked("200 OK", "application/json"),
        EndlessFault::ChunkExtension => {
            format!("{}5;", chunked("200 OK", "application/json"))
        }
        EndlessFault::Trailers => {
            let whole = chunk("whole");
            format!("{}{whole}0\r\n", chunked("200 OK", "application/json"))
        }
        EndlessFault::PastLength => format_response("200 OK", head, "whole"),
        EndlessFault::Rejection => {
            let rejected = chunked("503 Service Unavailable", "text/plain");
            rejected.replacen("\r\n", "\r\nnot-executed: 1\r\n", 1)
        }
        EndlessFault::Event
        | EndlessFault::EventPieces
        | EndlessFault::SlowEvent
        | EndlessFault::Events => chunked("200 OK", "text/event-stream"),
    }
}

/// Returns the bytes that are repeated.
fn block(fault: EndlessFault) -> String {
    let filled = |part: &str| part.repeat(BLOCK_BYTES.div_ceil(part.len()));
    match fault {
        EndlessFault::Garbage => filled("\u{1}\u{2} no answer at all\r\n\r\n"),
        EndlessFault::EmptyLines => filled("\r\n"),
        EndlessFault::StatusLine
        | EndlessFault::HeaderLine
        | EndlessFault::Unframed
        | EndlessFault::ChunkExtension => filled("x"),
        EndlessFault::PastLength => filled("past the length\r\n"),
        EndlessFault::Headers | EndlessFault::Trailers => filled("x-filler: x\r\n"),
        EndlessFault::Informational => filled("HTTP/1.1 103 Early Hints\r\n\r\n"),
        EndlessFault::Chunks
        | EndlessFault::Failure
        | EndlessFault::Rejection
        | EndlessFault::Event => chunk(&filled("x")),
        EndlessFault::EventPieces => filled(&chunk(&"x".repeat(PIECE_BYTES))),
        EndlessFault::SlowEvent => chunk("x"),
        EndlessFault::Events => chunk(&filled("data: filler\n\n")),
    }
}
