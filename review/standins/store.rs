//! Stand-in for the platform's metadata store: items, pages and watches, read over HTTP.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};

use crate::http::Connection;

#[derive(Default)]
struct Contents {
    revision: u64,
    items: BTreeMap<String, (u64, String)>,
    /// Revision, key and value of each write; without a value for a deletion.
    events: Vec<(u64, String, Option<String>)>,
}

/// A store that loses nothing and answers at once. Clones are the same store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    contents: Arc<Mutex<Contents>>,
}

impl Store {
    pub fn start(ip: &str) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Self { address: listener.local_addr()?, contents: Arc::default() };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        Ok(store)
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut contents = self.contents.lock().unwrap();
        contents.revision += 1;
        let revision = contents.revision;
        contents.items.insert(key.to_string(), (revision, value.to_string()));
        contents.events.push((revision, key.to_string(), Some(value.to_string())));
    }

    pub fn delete(&self, key: &str) {
        let mut contents = self.contents.lock().unwrap();
        if contents.items.remove(key).is_some() {
            contents.revision += 1;
            let revision = contents.revision;
            contents.events.push((revision, key.to_string(), None));
        }
    }

    fn serve(&self, mut connection: Connection) {
        while let Some(request) = connection.read_request() {
            let (status, body) = self.answer(request.target());
            let answer = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if !connection.send(&answer) {
                return;
            }
        }
    }

    fn answer(&self, target: &str) -> (&'static str, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.filter(|(known, _)| *known == name).map(|(_, value)| value).next();
            found.map(decode_percent).unwrap_or_default()
        };
        let contents = self.contents.lock().unwrap();
        let at = contents.revision;
        match path {
            "/-/kv-key" => {
                let key = parameter("key");
                match contents.items.get(&key) {
                    Some((revision, value)) => {
                        let item = item(&key, *revision, value);
                        ("200 OK", format!("{{{item},\"at\":{at}}}"))
                    }
                    None => ("404 Not Found", "{}".to_string()),
                }
            }
            "/-/kv-range" => {
                let (prefix, after) = (parameter("prefix"), parameter("after"));
                let items = contents.items.iter();
                let items = items.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<_> = items
                    .map(|(key, (revision, value))| format!("{{{}}}", item(key, *revision, value)))
                    .collect();
                let items = items.join(",");
                ("200 OK", format!("{{\"items\":[{items}],\"truncated\":false,\"at\":{at}}}"))
            }
            "/-/kv-watch" => {
                let prefix = parameter("prefix");
                let after: u64 = parameter("after").parse().unwrap_or(0);
                let events = contents.events.iter();
                let events = events
                    .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix));
                let events: Vec<_> = events
                    .map(|(revision, key, value)| match value {
                        Some(value) => format!("{{{}}}", item(key, *revision, value)),
                        None => {
                            format!(
                                "{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"
                            )
                        }
                    })
                    .collect();
                ("200 OK", format!("{{\"events\":[{}],\"at\":{at}}}", events.join(",")))
            }
            _ => ("404 Not Found", "{}".to_string()),
        }
    }
}

fn item(key: &str, revision: u64, value: &str) -> String {
    format!(
        "\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\"created\":{revision},\"lease\":0",
        base64(value.as_bytes())
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let number = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            if digit > group.len() {
                text.push('=');
            } else {
                text.push(DIGITS[(number >> (18 - 6 * digit)) as usize & 63] as char);
            }
        }
    }
    text
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let code = tail.get(..2).and_then(|code| std::str::from_utf8(code).ok());
        let code = code.and_then(|code| u8::from_str_radix(code, 16).ok());
        match code.filter(|_| *first == b'%') {
            Some(code) => {
                bytes.push(code);
                rest = &tail[2..];
            }
            None => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
