//! Proxies of the scripts: a relay that can be cut, and a view of the store that names the relays.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::net::Conn;
use crate::runner::spawn;

extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
}

/// Has a socket reset its channel when it is closed.
fn reset_on_close(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = [1, 0];
    // SAFETY: the socket is open, and the value has the size that is given.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, linger.as_ptr(), 8) };
}

/// Passes channels on to one runner.
pub struct Relay {
    addr: SocketAddr,
    target: SocketAddr,
    is_cut: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
    pub accepted: AtomicU32,
    /// Bytes from the machine to the runner.
    pub sent: Mutex<Vec<u8>>,
}

impl Relay {
    pub fn start(addr: SocketAddr, target: SocketAddr) -> Arc<Self> {
        let this = Arc::new(Self {
            addr,
            target,
            is_cut: AtomicBool::new(false),
            open: Mutex::default(),
            accepted: AtomicU32::new(0),
            sent: Mutex::default(),
        });
        let served = this.clone();
        spawn(move || served.run());
        this
    }

    fn run(self: Arc<Self>) {
        loop {
            let Ok(listener) = TcpListener::bind(self.addr) else {
                std::thread::sleep(Duration::from_millis(50));
                continue;
            };
            listener.set_nonblocking(true).unwrap();
            while !self.is_cut.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => self.clone().pass_on(stream),
                    Err(_) => std::thread::sleep(Duration::from_millis(2)),
                }
            }
            drop(listener);
            while self.is_cut.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_millis(5));
            }
        }
    }

    fn pass_on(self: Arc<Self>, near: TcpStream) {
        let _ = near.set_nonblocking(false);
        let Ok(far) = TcpStream::connect(self.target) else { return };
        self.accepted.fetch_add(1, Ordering::SeqCst);
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        self.open.lock().unwrap().push(near.try_clone().unwrap());
        for (from, to, is_request) in [(&near, &far, true), (&far, &near, false)] {
            let (mut from, mut to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
            let this = self.clone();
            spawn(move || {
                let mut bytes = [0; 8192];
                while let Ok(n) = from.read(&mut bytes) {
                    if is_request && n > 0 {
                        this.sent.lock().unwrap().extend_from_slice(&bytes[..n]);
                    }
                    if n == 0 || to.write_all(&bytes[..n]).is_err() {
                        break;
                    }
                }
                let _ = to.shutdown(Shutdown::Both);
                let _ = from.shutdown(Shutdown::Both);
            });
        }
    }

    /// Refuses new channels and resets open ones, until [`Self::heal`].
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            reset_on_close(&stream);
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Ids of the requests that were passed on.
    pub fn ids(&self) -> Vec<String> {
        let sent = self.sent.lock().unwrap();
        let text = String::from_utf8_lossy(&sent).to_ascii_lowercase();
        let ids = text.split("attempt-id:").skip(1);
        ids.map(|rest| rest.split('\r').next().unwrap_or("").trim().to_owned()).collect()
    }

    pub fn heal(&self) {
        self.is_cut.store(false, Ordering::SeqCst);
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn decode(text: &str) -> Vec<u8> {
    let (mut bits, mut count, mut out) = (0u32, 0, Vec::new());
    for digit in text.bytes().filter_map(|b| DIGITS.iter().position(|d| *d == b)) {
        bits = bits << 6 | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            out.push((bits >> count) as u8);
        }
    }
    out
}

fn encode(bytes: &[u8]) -> String {
    let mut out = String::new();
    for three in bytes.chunks(3) {
        let n = three.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - three.len()));
        for i in 0..4 {
            let digit = DIGITS[(n >> (18 - 6 * i) & 63) as usize] as char;
            out.push(if i <= three.len() { digit } else { '=' });
        }
    }
    out
}

/// Serves the store at `addr` to one router, with the addresses of `renamed` replaced in the entries of runners.
pub fn store_view(addr: SocketAddr, store: SocketAddr, renamed: Vec<(String, String)>) {
    let listener = TcpListener::bind(addr).unwrap_or_else(|e| crate::fleet::unusable(&e.to_string()));
    let renamed = Arc::new(renamed);
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let renamed = renamed.clone();
            spawn(move || {
                let _ = view(stream, store, &renamed);
            });
        }
    });
}

fn rename(mut text: Vec<u8>, renamed: &[(String, String)]) -> Vec<u8> {
    for (from, to) in renamed {
        let (from, to) = (from.as_bytes(), to.as_bytes());
        let mut at = 0;
        while at + from.len() <= text.len() {
            if text[at..].starts_with(from) {
                text[at..at + from.len()].copy_from_slice(to);
            }
            at += 1;
        }
    }
    text
}

fn view(stream: TcpStream, store: SocketAddr, renamed: &[(String, String)]) -> std::io::Result<()> {
    let mut near = Conn::new(stream);
    let mut far = Conn::open(store, Duration::from_secs(1))?;
    while let Some(head) = near.head(None)? {
        let body = near.body(&head, None)?;
        let mut request = format!("{}\r\n", head.first);
        for (name, value) in &head.headers {
            request += &format!("{name}: {value}\r\n");
        }
        far.send(format!("{request}\r\n").as_bytes())?;
        far.send(&body)?;
        let Some(answer) = far.head(None)? else { return Ok(()) };
        let mut body = far.body(&answer, None)?;
        if head.first.contains("stream_name=keyed.servers") {
            body = if head.first.contains("/log-newest") {
                rename_page(&String::from_utf8_lossy(&body), renamed).into_bytes()
            } else {
                rename(body, renamed)
            };
        }
        let mut reply = format!("{}\r\n", answer.first);
        for (name, value) in answer.headers.iter().filter(|(n, _)| n != "content-length" && n != "transfer-encoding") {
            reply += &format!("{name}: {value}\r\n");
        }
        near.send(format!("{reply}content-length: {}\r\n\r\n", body.len()).as_bytes())?;
        near.send(&body)?;
    }
    Ok(())
}

/// Renames addresses in the values of a page of `/log-newest`.
fn rename_page(page: &str, renamed: &[(String, String)]) -> String {
    const VALUE: &str = "\"data\":\"";
    let mut parts = page.split(VALUE);
    let mut out = parts.next().unwrap_or("").to_owned();
    for part in parts {
        let (value, rest) = part.split_once('"').unwrap_or((part, ""));
        out += VALUE;
        out += &encode(&rename(decode(value), renamed));
        out += "\"";
        out += rest;
    }
    out
}
