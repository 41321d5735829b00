//! A TCP proxy whose open connections can go silent, while new ones work.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// A proxy before one server. Clones are the same proxy.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    /// Rises with each silence. A connection that was opened before forwards nothing any more.
    silences: Arc<AtomicU64>,
}

impl Proxy {
    pub fn start(ip: &str, server: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let proxy = Self { address: listener.local_addr()?, silences: Arc::default() };
        let serving = proxy.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let opened = serving.silences.load(Ordering::SeqCst);
                let Ok(upstream) = TcpStream::connect(server) else { continue };
                let ways = [
                    (client.try_clone(), upstream.try_clone()),
                    (upstream.try_clone(), client.try_clone()),
                ];
                for (from, to) in ways {
                    let (Ok(from), Ok(to)) = (from, to) else { continue };
                    let silences = serving.silences.clone();
                    std::thread::spawn(move || forward(from, to, opened, &silences));
                }
            }
        });
        Ok(proxy)
    }

    /// Makes all open connections silent for good, without a reset.
    pub fn silence_open_connections(&self) {
        self.silences.fetch_add(1, Ordering::SeqCst);
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, opened: u64, silences: &AtomicU64) {
    from.set_nodelay(true).ok();
    let mut buffer = [0; 16 * 1024];
    loop {
        let count = from.read(&mut buffer).unwrap_or(0);
        let is_silent = silences.load(Ordering::SeqCst) != opened;
        if count == 0 {
            // The end of a silent connection doesn't come through either.
            if !is_silent {
                let _ = to.shutdown(Shutdown::Both);
            }
            return;
        }
        if !is_silent && to.write_all(&buffer[..count]).is_err() {
            return;
        }
    }
}
