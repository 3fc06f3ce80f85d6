use http_body_util::BodyExt;
use serde_json::Value;
use strum::IntoEnumIterator;

use http::header::RETRY_AFTER;

use super::*;
use crate::decide::refusal::Refusal;
use crate::peers::refuse::with_default_detail;

const OPERATIONS: &str = include_str!("../../../docs/OPERATIONS.md");

async fn body(response: Response<Answer>) -> Value {
    let bytes = response.into_body().collect().await.unwrap().to_bytes();
    serde_json::from_slice(&bytes).unwrap()
}

#[compio::test]
async fn every_cause_gives_a_typed_refusal() {
    for cause in Cause::iter() {
        for retry_after_ms in [0, 1, 1_500] {
            let refused = with_default_detail(&Refusal::not_run(cause, retry_after_ms));
            let response = response(&refused, "r-1");
            let code = response.status();
            assert!(code.is_client_error() || code.is_server_error(), "{cause}");
            let retry = response.headers().get(RETRY_AFTER).cloned();
            let seconds = retry.map(|v| v.to_str().unwrap().parse::<u64>().unwrap());
            let expected = (retry_after_ms > 0).then(|| retry_after_ms.div_ceil(1_000));
            assert_eq!(seconds, expected, "{cause}");
            let error = &body(response).await["error"];
            assert_eq!(error["cause"], cause.to_string());
            assert_eq!(error["run_state"], "not_run");
            assert_eq!(error["retry_after_ms"], retry_after_ms);
            assert_eq!(error["request_id"], "r-1");
            assert!(!error["message"].as_str().unwrap().is_empty());
        }
        let documented = OPERATIONS.contains(&format!("`{cause}`"));
        assert!(documented, "docs/OPERATIONS.md lacks {cause}");
    }
}

/// A caller whose request is not read must still receive a complete response.
#[test]
fn raw_refusal_has_its_content_length() {
    let refused = with_default_detail(&Refusal::not_run(Cause::ConnectionLimit, 1_000));
    let text = String::from_utf8(raw(&refused)).unwrap();
    let (head, body) = text.split_once("\r\n\r\n").unwrap();
    assert!(head.starts_with("HTTP/1.1 503 "), "{head}");
    assert!(
        head.contains(&format!("content-length: {}", body.len())),
        "{head}"
    );
    assert!(head.contains("retry-after: 1"), "{head}");
}
