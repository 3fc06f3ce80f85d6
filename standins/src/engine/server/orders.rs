//! Orders to load a model, adapter or version, or to change role.

use std::collections::HashMap;
use std::time::Duration;

use http::{Response, StatusCode};
use serde::{Deserialize, Serialize};

use super::Server;
use crate::http::{BufferedRequest, ResponseBody, get, json, status};

const FETCH_TRIES: u32 = 100;
const FETCH_PAUSE: Duration = Duration::from_millis(100);

#[derive(Clone, Debug, Default, Deserialize)]
struct Order {
    fencing: u64,
    action: String,
    value: String,
}

/// The accepted orders, by action, and the highest fencing number.
#[derive(Serialize)]
struct Loaded<'a> {
    fencing: u64,
    values: &'a HashMap<String, String>,
}

impl Server {
    pub(super) async fn order(&self, request: &BufferedRequest) -> Response<ResponseBody> {
        let Ok(order) = serde_json::from_slice::<Order>(&request.body) else {
            return status(StatusCode::BAD_REQUEST);
        };
        if self.is_fenced(&order) {
            return status(StatusCode::CONFLICT);
        }
        if !self.fetch_weights(&order).await {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        // A newer order may have been accepted while the weights were fetched.
        if self.is_fenced(&order) {
            return status(StatusCode::CONFLICT);
        }
        let mut state = self.state.borrow_mut();
        state.fencing = state.fencing.max(order.fencing);
        state.loaded.insert(order.action, order.value);
        status(StatusCode::OK)
    }

    fn is_fenced(&self, order: &Order) -> bool {
        let state = self.state.borrow();
        state.knobs.honour_fencing && order.fencing < state.fencing
    }

    /// Fetches the weights for a load order, with retries while the store limits its rate; returns
    /// whether the weights are there.
    async fn fetch_weights(&self, order: &Order) -> bool {
        let store = self.state.borrow().knobs.weight_store.clone();
        if store.is_empty() || !order.action.starts_with("load_") {
            return true;
        }
        let url = format!("http://{store}/weights/{}", order.value);
        for _ in 0..FETCH_TRIES {
            if get(&url).await.is_ok() {
                return true;
            }
            compio::time::sleep(FETCH_PAUSE).await;
        }
        false
    }

    pub(super) fn loaded(&self) -> Response<ResponseBody> {
        let state = self.state.borrow();
        json(&Loaded {
            fencing: state.fencing,
            values: &state.loaded,
        })
    }
}
