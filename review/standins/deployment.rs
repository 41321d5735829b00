//! A small deployment on loopback addresses: a store with a configuration, and two routers.

use std::net::TcpStream;
use std::time::Duration;

use crate::http::{Connection, Message};
use crate::proxy::Proxy;
use crate::router::{free_ports, Router};
use crate::store::Store;

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
pub const ENGINE_SERVICE: &str = "papaya-llm";
pub const PLAIN_SERVICE: &str = "ticket-core";

/// The configuration of the deployment, as the operator writes it.
const CONFIGURATION: &str = r#"{"version":7,"routes":[
{"name":"r-chat","host":"ficu95.example","prefix":"/chat/","kind":"streaming","timeout_ms":15000,"target_latency_ms":500,"priority":0,"service":"papaya-llm","attempts":2,"allow_anonymous":false,"sticky_sessions":true,"resume_streams":true,"target_gap_ms":500},
{"name":"r-gate","host":"ficu95.example","prefix":"/gate/","kind":"unsafe","timeout_ms":600,"target_latency_ms":100,"priority":2,"service":"ticket-core","attempts":1,"allow_anonymous":false,"sticky_sessions":false,"resume_streams":false},
{"name":"r-kiosk","host":"ficu95.example","prefix":"/kiosk/","kind":"safe","timeout_ms":600,"target_latency_ms":100,"priority":2,"service":"ticket-core","attempts":2,"allow_anonymous":false,"sticky_sessions":false,"resume_streams":false}],
"services":[
{"name":"papaya-llm","health_path":"/health","connection_limit":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_cache_tokens":633695,"kv_token_bytes":163840,"link_mbps":740000.0,"moves":true,"backups":true,"stride":5,"most":2,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}},
{"name":"ticket-core","health_path":"/health","connection_limit":110,"protocol":"h1","tls":false}],
"limits":{"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}"#;

/// The platform's part of a deployment, and its routers.
pub struct Deployment {
    pub store: Store,
    /// The routers' way to the store.
    pub proxy: Proxy,
    pub routers: Vec<Router>,
    /// Address of the runners' machine.
    pub runner_ip: String,
    folder: String,
}

impl Deployment {
    /// Starts the store. Runners register there before the routers start.
    pub fn new() -> std::io::Result<Self> {
        let folder = format!("{}/review-{}", std::env::temp_dir().display(), std::process::id());
        std::fs::create_dir_all(&folder)?;
        let store = Store::start("127.0.0.1")?;
        let proxy = Proxy::start("127.0.0.1", store.address)?;
        store.put("op/config", &CONFIGURATION.replace('\n', ""));
        Ok(Self { store, proxy, routers: Vec::new(), runner_ip: "127.0.0.1".to_string(), folder })
    }

    /// Starts `count` routers and waits until they are ready.
    pub fn start_routers(&mut self, count: usize) -> std::io::Result<bool> {
        let number = std::process::id() % 200 + 20;
        let ips: Vec<_> = (1..=count).map(|index| format!("127.0.{number}.{index}")).collect();
        let ports = free_ports(&ips)?;
        let seeds: Vec<_> = ips.iter().map(|ip| format!("{ip}:{}", ports[3])).collect();
        for ip in &ips {
            let router =
                Router::start(&self.folder, ip, ports, &seeds.join(","), self.proxy.address)?;
            self.routers.push(router);
        }
        Ok(self.routers.iter().all(Router::wait_ready))
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.routers.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// A client's connection to a router.
pub struct Client {
    connection: Connection,
}

impl Client {
    pub fn connect(router: std::net::SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&router, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(20))).ok()?;
        Some(Self { connection: Connection::new(stream) })
    }

    /// Sends a request with these further headers.
    pub fn send(&mut self, method: &str, path: &str, id: &str, headers: &str, body: &str) -> bool {
        self.connection.send(&format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nX-Api-Key: {KEY}\r\n\
             {headers}Content-Length: {}\r\n\r\n{body}",
            body.len()
        ))
    }

    /// Reads the answer; `None` if there is none.
    pub fn read(&mut self) -> Option<Message> {
        self.connection.read_answer()
    }
}
