//! A store of streams that retain the newest record of each key, like that of the users' platform.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use http::{HeaderValue, Method, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::watch;

use crate::http::{
    BufferedRequest, Handler, ResponseBody, json as json_reply, print_run, serve, status,
};

/// Stream that upstreams publish to; an entry that isn't refreshed expires.
const UPSTREAM_STREAM: &str = "keyed.servers";
const PAGE_ENTRIES: usize = 50;

/// Faults that a test can set.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Knobs {
    /// Fault that every request gets instead of a response.
    pub fault: Fault,
    /// Delay added to each request.
    pub delay_ms: u64,
    /// Number of appends whose responses are dropped, after they took effect.
    pub drop_replies: u32,
    /// Time after which entries of upstreams expire; 0 disables expiry.
    pub lapse_ms: u64,
    /// Truncate every stream now; the newest record of each key remains readable.
    pub forget: bool,
    /// Number of reads whose response ends in bytes that are not a record.
    pub garble_reads: u32,
    /// Stream of which no newest record is returned.
    pub hidden: String,
    /// Replace every stream now by a copy of this age, which begins a new era; 0 does nothing.
    pub restore_age_ms: u64,
    /// What the header with the era holds instead of it; empty: the era.
    pub era_header: String,
}

/// What a request gets instead of a response.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Status 503.
    Busy,
    /// Status 429.
    Many,
    /// The connection is closed.
    Cut,
    /// No response.
    Silent,
}

/// A change of an upstream's entry, printed when the store holds it, or the first write of an entry that
/// a restore brought back.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EntryChange {
    /// Id of the upstream.
    pub entry: String,
    /// State that the entry names; empty if the entry was removed.
    pub state: String,
    /// Time from which the store holds it, in Unix milliseconds.
    pub stored_ms: u64,
}

/// Header of every response: rises whenever the streams were replaced by an older copy.
const ERA_HEADER: &str = "store-era";

/// A restore of the streams from an older copy.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Restore {
    /// Era that it began.
    pub era: u64,
    /// Age of the copy.
    pub age_ms: u64,
    /// Time of the restore, in Unix milliseconds.
    pub restored_ms: u64,
}

/// A running store.
pub struct Keyed {
    /// Address that it listens on.
    pub addr: SocketAddr,
}

struct Written {
    at: Instant,
    key: String,
    value: Bytes,
}

#[derive(Default)]
struct Stream {
    /// Offset of the first record that readers get.
    first: usize,
    /// Every record since the start, by offset, so that any older state can be restored.
    records: Vec<Written>,
    newest: BTreeMap<String, (u64, Bytes)>,
    written_at: HashMap<String, Instant>,
    /// Keys that a restore brought back and that were not written since.
    restored: HashSet<String>,
}

impl Stream {
    fn end(&self) -> u64 {
        self.records.len() as u64
    }

    /// Returns to the state as of `then`. Entries count as written now, so that none expires before
    /// its upstream can write it again.
    fn restore(&mut self, then: Instant) {
        let kept = self.records.partition_point(|written| written.at <= then);
        self.records.truncate(kept);
        self.first = self.first.min(kept);
        self.newest.clear();
        for (at, written) in (0..).zip(&self.records) {
            let key = written.key.clone();
            if written.value.is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key, (at, written.value.clone()));
            }
        }
        let now = Instant::now();
        self.written_at = self.newest.keys().map(|key| (key.clone(), now)).collect();
        self.restored = self.newest.keys().cloned().collect();
    }

    /// Writes a value; appends no record if the value is unchanged. An empty value deletes the key.
    /// Returns whether the value changed.
    fn put(&mut self, key: String, value: Bytes) -> bool {
        let old = self.newest.get(&key).map(|(_, v)| v);
        if old.is_none() && value.is_empty() {
            return false;
        }
        let is_changed = old != Some(&value);
        self.written_at.insert(key.clone(), Instant::now());
        if !is_changed {
            return false;
        }
        let at = self.end();
        if value.is_empty() {
            self.newest.remove(&key);
            self.written_at.remove(&key);
        } else {
            self.newest.insert(key.clone(), (at, value.clone()));
        }
        self.records.push(Written {
            at: Instant::now(),
            key,
            value,
        });
        true
    }

    /// Deletes the history; the newest record of each key remains.
    fn truncate(&mut self) {
        self.first = self.records.len();
    }

    fn expire(&mut self, limit: Duration) {
        let expired = self
            .written_at
            .iter()
            .filter(|(_, at)| at.elapsed() > limit);
        let expired: Vec<String> = expired.map(|(key, _)| key.clone()).collect();
        for key in expired {
            print_entry_change(&key, &Bytes::new());
            self.put(key, Bytes::new());
        }
    }
}

