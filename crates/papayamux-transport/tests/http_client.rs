//! Errors that the HTTP client reports for requests without an answer.
#![allow(clippy::unwrap_used, clippy::panic, reason = "helpers of tests, which may panic")]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::JoinHandle;

use bytes::Bytes;
use http::Request;
use papayamux_transport::http::HttpClient;
use papayamux_transport::runtime;

fn request() -> Request<Bytes> {
    Request::get("/a").header("host", "here").body(Bytes::new()).unwrap()
}

fn read_head(stream: &mut TcpStream) {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") && stream.read_exact(&mut byte).is_ok() {
        head.extend_from_slice(&byte);
    }
}

/// Starts a server that answers one request and stops as soon as it has received the second.
fn server_crashing_on_second_request() -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let serving = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        read_head(&mut stream);
        stream.write_all(b"HTTP/1.1 200 S\r\ncontent-length: 2\r\n\r\nok").unwrap();
        read_head(&mut stream);
        drop(listener);
    });
    (address, serving)
}

/// Guards against reporting a request as not run although it may have run. An agent did so when the
/// server crashed on a request sent over a reused connection and the retry over a new one could not
/// connect: only the retry was never sent.
#[test]
fn request_lost_on_a_reused_connection_may_have_run() {
    let (address, serving) = server_crashing_on_second_request();
    runtime::run(async {
        let client = HttpClient::new(address);
        let mut answer = client.send_idempotent(request()).await.unwrap();
        while let Some(piece) = answer.next_piece().await {
            piece.unwrap();
        }
        answer.finish();
        let Err(error) = client.send_idempotent(request()).await else {
            panic!("the server has stopped")
        };
        assert!(!error.nothing_was_sent(), "{error}");
    })
    .unwrap();
    serving.join().unwrap();
}
