//! How the end of an answer is marked, by its head.
#![allow(clippy::unwrap_used, reason = "helpers of tests, which may panic")]

use http::Response;
use papayamux_state::answer_framing::AnswerFraming;
use papayamux_transport::http::upstream::answer_framing;

type HeaderLines = [(&'static str, &'static str)];

fn framing(status: u16, headers: &HeaderLines) -> AnswerFraming {
    let mut builder = Response::builder().status(status);
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    answer_framing(&builder.body(()).unwrap().into_parts().0)
}

#[test]
fn framing_follows_from_the_head() {
    use AnswerFraming::{Chunks, CloseDelimited, Length};
    let cases: [(u16, &HeaderLines, AnswerFraming); 9] = [
        (200, &[("content-length", "11")], Length),
        (200, &[("transfer-encoding", "chunked")], Chunks),
        (200, &[("transfer-encoding", "gzip, Chunked")], Chunks),
        (200, &[("transfer-encoding", "gzip")], CloseDelimited),
        (200, &[("transfer-encoding", "chunked"), ("content-length", "11")], Chunks),
        (200, &[], CloseDelimited),
        (200, &[("connection", "close")], CloseDelimited),
        (204, &[], Length),
        (304, &[], Length),
    ];
    for (status, headers, expected) in cases {
        assert_eq!(framing(status, headers), expected, "{status} {headers:?}");
    }
}
