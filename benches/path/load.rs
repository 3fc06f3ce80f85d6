//! Callers of the benchmark.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use http::HeaderMap;

use crate::BoxError;
use crate::fleet::{Fleet, RequestKind, Route};

/// Result of a throughput run.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoadResult {
    pub(crate) answered: u32,
    pub(crate) failed: u32,
    pub(crate) took: Duration,
}

/// Sends a request and returns the time until its whole answer has been read.
pub(crate) async fn timed_request(
    client: &cyper::Client,
    fleet: &Fleet,
    kind: &RequestKind,
    route: Route,
) -> Result<Duration, BoxError> {
    let url = fleet.url(kind, route);
    let start = Instant::now();
    let headers = send_request(client, &url, fleet.account_key(), &kind.body).await?;
    let took = start.elapsed();
    let home = headers.get("x-home").map(|v| v.as_bytes().to_vec());
    // An unexpected home means that the request did not take the route to be measured.
    let expected = (route != Route::Direct).then(|| b"router-1".to_vec());
    if home != expected {
        return Err(format!("route {route}: x-home was {home:?}, expected {expected:?}").into());
    }
    Ok(took)
}

/// Sends a request, reads its whole answer and returns the response headers.
async fn send_request(
    client: &cyper::Client,
    url: &str,
    key: &str,
    body: &str,
) -> Result<HeaderMap, BoxError> {
    let request = client
        .post(url)?
        .bearer_auth(key)?
        .header("x-request-id", "bench")?;
    let response = request.body(body.to_owned()).send().await?;
    let status = response.status();
    if !status.is_success() {
        return Err(format!("{url}: status {status}: {}", response.text().await?).into());
    }
    let headers = response.headers().clone();
    response.bytes().await?;
    Ok(headers)
}

/// Runs closed-loop callers on `threads` threads against the home router for `length`.
pub(crate) fn generate_load(
    fleet: &Fleet,
    kind: &RequestKind,
    callers: u32,
    threads: u32,
    duration: Duration,
) -> Result<LoadResult, BoxError> {
    let url = fleet.url(kind, Route::Router);
    let start = Instant::now();
    let counts = std::thread::scope(|scope| {
        let spawn = |_| {
            let (url, key, body) = (&url, fleet.account_key(), &kind.body);
            scope.spawn(move || run_callers(url, key, body, callers / threads, duration))
        };
        let running: Vec<_> = (0..threads).map(spawn).collect();
        let results = running.into_iter().map(|t| t.join());
        results.collect::<Result<Vec<LoadResult>, _>>()
    });
    let counts = counts.map_err(|_| "a caller thread panicked")?;
    Ok(LoadResult {
        answered: counts.iter().map(|c| c.answered).sum(),
        failed: counts.iter().map(|c| c.failed).sum(),
        took: start.elapsed(),
    })
}

fn run_callers(url: &str, key: &str, body: &str, callers: u32, duration: Duration) -> LoadResult {
    let result = Rc::new(Cell::new(LoadResult::default()));
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let client = cyper::Client::new().unwrap();
        let end = Instant::now() + duration;
        let caller = |_| async {
            while Instant::now() < end {
                let answered = send_request(&client, url, key, body).await.is_ok();
                let mut counts = result.get();
                counts.answered += u32::from(answered);
                counts.failed += u32::from(!answered);
                result.set(counts);
            }
        };
        join_all((0..callers).map(caller)).await;
    });
    result.get()
}