fn print_entry_change(key: &str, value: &Bytes) {
    let entry: serde_json::Value = serde_json::from_slice(value).unwrap_or_default();
    print_run(&EntryChange {
        entry: key.to_owned(),
        state: entry["state"].as_str().unwrap_or_default().to_owned(),
        stored_ms: wall_ms(),
    });
}

pub(crate) fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}

struct Server {
    knobs: RefCell<Knobs>,
    streams: RefCell<HashMap<String, Stream>>,
    changed: watch::Sender<u64>,
    calls: Cell<u64>,
    era: Cell<u64>,
}

impl Keyed {
    /// Starts a store on the current runtime.
    ///
    /// # Errors
    /// Fails if `addr` can't be listened on.
    pub async fn bind(addr: SocketAddr) -> io::Result<Self> {
        let server = Rc::new(Server {
            knobs: RefCell::default(),
            streams: RefCell::default(),
            changed: watch::Sender::new(0),
            calls: Cell::default(),
            era: Cell::new(1),
        });
        compio::runtime::spawn(server.clone().expire()).detach();
        let addr = serve(addr, server).await?;
        Ok(Self { addr })
    }
}

impl Handler for Server {
    async fn handle(self: Rc<Self>, request: BufferedRequest) -> Option<Response<ResponseBody>> {
        if (&request.method, request.path.as_str()) == (&Method::POST, "/knobs") {
            return Some(self.set_knobs(&request));
        }
        if request.path == "/truncate" {
            return Some(self.truncate(&request));
        }
        if request.path == "/calls" {
            return Some(json_reply(&self.calls.get()));
        }
        self.calls.set(self.calls.get() + 1);
        let (fault, delay_ms) = {
            let knobs = self.knobs.borrow();
            (knobs.fault, knobs.delay_ms)
        };
        compio::time::sleep(Duration::from_millis(delay_ms)).await;
        let response = match (fault, request.path.as_str()) {
            (Fault::Busy, _) => status(StatusCode::SERVICE_UNAVAILABLE),
            (Fault::Many, _) => status(StatusCode::TOO_MANY_REQUESTS),
            (Fault::Cut, _) => return None,
            (Fault::Silent, _) => std::future::pending().await,
            (Fault::None, "/log-append") => self.append(&request)?,
            (Fault::None, "/log-read") => self.read(&request).await,
            (Fault::None, "/log-newest") => self.newest(&request),
            (Fault::None, _) => status(StatusCode::NOT_FOUND),
        };
        Some(self.with_era(response))
    }
}

impl Server {
    fn set_knobs(&self, request: &BufferedRequest) -> Response<ResponseBody> {
        let Ok(knobs) = serde_json::from_slice::<Knobs>(&request.body) else {
            return status(StatusCode::BAD_REQUEST);
        };
        if knobs.forget {
            for stream in self.streams.borrow_mut().values_mut() {
                stream.truncate();
            }
        }
        if knobs.restore_age_ms > 0 {
            self.restore(knobs.restore_age_ms);
        }
        *self.knobs.borrow_mut() = knobs;
        status(StatusCode::OK)
    }

    /// Replaces every stream by a copy of age `age_ms`.
    fn restore(&self, age_ms: u64) {
        let now = Instant::now();
        let then = now.checked_sub(Duration::from_millis(age_ms));
        let then = then.unwrap_or(now);
        for stream in self.streams.borrow_mut().values_mut() {
            stream.restore(then);
        }
        self.era.set(self.era.get() + 1);
        print_run(&Restore {
            era: self.era.get(),
            age_ms,
            restored_ms: wall_ms(),
        });
        self.changed.send_modify(|n| *n += 1);
    }

    fn with_era(&self, mut response: Response<ResponseBody>) -> Response<ResponseBody> {
        let set = &self.knobs.borrow().era_header;
        let era = if set.is_empty() {
            Ok(self.era.get().into())
        } else {
            HeaderValue::from_str(set)
        };
        if let Ok(era) = era {
            response.headers_mut().insert(ERA_HEADER, era);
        }
        response
    }

    /// Truncates the stream given in the query, or every stream, whatever fault is set.
    fn truncate(&self, request: &BufferedRequest) -> Response<ResponseBody> {
        let only: Option<String> = request.query("stream_name");
        let mut streams = self.streams.borrow_mut();
        let is_chosen = |name: &String| only.as_ref().is_none_or(|only| only == name);
        let chosen = streams.iter_mut().filter(|(name, _)| is_chosen(name));
        for (_, stream) in chosen {
            stream.truncate();
        }
        status(StatusCode::OK)
    }

