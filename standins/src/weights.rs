//! The weight store: serves model weights at a limited rate.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use http::{Response, StatusCode};
use serde::Serialize;

use crate::http::{ResponseBody, json, status};

const WINDOW: Duration = Duration::from_secs(1);

#[derive(Serialize)]
struct Weights<'a> {
    name: &'a str,
}

/// Times of the fetches within the last second, and the number of all fetches.
#[derive(Default)]
pub(crate) struct WeightStore {
    recent: VecDeque<Instant>,
    pub(crate) fetched: u64,
}

impl WeightStore {
    /// Serves the weights `name`, or 429 after `per_s` fetches within a second; 0 sets no limit.
    pub(crate) fn fetch(&mut self, name: &str, per_s: u32) -> Response<ResponseBody> {
        while self.recent.front().is_some_and(|at| at.elapsed() > WINDOW) {
            self.recent.pop_front();
        }
        if per_s > 0 && self.recent.len() >= per_s as usize {
            return status(StatusCode::TOO_MANY_REQUESTS);
        }
        self.recent.push_back(Instant::now());
        self.fetched += 1;
        json(&Weights { name })
    }
}
