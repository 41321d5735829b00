//! Answers to callers of HTTP/1.0, which has no chunks.
#![allow(clippy::unwrap_used, clippy::panic, reason = "helpers of tests, which may panic")]

use std::io::{Read, Write};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{stream, StreamExt};
use http::Response;
use papayamux_transport::http::{serve, AnswerBody, BodyError, HttpLimits};
use papayamux_transport::listen::listen;
use papayamux_transport::runtime;
use papayamux_transport::shutdown::ShutdownSignal;

/// Interval between pieces, so that each is written by itself.
const PIECE_INTERVAL: Duration = Duration::from_millis(20);
const TIMEOUT: Duration = Duration::from_secs(5);

type Pieces = fn() -> Vec<Result<Bytes, BodyError>>;

/// Serves an answer that consists of `pieces`, and returns what a caller of `version` reads.
fn read(version: &'static str, pieces: Pieces) -> String {
    runtime::run(async move {
        let listener = listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let shutdown = ShutdownSignal::new();
        let handler = Rc::new(move |_| async move {
            let pieces = stream::iter(pieces()).then(|piece| async {
                monoio::time::sleep(PIECE_INTERVAL).await;
                piece
            });
            Response::new(AnswerBody::Stream(Box::pin(pieces)))
        });
        let serving =
            monoio::spawn(serve(listener, HttpLimits::default(), shutdown.clone(), handler));
        let reading = std::thread::spawn(move || {
            let mut stream = TcpStream::connect(address).unwrap();
            stream.set_read_timeout(Some(TIMEOUT)).unwrap();
            let request = format!("GET / {version}\r\nhost: here\r\nconnection: close\r\n\r\n");
            stream.write_all(request.as_bytes()).unwrap();
            let mut answer = Vec::new();
            // A reset ends the answer as well.
            let _ = stream.read_to_end(&mut answer);
            String::from_utf8(answer).unwrap()
        });
        while !reading.is_finished() {
            monoio::time::sleep(Duration::from_millis(5)).await;
        }
        shutdown.trigger();
        serving.await.unwrap();
        reading.join().unwrap()
    })
    .unwrap()
}

fn whole() -> Vec<Result<Bytes, BodyError>> {
    vec![Ok(Bytes::from_static(b"id: 1\n\n")), Ok(Bytes::from_static(b"id: 2\n\n"))]
}

fn truncated() -> Vec<Result<Bytes, BodyError>> {
    vec![Ok(Bytes::from_static(b"id: 1\n\n")), Err(BodyError("the server crashed".to_string()))]
}

fn too_long() -> Vec<Result<Bytes, BodyError>> {
    vec![Ok(Bytes::from(vec![b'x'; 1024 * 1024])); 5]
}

#[test]
fn complete_stream_has_a_length() {
    let answer = read("HTTP/1.0", whole);
    assert!(answer.contains("content-length: 14\r\n"), "{answer:?}");
    assert!(answer.ends_with("\r\n\r\nid: 1\n\nid: 2\n\n"), "{answer:?}");
}

/// Guards against a truncated answer whose connection ends as that of a complete one does.
#[test]
fn truncated_stream_is_no_answer() {
    assert_eq!(read("HTTP/1.0", truncated), "");
    assert_eq!(read("HTTP/1.0", too_long), "");
}

#[test]
fn stream_is_sent_in_chunks_to_other_callers() {
    let last_chunk = "\r\n0\r\n\r\n";
    assert!(read("HTTP/1.1", whole).ends_with(last_chunk));
    let answer = read("HTTP/1.1", truncated);
    assert!(answer.contains("id: 1") && !answer.ends_with(last_chunk), "{answer:?}");
}
