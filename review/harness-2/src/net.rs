//! Minimal HTTP/1.1 over blocking sockets, for the stand-ins and the clients of the scripts.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Buffered reader of one connection.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, v)| v.as_str())
    }
}

fn late() -> io::Error {
    io::Error::new(io::ErrorKind::TimedOut, "late")
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn open(addr: SocketAddr, limit: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&addr, limit)?))
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Reads more bytes until `until`; `None` waits without a limit. Returns false at the end of the channel.
    fn fill(&mut self, until: Option<Instant>) -> io::Result<bool> {
        let left = match until {
            Some(at) => {
                let left = at.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    return Err(late());
                }
                Some(left)
            }
            None => None,
        };
        self.stream.set_read_timeout(left)?;
        let mut bytes = [0; 16384];
        match self.stream.read(&mut bytes) {
            Ok(n) => {
                self.buffer.extend_from_slice(&bytes[..n]);
                Ok(n > 0)
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Err(late()),
            Err(e) => Err(e),
        }
    }

    /// Reads a head; `None` if the channel ended before its first byte.
    pub fn head(&mut self, until: Option<Instant>) -> io::Result<Option<Head>> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                break at;
            }
            if !self.fill(until)? {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or("").to_owned();
        let headers = lines.filter_map(|l| l.split_once(':'));
        let headers = headers.map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_owned()));
        Ok(Some(Head { first, headers: headers.collect() }))
    }

    pub fn exactly(&mut self, len: usize, until: Option<Instant>) -> io::Result<Vec<u8>> {
        while self.buffer.len() < len {
            if !self.fill(until)? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..len).collect())
    }

    /// Reads one chunk; an empty one ends the body.
    pub fn chunk(&mut self, until: Option<Instant>) -> io::Result<Vec<u8>> {
        let end = loop {
            if let Some(at) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                break at;
            }
            if !self.fill(until)? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 2);
        let size = line.split(';').next().unwrap_or("").trim().to_owned();
        let len = usize::from_str_radix(&size, 16);
        let len = len.map_err(|_| io::Error::other("chunk size"))?;
        let mut data = self.exactly(len + 2, until)?;
        data.truncate(len);
        Ok(data)
    }

    /// Reads the body that a head announces.
    pub fn body(&mut self, head: &Head, until: Option<Instant>) -> io::Result<Vec<u8>> {
        if head.get("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
            let mut all = Vec::new();
            loop {
                let chunk = self.chunk(until)?;
                if chunk.is_empty() {
                    return Ok(all);
                }
                all.extend(chunk);
            }
        }
        let len = head.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        self.exactly(len, until)
    }
}

/// What a client received.
#[derive(Clone, Debug, Default)]
pub struct Got {
    pub status: u16,
    pub signed: bool,
    pub whole: bool,
    pub events: Vec<u64>,
    pub body_bytes: usize,
    pub closes: bool,
    pub end: String,
    pub took_ms: u128,
}

impl Got {
    /// Whether this is a runner's whole answer.
    pub fn served(&self) -> bool {
        self.status == 200 && self.signed && self.whole
    }
}

/// Reads an answer. `patience`: longest wait for the next event of a stream.
pub fn answer(conn: &mut Conn, until: Instant, patience: Option<Duration>) -> Got {
    let began = Instant::now();
    let mut got = Got::default();
    if let Err(e) = read_answer(conn, until, patience, &mut got) {
        got.end = e.to_string();
    }
    got.took_ms = began.elapsed().as_millis();
    got
}

fn read_answer(conn: &mut Conn, until: Instant, patience: Option<Duration>, got: &mut Got) -> io::Result<()> {
    let soon = |p: Option<Duration>| Some(p.map_or(until, |p| until.min(Instant::now() + p)));
    let Some(head) = conn.head(soon(patience))? else {
        got.end = "closed without an answer".into();
        return Ok(());
    };
    got.status = head.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    got.signed = head.get("server-signature").is_some();
    got.closes = head.get("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
    let is_stream = head.get("content-type").is_some_and(|v| v.starts_with("text/event-stream"));
    if !is_stream {
        got.body_bytes = conn.body(&head, Some(until))?.len();
        got.whole = true;
        return Ok(());
    }
    let mut text = String::new();
    loop {
        let chunk = conn.chunk(soon(patience))?;
        if chunk.is_empty() {
            got.whole = true;
            return Ok(());
        }
        got.body_bytes += chunk.len();
        text.push_str(&String::from_utf8_lossy(&chunk));
        while let Some(at) = text.find("\n\n") {
            let event: String = text.drain(..at + 2).collect();
            let id = event.lines().find_map(|l| l.strip_prefix("id:"));
            got.events.extend(id.and_then(|id| id.trim().parse::<u64>().ok()));
        }
    }
}
