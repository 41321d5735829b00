//! Tests that the fault proxy applies exactly the faults that are set.

use std::error::Error;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use monoio::io::{AsyncReadRent, AsyncReadRentExt, AsyncWriteRent, AsyncWriteRentExt};
use monoio::net::{TcpListener, TcpStream};
use papayamux_standins::fault_proxy::{
    serve_control, ConnectionReport, FaultyWays, LinkFaults, LinkProxy, CONNECTIONS_PATH, CUT_PATH,
    FAULTS_PATH, HALF_CLOSE_PATH,
};
use papayamux_transport::http::HttpClient;
use papayamux_transport::listen::listen;
use papayamux_transport::runtime;
use papayamux_transport::shutdown::ShutdownSignal;

type TestResult = Result<(), Box<dyn Error>>;

const LOCAL: ([u8; 4], u16) = ([127, 0, 0, 1], 0);

struct TestLink {
    target: TcpListener,
    proxy: LinkProxy,
    address: SocketAddr,
}

impl TestLink {
    fn start() -> Result<Self, Box<dyn Error>> {
        let target = listen(LOCAL.into())?;
        let proxy = LinkProxy::new(target.local_addr()?);
        let listener = listen(LOCAL.into())?;
        let address = listener.local_addr()?;
        let serving = proxy.clone();
        monoio::spawn(async move { serving.serve(listener, ShutdownSignal::new()).await });
        Ok(Self { target, proxy, address })
    }

    /// Opens a connection through the proxy and returns the client's and the target's side.
    async fn connect(&self) -> Result<(TcpStream, TcpStream), Box<dyn Error>> {
        let client = TcpStream::connect_addr(self.address).await?;
        Ok((client, self.target.accept().await?.0))
    }

