//! Requests in flight: what is known of each, and a timeline event for each that ends without its
//! whole answer.
//!
//! Failure guarded against: a request ends with its connection or with the process, and no log line
//! says that this router had it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

use strum::IntoStaticStr;

use crate::event::{Events, Kind};
use crate::stats;
use crate::util::{self, Name};

/// Number of requests that a log line names.
const MAX_NAMED: usize = 20;

/// How far a request has come.
#[derive(Clone, Copy, Debug, Default, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Stage {
    /// It is being read.
    #[default]
    Reading,
    /// It waits for state, for its turn or between two attempts, and no upstream has run it.
    Waiting,
    /// It was sent to an upstream or to another router.
    Sent,
    /// An upstream may have run it, and it waits for another attempt.
    Retrying,
    /// Its answer is being sent.
    Answering,
}

/// Why a connection ends, for the requests that end with it.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionEnd(Rc<Cell<&'static str>>);

impl Default for ConnectionEnd {
    fn default() -> Self {
        Self(Rc::new(Cell::new(
            "the connection was closed by its other end",
        )))
    }
}

impl ConnectionEnd {
    pub(crate) fn set(&self, reason: &'static str) {
        self.0.set(reason);
    }
}

/// The requests that are in flight.
#[derive(Clone, Debug)]
pub(crate) struct Requests {
    events: Events,
    table: Rc<RefCell<Table>>,
}

#[derive(Debug, Default)]
struct Table {
    next: u64,
    by_number: BTreeMap<u64, Request>,
}

#[derive(Debug)]
struct Request {
    id: Option<Name>,
    stage: Stage,
    started: Instant,
    connection: ConnectionEnd,
    /// Whether its end needs no event: it is answered, or another module reports it.
    is_settled: bool,
}

impl Request {
    fn describe(&self) -> String {
        let stage: &'static str = self.stage.into();
        format!("{stage} after {} ms", self.started.elapsed().as_millis())
    }
}

impl Requests {
    pub(crate) fn new(events: Events) -> Self {
        Self {
            events,
            table: Rc::default(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.table.borrow().by_number.len()
    }

    /// Adds a request that arrived on the connection whose end is `connection`.
    pub(crate) fn begin(&self, connection: &ConnectionEnd) -> InFlight {
        let mut table = self.table.borrow_mut();
        let number = table.next;
        table.next += 1;
        let request = Request {
            id: None,
            stage: Stage::default(),
            started: Instant::now(),
            connection: connection.clone(),
            is_settled: false,
        };
        table.by_number.insert(number, request);
        InFlight(Tracker {
            requests: self.clone(),
            number,
        })
    }

    /// Names the oldest requests and how far they have come.
    pub(crate) fn describe(&self) -> String {
        let table = self.table.borrow();
        let named = table.by_number.values().filter_map(|request| {
            let id = request.id.as_deref()?;
            Some(format!("{id} ({})", request.describe()))
        });
        named.take(MAX_NAMED).collect::<Vec<_>>().join(", ")
    }

    /// Reports each request as cut because this process ends.
    pub(crate) fn report_stop(&self) {
        let mut table = self.table.borrow_mut();
        let open = table.by_number.values_mut().filter(|r| !r.is_settled);
        for request in open {
            request.is_settled = true;
            self.report(Kind::RequestCut, request, "the process ends");
        }
    }

    fn end(&self, number: u64) {
        let ended = self.table.borrow_mut().by_number.remove(&number);
        if let Some(request) = ended.filter(|r| !r.is_settled) {
            self.report(Kind::RequestCancelled, &request, request.connection.0.get());
        }
    }

    fn report(&self, kind: Kind, request: &Request, reason: &str) {
        let Some(id) = &request.id else {
            return;
        };
        stats::unanswered(request.stage.into());
        self.events.emit(kind, |e| {
            e.request_id = id.to_string();
            e.took_us = util::micros(request.started.elapsed());
            e.detail = format!("{reason}; {}", request.describe());
        });
    }
}

/// Counts a request as in flight until dropped. Unless it was settled, its end is reported then.
#[derive(Debug)]
pub(crate) struct InFlight(Tracker);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.requests.end(self.0.number);
    }
}

impl InFlight {
    /// Returns a handle for the module that handles the request.
    pub(crate) fn tracker(&self) -> Tracker {
        self.0.clone()
    }
}

/// Records how far a request in flight has come.
#[derive(Clone, Debug)]
pub(crate) struct Tracker {
    requests: Requests,
    number: u64,
}

impl Tracker {
    /// Sets the id by which events name the request. Requests without one are only counted.
    pub(crate) fn set_id(&self, id: Option<&str>) {
        self.update(|request| request.id = id.map(Name::from));
    }

    /// Sets how far the request has come. An answer that has begun goes on whatever is tried for its rest.
    pub(crate) fn set_stage(&self, stage: Stage) {
        self.update(|request| {
            if request.stage != Stage::Answering {
                request.stage = stage;
            }
        });
    }

    /// How far the request has come.
    pub(crate) fn stage(&self) -> Stage {
        let table = self.requests.table.borrow();
        let request = table.by_number.get(&self.number);
        request.map_or_else(Stage::default, |request| request.stage)
    }

    /// Records that the request is answered, or that another module reports its end.
    pub(crate) fn settle(&self) {
        self.update(|request| request.is_settled = true);
    }

    fn update(&self, change: impl FnOnce(&mut Request)) {
        let mut table = self.requests.table.borrow_mut();
        if let Some(request) = table.by_number.get_mut(&self.number) {
            change(request);
        }
    }
}
