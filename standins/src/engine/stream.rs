//! A stream: the events generated so far and its readers.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::sync::{Notify, mpsc};

use super::prompt::Prompt;

/// The generated events of one request, kept so that a reader can resume.
pub(super) struct Stream {
    events: RefCell<Vec<String>>,
    ended: Cell<bool>,
    cancelled: Cell<bool>,
    readers: Cell<u32>,
    unread_since: Cell<Instant>,
    changed: Notify,
}

impl Stream {
    pub(super) fn new() -> Rc<Self> {
        Rc::new(Self {
            events: RefCell::default(),
            ended: Cell::new(false),
            cancelled: Cell::new(false),
            readers: Cell::new(0),
            unread_since: Cell::new(Instant::now()),
            changed: Notify::new(),
        })
    }

    pub(super) fn push(&self, event: String) {
        self.events.borrow_mut().push(event);
        self.changed.notify_waiters();
    }

    pub(super) fn end(&self) {
        self.ended.set(true);
        self.changed.notify_waiters();
    }

    pub(super) fn cancel(&self) {
        self.cancelled.set(true);
    }

    /// Whether the stream was cancelled or has had no reader for longer than `grace`.
    pub(super) fn is_abandoned(&self, grace: Duration) -> bool {
        let has_no_reader = self.readers.get() == 0 && self.unread_since.get().elapsed() > grace;
        self.cancelled.get() || has_no_reader
    }

    /// Sends the events from `offset` on; if `cut` is set, cuts the connection after the first.
    pub(super) fn read(
        self: &Rc<Self>,
        offset: usize,
        cut: bool,
    ) -> mpsc::Receiver<io::Result<Bytes>> {
        let (tx, rx) = mpsc::channel(16);
        let this = self.clone();
        compio::runtime::spawn(async move {
            this.readers.set(this.readers.get() + 1);
            this.send_events(offset, cut, tx).await;
            this.readers.set(this.readers.get() - 1);
            this.unread_since.set(Instant::now());
        })
        .detach();
        rx
    }

    async fn send_events(&self, offset: usize, cut: bool, tx: mpsc::Sender<io::Result<Bytes>>) {
        let mut next = offset;
        loop {
            let changed = self.changed.notified();
            let event = self.events.borrow().get(next).cloned();
            match event {
                Some(event) => {
                    next += 1;
                    if tx.send(Ok(event.into())).await.is_err() {
                        return;
                    }
                    if cut {
                        // The reader may have disconnected already.
                        let _ = tx
                            .send(Err(io::Error::other("stream cut by the cut_streams knob")))
                            .await;
                        return;
                    }
                }
                None if self.ended.get() => return,
                None => {
                    let disconnected = tx.closed();
                    futures_util::pin_mut!(changed, disconnected);
                    if let futures_util::future::Either::Right(_) =
                        futures_util::future::select(changed, disconnected).await
                    {
                        return;
                    }
                }
            }
        }
    }
}

pub(super) fn chunk(id: &str, model: &str, index: u32, content: &str) -> String {
    let value = serde_json::json!({
        "id": id,
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [{ "index": 0, "delta": { "content": content } }],
    });
    format!("id: {index}\ndata: {value}\n\n")
}

pub(super) fn last_chunk(id: &str, prompt: &Prompt, cached: u32) -> String {
    let value = serde_json::json!({
        "id": id,
        "object": "chat.completion.chunk",
        "model": prompt.model,
        "choices": [{ "index": 0, "delta": {}, "finish_reason": "stop" }],
        "usage": {
            "prompt_tokens": prompt.tokens,
            "completion_tokens": prompt.max_tokens,
            "prompt_tokens_details": { "cached_tokens": cached },
        },
    });
    format!("data: {value}\n\ndata: [DONE]\n\n")
}