    async fn wait_report(&self, reached: impl Fn(&ConnectionReport) -> bool) {
        while !reached(&self.proxy.report()) {
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
    }
}

fn run<F: Future<Output = TestResult>>(test: impl FnOnce(TestLink) -> F) -> TestResult {
    runtime::run(async { test(TestLink::start()?).await })?
}

async fn send(stream: &mut TcpStream, text: &str) -> TestResult {
    Ok(stream.write_all(text.as_bytes().to_vec()).await.0.map(|_| ())?)
}

async fn receive(stream: &mut TcpStream, bytes: usize) -> Result<String, Box<dyn Error>> {
    let (outcome, buffer) = stream.read_exact(vec![0; bytes]).await;
    outcome?;
    Ok(String::from_utf8(buffer)?)
}

/// Returns `true` if the connection has ended, by a close or a reset.
async fn has_ended(stream: &mut TcpStream) -> bool {
    matches!(stream.read(vec![0; 16]).await.0, Ok(0) | Err(_))
}

#[test]
fn without_faults_all_passes_both_ways_and_ends() -> TestResult {
    run(async |link| {
        let (mut client, mut target) = link.connect().await?;
        send(&mut client, "question").await?;
        assert_eq!(receive(&mut target, 8).await?, "question");
        client.shutdown().await?;
        assert!(has_ended(&mut target).await);
        send(&mut target, "answer").await?;
        drop(target);
        assert_eq!(receive(&mut client, 6).await?, "answer");
        assert!(has_ended(&mut client).await);
        link.wait_report(|report| report.open == 0).await;
        let report = link.proxy.report();
        assert_eq!((report.total, report.bytes_to_target, report.bytes_to_client), (1, 8, 6));
        Ok(())
    })
}

#[test]
fn held_bytes_come_in_their_order_once_released() -> TestResult {
    run(async |link| {
        let (mut client, mut target) = link.connect().await?;
        link.wait_report(|report| report.open == 1).await;
        link.proxy.set_faults(LinkFaults { hold: FaultyWays::ToTarget, ..Default::default() });
        send(&mut client, "first ").await?;
        link.wait_report(|report| report.kept_to_target == 6).await;
        send(&mut client, "second").await?;
        client.shutdown().await?;
        send(&mut target, "back").await?;
        assert_eq!(receive(&mut client, 4).await?, "back");
        link.wait_report(|report| report.kept_to_target == 12).await;
        assert_eq!(link.proxy.report().bytes_to_target, 0);
        link.proxy.set_faults(LinkFaults { delay_ms: 1, ..Default::default() });
        assert_eq!(receive(&mut target, 12).await?, "first second");
        assert!(has_ended(&mut target).await);
        Ok(())
    })
}

#[test]
fn a_dropped_connection_stays_silent_for_good_while_new_ones_work() -> TestResult {
    run(async |link| {
        let (mut client, mut target) = link.connect().await?;
        let drop_existing = LinkFaults { drop: FaultyWays::Both, ..Default::default() };
        link.proxy.set_faults(LinkFaults { only_existing: true, ..drop_existing });
        let (mut newer, mut newer_target) = link.connect().await?;
        send(&mut client, "lost").await?;
        drop(client);
        send(&mut newer, "works").await?;
        assert_eq!(receive(&mut newer_target, 5).await?, "works");
        link.proxy.set_faults(LinkFaults::default());
        send(&mut target, "lost as well").await?;
        assert_eq!(link.proxy.report().open, 2);
        drop(target);
        link.wait_report(|report| report.open == 1).await;
        assert_eq!(link.proxy.report().bytes_to_target, 5);
        Ok(())
    })
}

#[test]
fn new_connections_are_refused_and_open_ones_are_cut() -> TestResult {
    run(async |link| {
        let (mut client, mut target) = link.connect().await?;
        link.proxy.set_faults(LinkFaults { refuse: true, ..Default::default() });
        let mut refused = TcpStream::connect_addr(link.address).await?;
        assert!(has_ended(&mut refused).await);
        send(&mut client, "open").await?;
        assert_eq!(receive(&mut target, 4).await?, "open");
        link.proxy.cut_all();
        assert!(has_ended(&mut client).await);
        assert!(has_ended(&mut target).await);
        assert_eq!(link.proxy.report().refused, 1);
        Ok(())
    })
}

#[test]
fn a_connection_is_cut_after_its_bytes() -> TestResult {
    run(async |link| {
        link.proxy.set_faults(LinkFaults { cut_after_bytes: Some(5), ..Default::default() });
        let (mut client, mut target) = link.connect().await?;
        send(&mut client, "longer than five").await?;
        assert_eq!(receive(&mut target, 16).await?, "longer than five");
        send(&mut target, "answer").await?;
        assert_eq!(receive(&mut client, 5).await?, "answe");
        assert!(has_ended(&mut client).await);
        assert!(has_ended(&mut target).await);
        Ok(())
    })
}

#[test]
fn faults_are_set_over_the_control_port() -> TestResult {
    run(async |link| {
        let listener = listen(LOCAL.into())?;
        let control = HttpClient::new(listener.local_addr()?);
        monoio::spawn(serve_control(listener, link.proxy.clone(), ShutdownSignal::new()));
        let (mut client, mut target) = link.connect().await?;
        let orders = [
            (Method::POST, FAULTS_PATH, "{\"hold\":\"to_client\"}", StatusCode::OK),
            (Method::POST, FAULTS_PATH, "{\"hold\":\"up\"}", StatusCode::BAD_REQUEST),
            (Method::POST, FAULTS_PATH, "{\"stall\":1}", StatusCode::BAD_REQUEST),
            (Method::GET, "/elsewhere", "", StatusCode::NOT_FOUND),
            (Method::POST, HALF_CLOSE_PATH, "{\"ways\":\"to_target\"}", StatusCode::OK),
        ];
        for (method, path, body, status) in orders {
            let request = Request::builder().method(method).uri(path).body(Bytes::from(body))?;
            assert_eq!(control.send_once(request).await?.head.status, status, "{body}");
        }
        assert!(has_ended(&mut target).await);
        send(&mut target, "held").await?;
        link.wait_report(|report| report.kept_to_client == 4).await;
        let request = Request::get(CONNECTIONS_PATH).body(Bytes::new())?;
        let body = control.send_once(request).await?.read_body(1_024).await?;
        let report: ConnectionReport = serde_json::from_slice(&body)?;
        assert_eq!((report.open, report.kept_to_client), (1, 4));
        control.send_once(Request::post(CUT_PATH).body(Bytes::new())?).await?;
        assert!(has_ended(&mut client).await);
        Ok(())
    })
}
