//! Runners: they serve streams and plain requests as the users' protocol page says.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::fleet::write_record;
use crate::net::Conn;

pub type Record = Arc<Mutex<Vec<String>>>;

pub struct Runner {
    pub id: String,
    pub addr: SocketAddr,
    pub service: String,
    pub slots: u32,
    pub software: String,
    pub running: AtomicU32,
    pub record: Record,
    pub began: Instant,
    pub born: u128,
}

pub fn spawn(f: impl FnOnce() + Send + 'static) {
    let spawned = thread::Builder::new().stack_size(96 << 10).spawn(f);
    if spawned.is_err() {
        crate::fleet::unusable("no more threads");
    }
}

impl Runner {
    pub fn start(id: &str, addr: SocketAddr, service: &str, slots: u32, record: Record, began: Instant) -> Arc<Self> {
        let listener = TcpListener::bind(addr).unwrap_or_else(|e| crate::fleet::unusable(&e.to_string()));
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
        let this = Arc::new(Self {
            id: id.into(),
            addr,
            service: service.into(),
            slots,
            software: "1.0".into(),
            running: AtomicU32::new(0),
            record,
            began,
            born,
        });
        let served = this.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = served.clone();
                spawn(move || this.serve(stream));
            }
        });
        this
    }

    /// Writes its entry to the store.
    pub fn publish(&self, store: SocketAddr, zone: &str, state: &str, sequence: u32) -> bool {
        let entry = format!(
            r#"{{"service":"{}","address":"{}","zone":"{zone}","version":"{}","slots":{},"state":"{state}","cold_remaining_ms":0,"sequence":{sequence},"born":{}}}"#,
            self.service, self.addr, self.software, self.slots, self.born
        );
        write_record(store, "keyed.servers", &self.id, &entry)
    }

    fn note(&self, line: String) {
        let at = self.began.elapsed().as_millis();
        self.record.lock().unwrap().push(format!("{at:>6} ms {} {line}", self.id));
    }

    fn serve(&self, stream: TcpStream) {
        let mut conn = Conn::new(stream);
        while let Ok(Some(head)) = conn.head(None) {
            let Ok(_body) = conn.body(&head, None) else { return };
            let mut words = head.first.split(' ');
            let (_, target) = (words.next(), words.next().unwrap_or("/").to_owned());
            let id = head.get("attempt-id").unwrap_or("").to_owned();
            if target == "/healthz" {
                let answer = format!("HTTP/1.1 200 OK\r\ninstance-id: {}\r\ncontent-length: 0\r\n\r\n", self.id);
                if conn.send(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            if head.get("target-instance").is_some_and(|t| t != self.id) {
                let answer = format!("HTTP/1.1 421 Misdirected Request\r\nattempt-id: {id}\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n");
                if conn.send(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            if self.running.fetch_add(1, Ordering::SeqCst) >= self.slots {
                self.running.fetch_sub(1, Ordering::SeqCst);
                let answer = format!("HTTP/1.1 503 Service Unavailable\r\nattempt-id: {id}\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n");
                if conn.send(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let after = head.get("last-event-id").and_then(|v| v.parse().ok()).unwrap_or(0u64);
            self.note(format!("runs {id} after {after}"));
            let done = self.answer(&mut conn, &target, &id, after);
            self.running.fetch_sub(1, Ordering::SeqCst);
            self.note(format!("{} {id}", if done.is_ok() { "ended" } else { "lost" }));
            if done.is_err() {
                return;
            }
        }
    }

    fn answer(&self, conn: &mut Conn, target: &str, id: &str, after: u64) -> std::io::Result<()> {
        let number = |name: &str| {
            let query = target.split_once('?').map_or("", |(_, q)| q);
            let value = query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('='));
            value.and_then(|v| v.parse::<u64>().ok())
        };
        let (events, gap) = (number("n").unwrap_or(0), Duration::from_millis(number("ms").unwrap_or(10)));
        let proof = format!("attempt-id: {id}\r\nserver-signature: {}.{id}\r\nkeep-alive: timeout=5\r\n", self.id);
        if events == 0 {
            thread::sleep(gap);
            return conn.send(format!("HTTP/1.1 200 OK\r\n{proof}content-length: 5\r\n\r\nhello").as_bytes());
        }
        let head = format!("HTTP/1.1 200 OK\r\n{proof}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n");
        conn.send(head.as_bytes())?;
        for n in after + 1..=events {
            let event = format!("id: {n}\ndata: piece {n} of {id}\n\n");
            conn.send(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            if n < events {
                // A channel that was closed shows as an end or a failure.
                conn.stream.set_read_timeout(Some(gap))?;
                let mut byte = [0];
                match conn.stream.peek(&mut byte) {
                    Ok(0) => return Err(std::io::ErrorKind::UnexpectedEof.into()),
                    Err(e) if e.kind() != std::io::ErrorKind::WouldBlock => return Err(e),
                    Ok(_) => thread::sleep(gap),
                    Err(_) => {}
                }
            }
        }
        conn.stream.write_all(b"0\r\n\r\n")
    }
}
