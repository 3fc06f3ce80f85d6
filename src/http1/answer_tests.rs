use http::Response;
use test_case::test_case;

use super::answer::check;

/// Heads that the HTTP library takes for an answer and the protocol doesn't.
#[test_case(200, &[], true; "success")]
#[test_case(302, &[], true; "redirection")]
#[test_case(404, &[], true; "request error")]
#[test_case(599, &[], true; "last status")]
#[test_case(101, &[], false; "another protocol")]
#[test_case(199, &[], false; "informational")]
#[test_case(600, &[], false; "first status beyond the classes")]
#[test_case(999, &[], false; "greatest status")]
#[test_case(200, &[("transfer-encoding", "chunked")], true; "chunks")]
#[test_case(200, &[("transfer-encoding", " Chunked ")], true; "chunks in another spelling")]
#[test_case(200, &[("transfer-encoding", "gzip")], false; "coding without chunks")]
#[test_case(200, &[("transfer-encoding", "gzip, chunked")], false; "coding in chunks")]
#[test_case(200, &[("transfer-encoding", "chunked, gzip")], false; "chunks in a coding")]
#[test_case(200, &[("transfer-encoding", "chunked"), ("transfer-encoding", "chunked")], false; "chunks twice")]
#[test_case(200, &[("transfer-encoding", "identity")], false; "identity")]
#[test_case(200, &[("transfer-encoding", "chunked"), ("content-length", "4")], false; "chunks and a length")]
#[test_case(200, &[("content-length", "4")], true; "length")]
fn head_of_a_final_answer_is_told_from_others(
    status: u16,
    headers: &[(&str, &str)],
    is_answer: bool,
) {
    let mut response = Response::builder().status(status);
    for (name, value) in headers {
        response = response.header(*name, *value);
    }
    let (parts, ()) = response.body(()).unwrap().into_parts();
    assert_eq!(check(&parts).is_ok(), is_answer);
}
