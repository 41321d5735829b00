//! A minimal HTTP/1.1 implementation over blocking sockets, for stand-ins and clients.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request, or the head of an answer, with its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let known = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        known.map(|(_, value)| value.as_str())
    }

    /// The second word of the first line: a request's target or an answer's status.
    pub fn word(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    fn length(&self) -> Option<usize> {
        self.header("content-length")?.trim().parse().ok()
    }
}

/// Reads messages from a connection; keeps what arrives beyond the current one.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut piece = [0u8; 65_536];
        match self.stream.read(&mut piece)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            count => {
                self.buffer.extend_from_slice(&piece[..count]);
                Ok(())
            }
        }
    }

    fn head(&mut self) -> io::Result<Message> {
        let end = loop {
            match self.buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                Some(end) => break end,
                None => self.fill()?,
            }
        };
        let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or_default().to_string();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(name, value)| (name.to_string(), value.trim().to_string()));
        Ok(Message { first, headers: headers.collect(), body: Vec::new() })
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        let end = loop {
            match self.buffer.windows(2).position(|two| two == b"\r\n") {
                Some(end) => break end,
                None => self.fill()?,
            }
        };
        let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 2);
        Ok(line)
    }

    /// Reads a message whose body has a length or comes in chunks.
    pub fn message(&mut self) -> io::Result<Message> {
        let mut message = self.head()?;
        let chunked =
            message.header("transfer-encoding").is_some_and(|value| value.contains("chunked"));
        if chunked {
            loop {
                let line = self.line()?;
                let size = usize::from_str_radix(line.trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                let piece = self.take(size)?;
                message.body.extend_from_slice(&piece);
                self.line()?;
                if size == 0 {
                    return Ok(message);
                }
            }
        }
        let length = message.length().unwrap_or(0);
        message.body = self.take(length)?;
        Ok(message)
    }
}

/// What a client got.
#[derive(Clone, Copy, Debug)]
pub struct Reply {
    /// The status, or 0 if the connection ended without a whole answer.
    pub status: u16,
}

/// Sends one request on a new connection and reads its answer.
pub fn call(address: SocketAddr, request: &str, limit: Duration) -> Reply {
    let sent = || -> io::Result<Message> {
        let mut stream = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1)))?;
        stream.set_read_timeout(Some(limit))?;
        stream.write_all(request.as_bytes())?;
        Reader::new(stream).message()
    };
    Reply { status: sent().ok().and_then(|answer| answer.word().parse().ok()).unwrap_or(0) }
}

/// Repeats `check` until it returns a value or `limit` has passed.
pub fn wait_for<T>(limit: Duration, mut check: impl FnMut() -> Option<T>) -> Option<T> {
    let started = Instant::now();
    loop {
        if let Some(value) = check() {
            return Some(value);
        }
        if started.elapsed() >= limit {
            return None;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}
