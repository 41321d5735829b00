//! Stand-in for the platform's metadata store: the reading calls, a history of limited length, and
//! the operator's writes.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::Reader;

/// `history_s` of the small deployments.
const HISTORY: Duration = Duration::from_secs(20);

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, String>,
    events: Vec<(u64, Instant, String)>,
    /// The newest revision that is no longer in the history.
    forgotten: u64,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Self { address, state: Arc::default() };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an item; returning from this call is the store's acknowledgement.
    pub fn put(&self, key: &str, value: &str) -> Instant {
        let encoded = base64(value.as_bytes());
        let mut state = self.state.lock().expect("the lock");
        state.revision += 1;
        let revision = state.revision;
        let item = format!(
            "{{\"key\":\"{key}\",\"value\":\"{encoded}\",\"revision\":{revision},\
             \"created\":{revision},\"lease\":0}}"
        );
        state.events.push((revision, Instant::now(), item.clone()));
        state.items.insert(key.to_string(), item);
        Instant::now()
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = Reader::new(stream);
        while let Ok(request) = reader.message() {
            let (status, body) = self.answer(request.word());
            let head = format!(
                "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let sent = reader.stream.write_all(head.as_bytes());
            if sent.and_then(|()| reader.stream.write_all(body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn answer(&self, target: &str) -> (u16, String) {
        let mut state = self.state.lock().expect("the lock");
        state.forget();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| decoded(value))
        };
        let at = state.revision;
        match path {
            "/-/kv-key" => {
                let item = state.items.get(&parameter("key").unwrap_or_default());
                match item {
                    Some(item) => (200, format!("{},\"at\":{at}}}", &item[..item.len() - 1])),
                    None => (404, "{}".to_string()),
                }
            }
            "/-/kv-range" => {
                let prefix = parameter("prefix").unwrap_or_default();
                let after = parameter("after").unwrap_or_default();
                let items = state.items.iter();
                let items = items.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<_> = items.map(|(_, item)| item.as_str()).collect();
                let items = items.join(",");
                (200, format!("{{\"items\":[{items}],\"truncated\":false,\"at\":{at}}}"))
            }
            "/-/kv-watch" => {
                let after: u64 = parameter("after").and_then(|text| text.parse().ok()).unwrap_or(0);
                if after < state.forgotten || after > at {
                    return (410, "{}".to_string());
                }
                let events = state.events.iter().filter(|(revision, ..)| *revision > after);
                let events: Vec<_> = events.map(|(.., item)| item.as_str()).collect();
                let events = events.join(",");
                (200, format!("{{\"events\":[{events}],\"at\":{at}}}"))
            }
            _ => (404, "{}".to_string()),
        }
    }
}

impl State {
    fn forget(&mut self) {
        let kept = self.events.iter().position(|(_, at, _)| at.elapsed() < HISTORY);
        let dropped = kept.unwrap_or(self.events.len());
        if let Some((revision, ..)) = self.events.drain(..dropped).next_back() {
            self.forgotten = revision;
        }
    }
}

fn decoded(text: &str) -> String {
    let mut parts = text.split('%');
    let mut bytes = parts.next().unwrap_or_default().as_bytes().to_vec();
    for part in parts {
        let digits = part.get(..2).and_then(|digits| u8::from_str_radix(digits, 16).ok());
        bytes.extend(digits);
        bytes.extend_from_slice(part.get(2..).unwrap_or_default().as_bytes());
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for three in bytes.chunks(3) {
        let byte = |index: usize| u32::from(three.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            let index = (bits >> (18 - 6 * digit)) as usize & 63;
            text.push(if digit <= three.len() { DIGITS[index] as char } else { '=' });
        }
    }
    text
}
