//! HTTP/1.1 messages over blocking sockets.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// A request or an answer, as far as it was read.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// `true` if the body was read to the end that its framing marks.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns whether the sender closes the connection after this message.
    pub fn closes(&self) -> bool {
        !self.is_whole || self.header("connection").is_some_and(|value| value.contains("close"))
    }
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).ok();
        Self { reader: BufReader::new(stream) }
    }

    pub fn stream(&self) -> &TcpStream {
        self.reader.get_ref()
    }

    pub fn send(&mut self, text: &str) -> bool {
        self.reader.get_mut().write_all(text.as_bytes()).is_ok()
    }

    /// Reads a request; `None` if the connection ends before.
    pub fn read_request(&mut self) -> Option<Message> {
        let mut message = self.read_head()?;
        if is_chunked(&message) {
            message.is_whole = self.read_chunks(&mut message.body);
        } else {
            let length = content_length(&message).unwrap_or(0);
            message.is_whole = self.read_length(&mut message.body, length);
        }
        message.is_whole.then_some(message)
    }

    /// Reads an answer; `None` if the connection ends before its head. The answer may be incomplete.
    pub fn read_answer(&mut self) -> Option<Message> {
        let mut message = self.read_head()?;
        message.is_whole = if is_chunked(&message) {
            self.read_chunks(&mut message.body)
        } else if let Some(length) = content_length(&message) {
            self.read_length(&mut message.body, length)
        } else {
            self.reader.read_to_end(&mut message.body).is_ok()
        };
        Some(message)
    }

    fn read_line(&mut self) -> Option<String> {
        let mut line = String::new();
        let count = self.reader.read_line(&mut line).ok()?;
        (count > 0 && line.ends_with('\n')).then(|| line.trim_end().to_string())
    }

    fn read_head(&mut self) -> Option<Message> {
        let mut message = Message { first_line: self.read_line()?, ..Message::default() };
        loop {
            let line = self.read_line()?;
            if line.is_empty() {
                return Some(message);
            }
            let (name, value) = line.split_once(':')?;
            message.headers.push((name.trim().to_string(), value.trim().to_string()));
        }
    }

    /// Reads up to `length` bytes, and returns whether all came.
    fn read_length(&mut self, body: &mut Vec<u8>, length: usize) -> bool {
        let read = (&mut self.reader).take(length as u64).read_to_end(body);
        read.is_ok() && body.len() == length
    }

    fn read_chunks(&mut self, body: &mut Vec<u8>) -> bool {
        loop {
            let Some(line) = self.read_line() else { return false };
            let Ok(length) = usize::from_str_radix(line.trim(), 16) else { return false };
            let mut chunk = Vec::new();
            if !self.read_length(&mut chunk, length) {
                body.extend(chunk);
                return false;
            }
            body.extend(chunk);
            if self.read_line().is_none() {
                return false;
            }
            if length == 0 {
                return true;
            }
        }
    }
}

fn is_chunked(message: &Message) -> bool {
    message.header("transfer-encoding").is_some_and(|value| value.contains("chunked"))
}

fn content_length(message: &Message) -> Option<usize> {
    message.header("content-length")?.parse().ok()
}
