//! HTTP/1.1 as bytes: reading requests and formatting responses.

use bytes::{Buf, BytesMut};
use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;

const BUFFER_BYTES: usize = 16 << 10;

/// A request with its whole body.
pub(super) struct ParsedRequest {
    pub(super) method: String,
    pub(super) target: String,
    pub(super) headers: Vec<(String, String)>,
    pub(super) body: String,
}

impl ParsedRequest {
    pub(super) fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map_or("", |(_, v)| v)
    }
}

pub(super) fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

pub(super) fn format_response(status: &str, head: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\n{head}content-length: {}\r\nkeep-alive: timeout=5\r\n\r\n{body}",
        body.len()
    )
}

pub(super) async fn send(stream: &mut TcpStream, text: &str) -> bool {
    stream.write_all(text.as_bytes().to_vec()).await.0.is_ok()
}

/// Reads the next request; returns `None` when the connection ends.
pub(super) async fn read_request(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
) -> Option<ParsedRequest> {
    const END: &[u8] = b"\r\n\r\n";
    let head_bytes = loop {
        if let Some(at) = buffer.windows(END.len()).position(|w| w == END) {
            break at + END.len();
        }
        fill_buffer(stream, buffer).await?;
    };
    let head = String::from_utf8_lossy(&buffer[..head_bytes]).into_owned();
    buffer.advance(head_bytes);
    let mut lines = head.lines();
    let mut words = lines.next()?.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let headers: Vec<(String, String)> = lines
        .filter_map(|l| l.split_once(':'))
        .map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned()))
        .collect();
    let length = headers.iter().find(|(n, _)| n == "content-length");
    let length: usize = length.map_or(Some(0), |(_, v)| v.parse().ok())?;
    while buffer.len() < length {
        fill_buffer(stream, buffer).await?;
    }
    let body = buffer.split_to(length);
    Some(ParsedRequest {
        method,
        target,
        headers,
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}

async fn fill_buffer(stream: &mut TcpStream, buffer: &mut BytesMut) -> Option<()> {
    let BufResult(read, bytes) = stream.read(Vec::with_capacity(BUFFER_BYTES)).await;
    let read = read.ok().filter(|n| *n > 0)?;
    buffer.extend_from_slice(&bytes[..read]);
    Some(())
}
