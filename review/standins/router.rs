//! The router under test, as a process of its own.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::Connection;

/// The command of the deploy file.
const PROGRAM: &str = "target/release/papayamux-front";
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// A running router. Dropping it kills it.
pub struct Router {
    pub callers: SocketAddr,
    pub child: Child,
    operations: SocketAddr,
}

impl Router {
    /// Starts the router of the machine at `ip`, with the settings that the template gives for a small
    /// deployment. Logs go to `folder`.
    pub fn start(
        folder: &str,
        ip: &str,
        ports: [u16; 4],
        seeds: &str,
        store: SocketAddr,
    ) -> std::io::Result<Self> {
        let [callers, operations, metrics, peers] = ports;
        let settings = format!(
            "[instance]\nname = front-{ip}\nfailure_domain = qigu-hall\nprocessor_share = 0.19\n\
             [regions]\nqigu-hall = tw-south\nbudai-hall = tw-south\ntainan-dc = tw-south\n\
             [listen]\ncallers = {ip}:{callers}\noperations = {ip}:{operations}\n\
             descriptors = 4100\nready_path = /-/readiness\nmetrics = {ip}:{metrics}\n\
             [source]\naddress = {store}\n[peers]\nlisten = {ip}:{peers}\nseeds = {seeds}\n\
             [bounds]\ngrace = 8s\nrevoke_within = 5000ms\napply_within = 2000ms\n\
             drain_within = 2000ms\nrenewal_every = 1200ms\nretry_ratio = 0.2\nretry_slack = 56\n\
             retry_window = 10s\nload_factor = 2\n"
        );
        let path = format!("{folder}/boot-{ip}.ini");
        std::fs::write(&path, settings)?;
        let log = std::fs::File::create(format!("{folder}/front-{ip}.log"))?;
        let child = Command::new(PROGRAM)
            .env("PAPAYAMUX_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()?;
        let address = |port: u16| SocketAddr::new(ip.parse().unwrap(), port);
        Ok(Self { callers: address(callers), operations: address(operations), child })
    }

    /// Waits until the router counts as ready.
    pub fn wait_ready(&self) -> bool {
        let begun = Instant::now();
        while begun.elapsed() < START_TIMEOUT {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    pub fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect_timeout(&self.operations, Duration::from_secs(1))
        else {
            return false;
        };
        let mut connection = Connection::new(stream);
        connection.send("GET /-/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            && connection.read_answer().is_some_and(|answer| answer.status() == 200)
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        // Killing fails if the process has exited; there is nothing to do then.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns four ports that are free at all of these addresses.
pub fn free_ports(ips: &[String]) -> std::io::Result<[u16; 4]> {
    let mut ports = [0; 4];
    let mut held = Vec::new();
    for port in &mut ports {
        loop {
            let first = TcpListener::bind((ips[0].as_str(), 0))?;
            let candidate = first.local_addr()?.port();
            let others: Result<Vec<_>, _> =
                ips[1..].iter().map(|ip| TcpListener::bind((ip.as_str(), candidate))).collect();
            held.push(first);
            if let Ok(others) = others {
                held.extend(others);
                *port = candidate;
                break;
            }
        }
    }
    Ok(ports)
}
