//! HTTP/1.1 as bytes: reading requests and formatting responses.

use bytes::{Buf, BytesMut};

use crate::backend::silence::Connection;

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

/// Reads the next request; returns `None` when the connection ends.
pub(super) async fn read_request(
    connection: &mut Connection<'_>,
    buffer: &mut BytesMut,
) -> Option<ParsedRequest> {
    const END: &[u8] = b"\r\n\r\n";
    let head_bytes = loop {
        if let Some(at) = buffer.windows(END.len()).position(|w| w == END) {
            break at + END.len();
        }
        fill_buffer(connection, buffer).await?;
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
        fill_buffer(connection, buffer).await?;
    }
    let body = buffer.split_to(length);
    Some(ParsedRequest {
        method,
        target,
        headers,
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}

async fn fill_buffer(connection: &mut Connection<'_>, buffer: &mut BytesMut) -> Option<()> {
    buffer.extend_from_slice(&connection.read().await?);
    Some(())
}
