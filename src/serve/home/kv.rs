//! Transfers a chat's KV cache between engines.

use std::net::AddrParseError;
use std::time::Duration;

use http::Request;
use http_body_util::{BodyExt, Full, Limited};
use serde::Serialize;
use snafu::{ResultExt, Snafu};

use crate::decide::ChatKey;
use crate::http1::{Client, ClientError};
use crate::time_limit::within;

/// A transfer that takes longer costs more than the prefill it avoids.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest answer, which is a number.
const MAX_ANSWER_BYTES: usize = 1 << 10;

#[derive(Debug, Snafu)]
pub(crate) enum KvError {
    #[snafu(display("{source}"), context(false))]
    Call { source: ClientError },
    #[snafu(display("{source}"), context(false))]
    Addr { source: AddrParseError },
    #[snafu(display("{source}"), context(false))]
    Request { source: http::Error },
    #[snafu(display("the answer can't be read: {source}"))]
    Body {
        source: Box<dyn std::error::Error + Send + Sync>,
    },
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
    http: &Client,
    from: &str,
    to: &str,
    chat: ChatKey,
) -> Result<u32, KvError> {
    let call = async {
        let body = serde_json::to_string(&Export { key: chat.0, to })?;
        let request = Request::post("/kv/export").body(Full::new(body.into()))?;
        let (response, connection) = http.send(from.parse()?, request).await?;
        let status = response.status();
        if !status.is_success() {
            return RefusedSnafu { status }.fail();
        }
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
        let body = body.collect().await.context(BodySnafu)?.to_bytes();
        http.put_back(connection);
        Ok(serde_json::from_slice(&body)?)
    };
    let exported = within(EXPORT_TIMEOUT, call).await;
    exported.unwrap_or(Err(KvError::TimedOut))
}
