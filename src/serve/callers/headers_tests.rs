use http::{HeaderMap, HeaderName, HeaderValue};
use test_case::test_case;

use super::*;

fn headers(pairs: &[(&'static str, &str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        let value = HeaderValue::from_bytes(value.as_bytes()).unwrap();
        headers.append(HeaderName::from_static(name), value);
    }
    headers
}

fn account(priority: &str) -> Account {
    Account {
        priority: priority.to_owned(),
        ..Account::default()
    }
}

#[test_case("", "", Priority::Normal; "none requested, none set")]
#[test_case("", "urgent", Priority::Normal; "urgent is capped if none is set")]
#[test_case("urgent", "urgent", Priority::Urgent; "urgent is allowed")]
#[test_case("urgent", "batch", Priority::Batch; "a lower priority may be requested")]
#[test_case("batch", "urgent", Priority::Batch; "batch accounts stay batch")]
#[test_case("batch", "", Priority::Batch; "batch accounts default to batch")]
fn priority_is_capped_by_the_account(allowed: &str, requested: &str, expected: Priority) {
    let sent = match requested {
        "" => HeaderMap::new(),
        requested => headers(&[(PRIORITY, requested)]),
    };
    let options = options(&sent, &account(allowed), 1).unwrap();
    assert_eq!(options.priority, expected);
}

#[test_case(&[(PRIORITY, "URGENT!")], "x-priority: must be one of urgent, normal, batch"; "priority")]
#[test_case(&[(DEADLINE_MS, "0")], "x-deadline-ms: must be a whole number from 1 to 3600000"; "zero")]
#[test_case(&[(DEADLINE_MS, "+5")], "x-deadline-ms: must be a whole number from 1 to 3600000"; "sign")]
#[test_case(&[(DEADLINE_MS, "1.5")], "x-deadline-ms: must be a whole number from 1 to 3600000"; "fraction")]
#[test_case(&[(DEADLINE_MS, "99999999999999999999")], "x-deadline-ms: must be a whole number from 1 to 3600000"; "overflow")]
#[test_case(&[(DEADLINE_MS, "5"), (DEADLINE_MS, "6")], "x-deadline-ms: given more than once"; "twice")]
#[test_case(&[(IDEMPOTENCY_KEY, "a"), (IDEMPOTENCY_KEY, "a")], "idempotency-key: given more than once"; "key twice")]
#[test_case(&[(IDEMPOTENCY_KEY, "")], "idempotency-key: must be 1 to 255 visible ASCII characters"; "empty key")]
#[test_case(&[(IDEMPOTENCY_KEY, "z\u{fc}g")], "idempotency-key: must be 1 to 255 visible ASCII characters"; "key beyond ASCII")]
fn bad_headers_are_refused_by_name(sent: &[(&'static str, &str)], message: &str) {
    let error = options(&headers(sent), &account("urgent"), 1).unwrap_err();
    assert_eq!(error.to_string(), message);
    assert!(!error.is_size_limit());
}

#[test]
fn keys_over_the_length_limit_are_refused() {
    let key = "k".repeat(MAX_KEY_BYTES + 1);
    let sent = headers(&[(IDEMPOTENCY_KEY, &key)]);
    assert!(options(&sent, &account(""), 1).is_err());
}

#[test]
fn header_count_and_size_are_limited() {
    let fits = headers(&[("a", "12345"), ("b", "12345")]);
    assert_eq!(check_size(&fits, 20), Ok(()));
    assert!(check_size(&fits, 19).unwrap_err().is_size_limit());
    let many = headers(&vec![("a", ""); MAX_HEADERS + 1]);
    assert!(check_size(&many, 1 << 20).unwrap_err().is_size_limit());
}
