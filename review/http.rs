//! Just enough HTTP/1.1 for clients and runners that must control every byte and every close.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request as a runner received it.
#[derive(Debug)]
pub struct Request {
    pub target: String,
    headers: Vec<(String, String)>,
}

/// An answer as a client received it.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    let found = headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
    found.map_or("", |(_, value)| value)
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }
}

/// Bytes received on one channel and not used yet.
#[derive(Default)]
pub struct Buffer(Vec<u8>);

impl Buffer {
    fn fill(&mut self, stream: &mut TcpStream) -> io::Result<()> {
        let mut bytes = [0; 16 << 10];
        let read = stream.read(&mut bytes)?;
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.0.extend_from_slice(&bytes[..read]);
        Ok(())
    }

    fn line(&mut self, stream: &mut TcpStream) -> io::Result<String> {
        loop {
            if let Some(at) = self.0.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.0[..at]).into_owned();
                self.0.drain(..at + 2);
                return Ok(line);
            }
            self.fill(stream)?;
        }
    }

    fn bytes(&mut self, stream: &mut TcpStream, count: usize) -> io::Result<Vec<u8>> {
        while self.0.len() < count {
            self.fill(stream)?;
        }
        Ok(self.0.drain(..count).collect())
    }

    fn head(&mut self, stream: &mut TcpStream) -> io::Result<(String, Vec<(String, String)>)> {
        let first = self.line(stream)?;
        let mut headers = Vec::new();
        loop {
            let line = self.line(stream)?;
            if line.is_empty() {
                return Ok((first, headers));
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.to_owned(), value.trim().to_owned()));
            }
        }
    }

    /// Reads the next request of a channel.
    pub fn request(&mut self, stream: &mut TcpStream) -> io::Result<Request> {
        let (first, headers) = self.head(stream)?;
        let target = first.split(' ').nth(1).unwrap_or_default().to_owned();
        let length = find(&headers, "content-length").parse().unwrap_or(0);
        self.bytes(stream, length)?;
        Ok(Request { target, headers })
    }

    /// Reads the head of an answer; its body is read by the other methods.
    pub fn answer_head(&mut self, stream: &mut TcpStream) -> io::Result<Answer> {
        let (first, headers) = self.head(stream)?;
        let status = first.split(' ').nth(1).and_then(|s| s.parse().ok());
        Ok(Answer {
            status: status.ok_or(io::ErrorKind::InvalidData)?,
            headers,
            body: Vec::new(),
        })
    }

    /// Reads the next chunk of a chunked body; `None` at its end.
    pub fn chunk(&mut self, stream: &mut TcpStream) -> io::Result<Option<Vec<u8>>> {
        let line = self.line(stream)?;
        let size = usize::from_str_radix(line.trim(), 16);
        let size = size.map_err(|_| io::ErrorKind::InvalidData)?;
        let chunk = self.bytes(stream, size)?;
        self.line(stream)?;
        Ok((size > 0).then_some(chunk))
    }

    /// Reads a whole answer.
    pub fn answer(&mut self, stream: &mut TcpStream) -> io::Result<Answer> {
        let mut answer = self.answer_head(stream)?;
        if answer.header("transfer-encoding").contains("chunked") {
            while let Some(chunk) = self.chunk(stream)? {
                answer.body.extend(chunk);
            }
        } else {
            let length = answer.header("content-length").parse().unwrap_or(0);
            answer.body = self.bytes(stream, length)?;
        }
        Ok(answer)
    }
}

/// Sends one request on a channel of its own and reads the whole answer.
pub fn call(addr: SocketAddr, text: &[u8], timeout: Duration) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(text)?;
    Buffer::default().answer(&mut stream)
}
