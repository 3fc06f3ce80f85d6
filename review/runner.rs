//! A runner of the pages: slots, a short queue, `Not-Executed` when full, kept channels. Each step
//! of a request is one line on standard output.

use std::collections::VecDeque;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Buffer, Request};
use crate::{now_ms, store};

/// Interval between two records in the store.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Body of a plain answer, as on the sheets.
const ANSWER_BYTES: usize = 800;
/// Time after which a channel without a request is closed, in seconds.
const KEEP_ALIVE_S: u64 = 5;

/// What a runner is.
#[derive(Clone)]
pub struct Options {
    pub id: String,
    pub addr: SocketAddr,
    pub store: SocketAddr,
    pub service: String,
    pub zone: String,
    pub slots: usize,
    pub queue: usize,
    /// Time that a plain request takes, or from one event to the next.
    pub work_ms: u64,
    /// Events of a stream.
    pub events: u64,
}

/// The faults that the driver sets.
#[derive(Clone, Copy, Default)]
struct Faults {
    /// Share of answers that get a second copy, sent where the next answer is expected.
    extra: f64,
    /// Requests are accepted and never answered.
    mute: bool,
    /// Share of answers that state another idle time, and that time in seconds.
    keep_alive: (f64, u64),
}

#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
}

struct Runner {
    options: Options,
    faults: Mutex<Faults>,
    load: Mutex<Load>,
    freed: Condvar,
    random: Mutex<u64>,
    records: Mutex<VecDeque<String>>,
}

/// Runs until the process is killed.
pub fn run(options: Options, seed: u64) -> io::Result<()> {
    let listener = TcpListener::bind(options.addr)?;
    let runner = Arc::new(Runner {
        options,
        faults: Mutex::default(),
        load: Mutex::default(),
        freed: Condvar::new(),
        random: Mutex::new(seed | 1),
        records: Mutex::default(),
    });
    let registered = runner.clone();
    thread::spawn(move || registered.register());
    let printing = runner.clone();
    thread::spawn(move || printing.print());
    for stream in listener.incoming().flatten() {
        let runner = runner.clone();
        thread::spawn(move || runner.channel(stream));
    }
    Ok(())
}

impl Runner {
    fn record(&self, what: &str, request: &str) {
        let line = format!("{} {} {what} {request}", now_ms(), self.options.id);
        self.records.lock().unwrap().push_back(line);
    }

