//! Upstream in the test's own process, whose answers the test writes byte by byte.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use socket2::{Domain, SockRef, Socket, Type};

/// Small, so that most of a long upload has to wait until it is read.
const RECEIVE_BUFFER_BYTES: usize = 8 << 10;
const BACKLOG: i32 = 128;
/// Upper limit that ends a hanging test.
const READ_LIMIT: Duration = Duration::from_secs(30);
/// Placeholder for the id of the request in the bytes of an answer.
const ID: &str = "{id}";
/// Answer of a sound upstream.
const SOUND: &str = "HTTP/1.1 200 OK\r\nattempt-id: {id}\r\nx-request-id: {id}\r\nserver-signature: s\r\n\
                     content-length: 2\r\n\r\nok";
/// Headers that carry the request's id, in either dialect.
const ID_HEADERS: [&str; 2] = ["attempt-id", "x-request-id"];

/// What the upstream does about one request, in order.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// Sends bytes, in which `{id}` stands for the id of the request.
    Send(String),
    Pause(Duration),
    /// Ends its own side in order.
    EndSending,
    /// Reads until the router ends its side.
    ReadToEnd,
    /// Sends the same bytes until the router closes the connection.
    Repeat(String),
    /// Resets the connection.
    Reset,
}

/// How much of a request the upstream reads before the first step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Reads {
    /// The head alone.
    Head,
    /// All of it.
    Whole,
}

/// An upstream that is sound until it is told to treat all requests in one way. It ends with the test's
/// process.
pub(crate) struct ScriptedUpstream {
    pub(crate) addr: SocketAddr,
    state: Arc<State>,
}

#[derive(Default)]
struct State {
    is_spoilt: AtomicBool,
    ids: Mutex<Vec<String>>,
}

impl ScriptedUpstream {
    /// Starts an upstream on a loopback port.
    pub(crate) fn bind(reads: Reads, steps: Vec<Step>) -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
        socket
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .unwrap();
        socket.listen(BACKLOG).unwrap();
        let listener: TcpListener = socket.into();
        let addr = listener.local_addr().unwrap();
        let state = Arc::<State>::default();
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (steps, state) = (steps.clone(), shared.clone());
                thread::spawn(move || serve(stream, reads, &steps, &state));
            }
        });
        Self { addr, state }
    }

    /// Whether a request reached the upstream.
    pub(crate) fn has_met_any(&self) -> bool {
        !self.state.ids.lock().unwrap().is_empty()
    }

    /// Treats further requests as the steps say.
    pub(crate) fn spoil(&self) {
        self.state.ids.lock().unwrap().clear();
        self.state.is_spoilt.store(true, Ordering::SeqCst);
    }

    /// Whether request `id` reached the upstream since then.
    pub(crate) fn has_met(&self, id: &str) -> bool {
        self.state.ids.lock().unwrap().iter().any(|seen| seen == id)
    }
}

/// The head of an answer to the request, with these headers besides, each with its line end.
pub(crate) fn head(status: &str, headers: &str) -> Step {
    Step::Send(format!(
        "HTTP/1.1 {status}\r\nattempt-id: {ID}\r\nx-request-id: {ID}\r\n\
         server-signature: scripted\r\n{headers}\r\n"
    ))
}

struct Request {
    id: String,
    length: usize,
    /// Whether the request goes on with a stream.
    resumes: bool,
}

fn serve(mut stream: TcpStream, reads: Reads, steps: &[Step], state: &State) {
    stream.set_read_timeout(Some(READ_LIMIT)).unwrap();
    while let Some(request) = read_head(&mut stream) {
        let is_spoilt = state.is_spoilt.load(Ordering::SeqCst);
        state.ids.lock().unwrap().push(request.id.clone());
        if request.resumes {
            return reset(&stream);
        }
        let is_sound = !is_spoilt;
        if is_sound || reads == Reads::Whole {
            skip(&mut stream, request.length);
        }
        if is_sound {
            write(&mut stream, &request, SOUND);
            continue;
        }
        for step in steps {
            match step {
                Step::Send(bytes) => drop(write(&mut stream, &request, bytes)),
                Step::Pause(pause) => thread::sleep(*pause),
                Step::EndSending => drop(stream.shutdown(Shutdown::Write)),
                Step::ReadToEnd => drop(std::io::copy(&mut stream, &mut std::io::sink())),
                Step::Repeat(bytes) => while write(&mut stream, &request, bytes) {},
                Step::Reset => return reset(&stream),
            }
        }
        return;
    }
}

/// Sends bytes of an answer; returns whether the router took them.
fn write(stream: &mut TcpStream, request: &Request, bytes: &str) -> bool {
    let bytes = bytes.replace(ID, &request.id);
    stream.write_all(bytes.as_bytes()).is_ok()
}

/// Has the connection be reset when it is dropped.
fn reset(stream: &TcpStream) {
    let linger = Some(Duration::ZERO);
    SockRef::from(stream).set_linger(linger).unwrap();
}

/// Reads the head of the next request; returns `None` at the end of the connection.
fn read_head(stream: &mut TcpStream) -> Option<Request> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
    let header = |name: &str| {
        let mut lines = head.lines().filter_map(|line| line.split_once(':'));
        lines
            .find(|(n, _)| *n == name)
            .map(|(_, v)| v.trim().to_owned())
    };
    Some(Request {
        id: ID_HEADERS
            .iter()
            .find_map(|name| header(name))
            .unwrap_or_default(),
        length: header("content-length").map_or(0, |v| v.parse().unwrap()),
        resumes: header("last-event-id").is_some(),
    })
}

fn skip(stream: &mut TcpStream, bytes: usize) {
    let _ = std::io::copy(&mut stream.take(bytes as u64), &mut std::io::sink());
}
