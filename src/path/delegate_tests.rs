use super::delegate::{decode, decode_head, encode_head};
use super::refusal::Refused;
use crate::decide::Origin;
use crate::decide::refusal::{Cause, RunState};
use crate::peers::frames;
use crate::platform::Headers;
use crate::schema::peer::{DelegatedHead, DelegatedRequest};
use http::HeaderValue;
use test_case::test_case;

/// A stream goes on through another router, which draws among all upstreams unless it is told where
/// the stream began. A version without a name is another one than the empty name.
#[test_case(None; "unnamed")]
#[test_case(Some(""); "empty")]
#[test_case(Some("2.1"); "named")]
fn origin_reaches_the_other_router(software: Option<&str>) {
    let origin = Origin {
        service: "s".into(),
        software: software.map(Into::into),
    };
    let request = DelegatedRequest {
        method: "POST".to_owned(),
        target: "/x/1".to_owned(),
        resume_after: Some(7),
        origin: Some((&origin).into()),
        ..DelegatedRequest::default()
    };
    let received = decode::<Headers>(&frames::to_vec(&request).unwrap()).unwrap();
    assert_eq!(received.delegated.origin, Some(origin));
    assert_eq!(received.head.resume_after, Some(7));
}

/// A router that is the home of one brittle upstream must not send the request to another one.
#[test_case("", None)]
#[test_case("i-7", Some("i-7"))]
fn chosen_upstream_reaches_its_home(upstream: &str, chosen: Option<&str>) {
    let request = DelegatedRequest {
        method: "GET".to_owned(),
        target: "/x/1".to_owned(),
        upstream: upstream.to_owned(),
        ..DelegatedRequest::default()
    };
    let received = decode::<Headers>(&frames::to_vec(&request).unwrap()).unwrap();
    assert_eq!(received.delegated.upstream.as_deref(), chosen);
}

/// An upstream may have run the request before it was delegated, and the other router refuses it.
/// The caller must not be told that it didn't run.
#[test]
fn refusal_by_another_router_counts_earlier_runs() {
    let refused = || Refused::not_run(Cause::NoUpstream, 300, "none left");
    let unrun = refused().after(0);
    assert_eq!((unrun.run, unrun.retry_after_ms), (RunState::NotRun, 300));
    let run = refused().after(1);
    assert_eq!((run.run, run.retry_after_ms), (RunState::Unknown, 0));
}

/// A router tells how often it may run the request, and the other one resumes the stream as if it had run
/// less often.
#[test]
fn head_of_a_delegated_answer_is_decoded() {
    let head = DelegatedHead {
        runs: 2,
        origin: None,
    };
    let value = HeaderValue::try_from(encode_head(&head)).unwrap();
    assert_eq!(decode_head(&value), Some(head));
}

/// A router of an earlier release doesn't tell how often it runs the request. Another run could exceed the
/// limit of its route.
#[test_case("1"; "earlier release")]
#[test_case(""; "not encoded")]
fn head_that_says_nothing_is_no_permission_to_resume(value: &'static str) {
    assert_eq!(decode_head(&HeaderValue::from_static(value)), None);
}