    fn print(&self) {
        loop {
            let lines: Vec<String> = self.records.lock().unwrap().drain(..).collect();
            for line in lines {
                println!("{line}");
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    fn register(&self) {
        let o = &self.options;
        for sequence in 1.. {
            let entry = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                 \"slots\":{},\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{sequence}}}",
                o.service, o.addr, o.zone, o.slots
            );
            let _ = store::append(o.store, "keyed.servers", &o.id, &entry);
            thread::sleep(HEARTBEAT);
        }
    }

    /// A uniform number from 0 to 1 (xorshift).
    fn random(&self) -> f64 {
        let mut state = self.random.lock().unwrap();
        *state ^= *state << 13;
        *state ^= *state >> 7;
        *state ^= *state << 17;
        (*state >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn channel(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(KEEP_ALIVE_S + 1)));
        let mut buffer = Buffer::default();
        let mut extra: Option<Vec<u8>> = None;
        while let Ok(request) = buffer.request(&mut stream) {
            if request.target.starts_with("/-/") {
                self.set_faults(&request.target);
                if stream
                    .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
                    .is_err()
                {
                    return;
                }
                continue;
            }
            let id = request.header("attempt-id").to_owned();
            self.record("arrives", &id);
            if let Some(copy) = extra.take() {
                self.record("extra-answer-before", &id);
                if stream.write_all(&copy).is_err() {
                    return;
                }
            }
            if self.faults.lock().unwrap().mute {
                self.record("mute", &id);
                self.wait_for_close(&mut stream, &id);
                return;
            }
            match self.answer(&mut stream, &request, &id) {
                Ok(answer) => {
                    let share = self.faults.lock().unwrap().extra;
                    extra = answer.filter(|_| self.random() < share);
                }
                Err(_) => {
                    self.record("closed", &id);
                    return;
                }
            }
        }
    }

    fn set_faults(&self, target: &str) {
        let mut faults = self.faults.lock().unwrap();
        if let Some(share) = target.strip_prefix("/-/extra/") {
            faults.extra = share.parse().unwrap_or(0.0);
        }
        if let Some(mute) = target.strip_prefix("/-/mute/") {
            faults.mute = mute == "1";
        }
        if let Some(text) = target.strip_prefix("/-/keep-alive/")
            && let Some((share, seconds)) = text.split_once('/')
        {
            faults.keep_alive = (share.parse().unwrap_or(0.0), seconds.parse().unwrap_or(0));
        }
    }

    fn keep_alive_s(&self) -> u64 {
        let (share, seconds) = self.faults.lock().unwrap().keep_alive;
        if self.random() < share {
            seconds
        } else {
            KEEP_ALIVE_S
        }
    }

    fn wait_for_close(&self, stream: &mut TcpStream, id: &str) {
        let _ = stream.set_read_timeout(Some(Duration::from_secs(30)));
        let mut byte = [0];
        let _ = stream.peek(&mut byte);
        self.record("closed", id);
    }

    /// Answers one request. Returns the bytes of an answer that may be sent a second time.
    fn answer(
        &self,
        stream: &mut TcpStream,
        request: &Request,
        id: &str,
    ) -> io::Result<Option<Vec<u8>>> {
        let named = request.header("target-instance");
        if !named.is_empty() && named != self.options.id {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nattempt-id: {id}\r\nnot-executed: 1\r\n\
                 content-length: 0\r\n\r\n"
            );
            stream.write_all(text.as_bytes())?;
            return Ok(None);
        }
        if !self.take_slot() {
            self.record("rejected", id);
            let text = format!(
                "HTTP/1.1 503 Service Unavailable\r\nattempt-id: {id}\r\nnot-executed: 1\r\n\
                 keep-alive: timeout={}\r\ncontent-length: 0\r\n\r\n",
                self.keep_alive_s()
            );
            stream.write_all(text.as_bytes())?;
            return Ok(Some(text.into_bytes()));
        }
        self.record("runs", id);
        let answered = if request.target.contains("/stream") {
            self.stream(stream, request, id).map(|()| None)
        } else {
            self.plain(stream, id).map(Some)
        };
        if answered.is_ok() {
            self.record("answered", id);
        }
        self.free_slot();
        answered
    }

    fn head(&self, id: &str) -> String {
        format!(
            "HTTP/1.1 200 OK\r\nattempt-id: {id}\r\nserver-signature: {}.{id}\r\n\
             instance-load: {},0,{}\r\nkeep-alive: timeout={}\r\n",
            self.options.id,
            self.load.lock().unwrap().running,
            self.options.slots,
            self.keep_alive_s()
        )
    }

    fn plain(&self, stream: &mut TcpStream, id: &str) -> io::Result<Vec<u8>> {
        thread::sleep(Duration::from_millis(self.options.work_ms));
        let body = "x".repeat(ANSWER_BYTES);
        let text = format!(
            "{}content-length: {ANSWER_BYTES}\r\n\r\n{body}",
            self.head(id)
        );
        stream.write_all(text.as_bytes())?;
        Ok(text.into_bytes())
    }

    /// Streams the events after `Last-Event-Id`.
    fn stream(&self, stream: &mut TcpStream, request: &Request, id: &str) -> io::Result<()> {
        let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
        let head = format!(
            "{}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
            self.head(id)
        );
        let mut next = head;
        for event in after + 1..=self.options.events {
            thread::sleep(Duration::from_millis(self.options.work_ms));
            let text = format!("id: {event}\ndata: token {event}\n\n");
            next.push_str(&format!("{:x}\r\n{text}\r\n", text.len()));
            stream.write_all(next.as_bytes())?;
            next.clear();
            if is_closed(stream) {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
        }
        next.push_str("0\r\n\r\n");
        stream.write_all(next.as_bytes())
    }

    /// Waits for a slot; `false` if the queue is full.
    fn take_slot(&self) -> bool {
        let mut load = self.load.lock().unwrap();
        if load.running < self.options.slots {
            load.running += 1;
            return true;
        }
        if load.waiting >= self.options.queue {
            return false;
        }
        load.waiting += 1;
        let started = Instant::now();
        while load.running >= self.options.slots {
            let waited = self.freed.wait_timeout(load, Duration::from_millis(100));
            load = waited.unwrap().0;
            if started.elapsed() > Duration::from_secs(30) {
                break;
            }
        }
        load.waiting -= 1;
        load.running += 1;
        true
    }

    fn free_slot(&self) {
        self.load.lock().unwrap().running -= 1;
        self.freed.notify_one();
    }
}

/// Whether the other end has closed the channel.
fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(read) => read == 0,
        Err(e) => e.kind() != io::ErrorKind::WouldBlock,
    }
}
