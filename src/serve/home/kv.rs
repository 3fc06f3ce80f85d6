//! Transfers a chat's KV cache between engines.

use std::time::Duration;

use serde::Serialize;
use snafu::Snafu;

use crate::decide::ChatKey;
use crate::time_limit::within;
use crate::util::read_body;

/// A transfer that takes longer costs more than the prefill it avoids.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest answer, which is a number.
const MAX_ANSWER_BYTES: usize = 1 << 10;

#[derive(Debug, Snafu)]
pub(crate) enum KvError {
    #[snafu(display("{source}"), context(false))]
    Call { source: cyper::Error },
    #[snafu(display("{source}"), context(false))]
    Encode { source: serde_json::Error },
    #[snafu(display("the engine answered the KV export with status {status}"))]
    Refused { status: http::StatusCode },
    #[snafu(display("KV export timed out"))]
    TimedOut,
}

#[derive(Serialize)]
struct Export<'a> {
    key: u64,
    to: &'a str,
}

/// Asks the engine at `from` to send the cache of `chat` to the engine at `to`. Both are an IP
/// address and port. Returns the number of tokens moved.
pub(crate) async fn export(
    http: &cyper::Client,
    from: &str,
    to: &str,
    chat: ChatKey,
) -> Result<u32, KvError> {
    let call = async {
        let body = serde_json::to_string(&Export { key: chat.0, to })?;
        let request = http.post(format!("http://{from}/kv/export"))?.body(body);
        let response = request.send().await?;
        let status = response.status();
        if !status.is_success() {
            return RefusedSnafu { status }.fail();
        }
        let body = read_body(response, MAX_ANSWER_BYTES).await?;
        Ok(serde_json::from_slice(&body)?)
    };
    let exported = within(EXPORT_TIMEOUT, call).await;
    exported.unwrap_or(Err(KvError::TimedOut))
}
