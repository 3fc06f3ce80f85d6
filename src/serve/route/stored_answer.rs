//! Answers to non-idempotent requests, stored for re-sends.

use tokio::sync::mpsc;

use crate::schema::peer::frame::Body;
use crate::schema::peer::{End, Head, Header};
use crate::schema::records::{Claim, Outcome};
use crate::serve::route::dispatch::Started;

/// Longer answers are not stored; a re-send then gets only the status.
const MAX_STORED_BYTES: usize = 64 << 10;

/// Returns the outcome of a run whose end is unknown.
pub(crate) fn unknown(claim: &Claim) -> Outcome {
    Outcome {
        id: claim.id.clone(),
        key: claim.key.clone(),
        ..Outcome::default()
    }
}

/// Records an answer to store it as an outcome.
pub(crate) struct Recorder {
    status: u32,
    content_type: String,
    body: Vec<u8>,
    too_long: bool,
    complete: bool,
}

impl Recorder {
    pub(crate) fn new(first: &Body) -> Self {
        let head = match first {
            Body::Head(head) => head.clone(),
            _ => Head::default(),
        };
        let content_type = head.headers.iter().find(|h| h.name == "content-type");
        let content_type = content_type.map(|h| String::from_utf8_lossy(&h.value).into_owned());
        Self {
            status: head.status,
            content_type: content_type.unwrap_or_default(),
            body: Vec::new(),
            too_long: false,
            complete: false,
        }
    }

    pub(crate) fn record(&mut self, body: &Body) {
        match body {
            Body::Chunk(data) if self.body.len() + data.len() <= MAX_STORED_BYTES => {
                self.body.extend_from_slice(data);
            }
            Body::Chunk(_) => self.too_long = true,
            Body::End(_) => self.complete = true,
            Body::Head(_) | Body::Refused(_) => {}
        }
    }

    pub(crate) fn outcome(self, claim: &Claim) -> Outcome {
        if !self.complete {
            return unknown(claim);
        }
        let text = String::from_utf8(self.body).ok();
        let body_left_out = self.too_long || text.is_none();
        let body = text.filter(|_| !body_left_out);
        Outcome {
            status: self.status,
            content_type: self.content_type,
            body: body.unwrap_or_default(),
            body_left_out,
            ..unknown(claim)
        }
    }
}

/// Replays a stored answer.
pub(crate) fn replay(outcome: Outcome) -> Started {
    let (tx, rest) = mpsc::channel(2);
    let stored = if outcome.body_left_out {
        "status"
    } else {
        "whole"
    };
    let headers = [
        ("content-type", outcome.content_type.as_str()),
        ("x-kept-answer", stored),
    ];
    let headers = headers.map(|(name, value)| Header {
        name: name.to_owned(),
        value: value.as_bytes().to_vec(),
    });
    let first = Body::Head(Head {
        status: outcome.status,
        headers: headers.to_vec(),
        ..Head::default()
    });
    // Two frames fit the channel, so neither send can fail.
    let _ = tx.try_send(Body::Chunk(outcome.body.into_bytes()));
    let _ = tx.try_send(Body::End(End { chunks: 1 }));
    Started { first, rest }
}