    async fn expire(self: Rc<Self>) {
        loop {
            compio::time::sleep(Duration::from_millis(100)).await;
            let limit_ms = self.knobs.borrow().lapse_ms;
            if limit_ms == 0 {
                continue;
            }
            if let Some(stream) = self.streams.borrow_mut().get_mut(UPSTREAM_STREAM) {
                stream.expire(Duration::from_millis(limit_ms));
            }
            self.changed.send_modify(|n| *n += 1);
        }
    }

    fn append(&self, request: &BufferedRequest) -> Option<Response<ResponseBody>> {
        let name: String = request.query("stream_name")?;
        let is_of_upstreams = name == UPSTREAM_STREAM;
        let mut body = request.body.clone();
        let mut streams = self.streams.borrow_mut();
        let stream = streams.entry(name).or_default();
        let position = stream.end();
        while body.len() > 4 {
            let record_bytes = body.get_u32() as usize;
            let mut record = body.split_to(record_bytes.min(body.len()));
            let key_bytes = usize::from(record.get_u8());
            let key = record.split_to(key_bytes);
            let key = String::from_utf8_lossy(&key).into_owned();
            // A write that changes nothing still tells that the restored value is meant.
            let is_confirmed = stream.restored.remove(&key);
            let is_changed = stream.put(key.clone(), record.clone());
            if (is_changed || is_confirmed) && is_of_upstreams {
                print_entry_change(&key, &record);
            }
        }
        let reply = json!({ "position": position, "end_offset": stream.end() });
        self.changed.send_modify(|n| *n += 1);
        let mut knobs = self.knobs.borrow_mut();
        if knobs.drop_replies > 0 {
            knobs.drop_replies -= 1;
            return None;
        }
        Some(json_reply(&reply))
    }

    async fn read(&self, request: &BufferedRequest) -> Response<ResponseBody> {
        let name: String = request.query("stream_name").unwrap_or_default();
        let from: u64 = request.query("from").unwrap_or(0);
        let wait_ms: u64 = request.query("wait_ms").unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut changed = self.changed.subscribe();
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if self.can_answer(&name, from) || remaining.is_zero() {
                return self.records(&name, from);
            }
            let _ = compio::time::timeout(remaining, changed.changed()).await;
        }
    }

    fn can_answer(&self, name: &str, from: u64) -> bool {
        let streams = self.streams.borrow();
        streams
            .get(name)
            .is_some_and(|s| s.end() != from || from < s.first as u64)
    }

    fn records(&self, name: &str, from: u64) -> Response<ResponseBody> {
        let mut streams = self.streams.borrow_mut();
        let stream = streams.entry(name.to_owned()).or_default();
        if from < stream.first as u64 || from > stream.end() {
            let mut gone = json_reply(&json!({ "start_offset": stream.first }));
            *gone.status_mut() = StatusCode::GONE;
            return gone;
        }
        let mut body = BytesMut::new();
        body.put_u64(stream.end());
        body.put_u64(stream.first as u64);
        let at = usize::try_from(from).unwrap_or(usize::MAX);
        for Written { key, value, .. } in stream.records.iter().skip(at) {
            body.put_u32(u32::try_from(1 + key.len() + value.len()).unwrap_or_default());
            body.put_u8(u8::try_from(key.len()).unwrap_or_default());
            body.put_slice(key.as_bytes());
            body.put_slice(value);
        }
        let mut knobs = self.knobs.borrow_mut();
        if knobs.garble_reads > 0 {
            knobs.garble_reads -= 1;
            body.put_slice(b"\xff\xff\xff\xff");
        }
        Response::new(ResponseBody::Full(Some(body.freeze())))
    }

    fn newest(&self, request: &BufferedRequest) -> Response<ResponseBody> {
        let name: String = request.query("stream_name").unwrap_or_default();
        let after: String = request.query("after").unwrap_or_default();
        let is_hidden = self.knobs.borrow().hidden == name;
        let mut streams = self.streams.borrow_mut();
        let stream = streams.entry(name).or_default();
        let rest = stream.newest.iter().filter(|(key, _)| **key > after);
        let rest = rest.filter(|_| !is_hidden);
        let remaining = rest.clone().count();
        let entry = |(key, (at, value)): (&String, &(u64, Bytes))| json!({ "key": key, "data": BASE64_STANDARD.encode(value), "position": at });
        let entries: Vec<_> = rest.take(PAGE_ENTRIES).map(entry).collect();
        json_reply(&json!({
            "entries": entries,
            "more": remaining > PAGE_ENTRIES,
            "end_offset": stream.end(),
        }))
    }
}
