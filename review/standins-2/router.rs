//! The project's router as a process, with the command of the deploy file and the settings of a
//! small deployment.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use crate::http::{call, wait_for};

/// `run` of `deploy/system.toml`; started in the repository's root.
const PROGRAM: &str = "target/release/papayamux-front";

pub struct Router {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub name: String,
    child: Child,
    folder: PathBuf,
}

fn free_address(ip: &str) -> SocketAddr {
    let listener = TcpListener::bind(format!("{ip}:0")).expect("a free port");
    listener.local_addr().expect("an address")
}

/// A port for the routers' own messages, free on all addresses of `ips` at this moment.
pub fn free_peers_port(ips: &[String]) -> u16 {
    loop {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
        let port = socket.local_addr().expect("an address").port();
        let is_free = |ip: &String| TcpListener::bind(format!("{ip}:{port}")).is_ok();
        if ips.iter().all(is_free) {
            return port;
        }
    }
}

impl Router {
    pub fn start(folder: &Path, store: SocketAddr, ip: &str, peers_port: u16, seeds: &str) -> Self {
        let (front, ready, metrics) = (free_address(ip), free_address(ip), free_address(ip));
        let name = format!("front-{}", ip.replace('.', "-"));
        // platform/settings.ini, filled in with the figures of yanchang-mux.
        let settings = format!(
            "[instance]\nname = {name}\nfailure_domain = qigu-hall\nprocessor_share = 0.19\n\
             [regions]\nqigu-hall = tw-south\nbudai-hall = tw-south\ntainan-dc = tw-south\n\
             [listen]\ncallers = {front}\noperations = {ready}\ndescriptors = 4100\n\
             ready_path = /-/readiness\nmetrics = {metrics}\n\
             [source]\naddress = {store}\n\
             [peers]\nlisten = {ip}:{peers_port}\nseeds = {seeds}\n\
             [bounds]\ngrace = 8s\nrevoke_within = 5000ms\napply_within = 2000ms\n\
             drain_within = 2000ms\nrenewal_every = 1200ms\nretry_ratio = 0.2\nretry_slack = 56\n\
             retry_window = 10s\nload_factor = 2\n"
        );
        let file = folder.join(format!("{name}.ini"));
        fs::write(&file, settings).expect("the settings file");
        let log = File::create(folder.join(format!("{name}.log"))).expect("the log file");
        let child = Command::new(PROGRAM)
            .env("PAPAYAMUX_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::inherit())
            .spawn();
        // A panic ends the case as one that can't run, after the other routers have been ended.
        let child = child.unwrap_or_else(|error| panic!("{PROGRAM}: {error}"));
        Self { front, ready, name, child, folder: folder.to_path_buf() }
    }

    pub fn is_ready(&self) -> bool {
        let request = "GET /-/readiness HTTP/1.1\r\nHost: here\r\n\r\n";
        call(self.ready, request, Duration::from_secs(1)).status == 200
    }

    pub fn wait_ready(&self) -> bool {
        wait_for(Duration::from_secs(12), || self.is_ready().then_some(())).is_some()
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns how many lines of the router's log contain `text`.
    pub fn count_log(&self, text: &str) -> usize {
        let log = fs::read_to_string(self.folder.join(format!("{}.log", self.name)));
        log.unwrap_or_default().lines().filter(|line| line.contains(text)).count()
    }

    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(self.folder.join(format!("{}.log", self.name)));
        let log = log.unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_string).collect()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
