//! How the end of an answer is marked, and how each client reads answers that a server completes or
//! breaks off.
#![allow(clippy::unwrap_used, clippy::panic, reason = "helpers of tests, which may panic")]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use papayamux_state::answer_framing::AnswerFraming;
use papayamux_transport::http::upstream::{answer_framing, PoolLimits, UpstreamPool};
use papayamux_transport::http::HttpClient;
use papayamux_transport::runtime;
use socket2::SockRef;

/// Time after which an answer that makes no progress counts as unfinished.
const STALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which bytes that were written have been read at the other end.
const READ_DELAY: Duration = Duration::from_millis(50);

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

/// How a server ends the connection after an answer.
#[derive(Debug, Clone, Copy)]
enum ConnectionEnd {
    /// In order, by a FIN.
    Close,
    /// By a reset.
    Reset,
    /// Not at all.
    Open,
}

/// What a client makes of an answer.
#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    /// Certainly the whole body.
    Whole(&'static str),
    /// A body that may lack its end.
    Unmarked(&'static str),
    /// A body that broke off.
    Truncated,
    /// No further piece arrives.
    Unfinished,
}

struct Case {
    answer: &'static str,
    end: ConnectionEnd,
    expected: Outcome,
}

const fn case(answer: &'static str, end: ConnectionEnd, expected: Outcome) -> Case {
    Case { answer, end, expected }
}

const CASES: [Case; 21] = {
    use ConnectionEnd::{Close, Open, Reset};
    use Outcome::{Truncated, Unfinished, Unmarked, Whole};
    [
        case("HTTP/1.1 200 S\r\ncontent-length: 2\r\n\r\nok", Open, Whole("ok")),
        case(
            "HTTP/1.1 200 S\r\ncontent-length: 2\r\nconnection: close\r\n\r\nok",
            Close,
            Whole("ok"),
        ),
        case("HTTP/1.1 200 S\r\ncontent-length: 0\r\n\r\n", Open, Whole("")),
        case("HTTP/1.1 200 S\r\ncontent-length: 9\r\n\r\nok", Close, Truncated),
        case("HTTP/1.1 200 S\r\ncontent-length: 9\r\n\r\nok", Reset, Truncated),
        case("HTTP/1.1 200 S\r\ncontent-length: 9\r\n\r\nok", Open, Unfinished),
        case("HTTP/1.1 200 S\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200", Open, Whole("ok")),
        case(
            "HTTP/1.1 200 S\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
            Open,
            Whole("ok"),
        ),
        case(
            "HTTP/1.1 200 S\r\ntransfer-encoding: chunked\r\n\r\n2;a=b\r\nok\r\n0\r\n\r\n",
            Open,
            Whole("ok"),
        ),
        case(
            "HTTP/1.1 200 S\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\na: b\r\n\r\n",
            Open,
            Whole("ok"),
        ),
        case("HTTP/1.1 200 S\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n", Close, Truncated),
        case("HTTP/1.1 200 S\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n", Reset, Truncated),
        case("HTTP/1.1 200 S\r\ntransfer-encoding: chunked\r\n\r\n9\r\nok", Close, Truncated),
        case("HTTP/1.1 200 S\r\n\r\nok", Close, Unmarked("ok")),
        case("HTTP/1.1 200 S\r\nconnection: close\r\n\r\nok", Close, Unmarked("ok")),
        case("HTTP/1.0 200 S\r\n\r\nok", Close, Unmarked("ok")),
        case("HTTP/1.1 200 S\r\n\r\nok", Reset, Truncated),
        case("HTTP/1.1 200 S\r\n\r\nok", Open, Unfinished),
        case("HTTP/1.1 204 S\r\n\r\n", Open, Whole("")),
        case("HTTP/1.1 304 S\r\n\r\n", Open, Whole("")),
        case(
            "HTTP/1.1 100 S\r\n\r\nHTTP/1.1 200 S\r\ncontent-length: 2\r\n\r\nok",
            Open,
            Whole("ok"),
        ),
    ]
};

/// Starts a server that answers one request as `case` says.
fn serve(case: &Case) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (answer, end) = (case.answer, case.end);
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        read_head(&mut stream);
        stream.write_all(answer.as_bytes()).unwrap();
        match end {
            ConnectionEnd::Close => {}
            ConnectionEnd::Reset => {
                std::thread::sleep(READ_DELAY);
                SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
            }
            ConnectionEnd::Open => std::thread::sleep(STALL_TIMEOUT * 2),
        }
    });
    address
}

fn read_head(stream: &mut TcpStream) {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") && stream.read_exact(&mut byte).is_ok() {
        head.extend_from_slice(&byte);
    }
}

fn request() -> Request<Bytes> {
    Request::get("/a").header("host", "here").body(Bytes::new()).unwrap()
}

/// A body as far as it was read.
#[derive(Default)]
struct ReadBody {
    bytes: Vec<u8>,
    /// `Some(true)` after a regular end, `Some(false)` after an error.
    ended: Option<bool>,
}

impl ReadBody {
    /// Adds a piece; returns whether another one may follow.
    fn add<E>(&mut self, piece: Option<Result<Bytes, E>>) -> bool {
        match piece {
            Some(Ok(piece)) => self.bytes.extend_from_slice(&piece),
            Some(Err(_)) => self.ended = Some(false),
            None => self.ended = Some(true),
        }
        self.ended.is_none()
    }

    fn check(self, framing: AnswerFraming, case: &Case) {
        let text = String::from_utf8(self.bytes).unwrap();
        let is_expected = match (&case.expected, self.ended, framing) {
            (Outcome::Whole(body), Some(true), AnswerFraming::Length | AnswerFraming::Chunks)
            | (Outcome::Unmarked(body), Some(true), AnswerFraming::CloseDelimited) => text == *body,
            (Outcome::Truncated, Some(false), _) | (Outcome::Unfinished, None, _) => true,
            _ => false,
        };
        assert!(
            is_expected,
            "{:?}, then {:?}: read {text:?}, end {:?}, framing {framing}, expected {:?}",
            case.answer, case.end, self.ended, case.expected
        );
    }
}

#[test]
fn upstream_pool_reads_answers_to_the_end_that_their_framing_marks() {
    runtime::run(async {
        for case in &CASES {
            let pool = UpstreamPool::new(PoolLimits::default());
            let mut answer = pool.send(serve(case), request()).await.unwrap();
            let mut body = ReadBody::default();
            while let Ok(piece) = monoio::time::timeout(STALL_TIMEOUT, answer.next_piece()).await {
                if !body.add(piece) {
                    break;
                }
            }
            body.check(answer_framing(&answer.head), case);
        }
    })
    .unwrap();
}

#[test]
fn http_client_reads_answers_to_the_end_that_their_framing_marks() {
    runtime::run(async {
        for case in &CASES {
            let client = HttpClient::new(serve(case));
            let mut answer = client.send_once(request()).await.unwrap();
            let mut body = ReadBody::default();
            while let Ok(piece) = monoio::time::timeout(STALL_TIMEOUT, answer.next_piece()).await {
                if !body.add(piece) {
                    break;
                }
            }
            body.check(answer_framing(&answer.head), case);
        }
    })
    .unwrap();
}
