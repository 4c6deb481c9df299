//! A small HTTP/1.1 reader and writer for stand-ins of clients, servers and the store.

use std::{
    collections::BTreeMap,
    io::{self, ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// Interval at which a waiting read looks at its time limit.
const POLL: Duration = Duration::from_millis(20);

/// A connection with the bytes that were read ahead.
pub struct Conn {
    pub tcp: TcpStream,
    ahead: Vec<u8>,
}

/// Start line and headers of a message; header names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub start: String,
    pub headers: BTreeMap<String, String>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// Method and path of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.start.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    pub fn status(&self) -> u16 {
        let word = self.start.split(' ').nth(1);
        word.and_then(|w| w.parse().ok()).unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        self.get("transfer-encoding")
            .is_some_and(|v| v.contains("chunked"))
    }

    fn length(&self) -> usize {
        self.get("content-length")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0)
    }
}

fn timed_out() -> io::Error {
    io::Error::new(ErrorKind::TimedOut, "time limit")
}

fn ended() -> io::Error {
    io::Error::new(ErrorKind::UnexpectedEof, "closed")
}

impl Conn {
    pub fn new(tcp: TcpStream) -> Self {
        let _ = tcp.set_nodelay(true);
        let _ = tcp.set_read_timeout(Some(POLL));
        Self {
            tcp,
            ahead: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Self::new)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.tcp.write_all(bytes)
    }

    /// Reads more bytes, until `deadline`. Fails if the peer has closed the connection.
    fn fill(&mut self, deadline: Instant) -> io::Result<()> {
        let mut buf = [0; 65536];
        loop {
            match self.tcp.read(&mut buf) {
                Ok(0) => return Err(ended()),
                Ok(len) => {
                    self.ahead.extend_from_slice(&buf[..len]);
                    return Ok(());
                }
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    if Instant::now() >= deadline {
                        return Err(timed_out());
                    }
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Returns whether the peer has closed or reset the connection.
    pub fn is_closed(&self) -> bool {
        let _ = self.tcp.set_nonblocking(true);
        let seen = self.tcp.peek(&mut [0; 1]);
        let _ = self.tcp.set_nonblocking(false);
        match seen {
            Ok(len) => len == 0,
            Err(e) => e.kind() != ErrorKind::WouldBlock,
        }
    }

    pub fn read_head(&mut self, deadline: Instant) -> io::Result<Head> {
        let end = loop {
            if let Some(at) = self.ahead.windows(4).position(|w| w == b"\r\n\r\n") {
                break at;
            }
            self.fill(deadline)?;
        };
        let text = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
        self.ahead.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let start = lines.next().unwrap_or("").to_owned();
        let pairs = lines.filter_map(|l| l.split_once(':'));
        let headers = pairs.map(|(n, v)| (n.trim().to_lowercase(), v.trim().to_owned()));
        Ok(Head {
            start,
            headers: headers.collect(),
        })
    }

    fn take(&mut self, len: usize, deadline: Instant) -> io::Result<Vec<u8>> {
        while self.ahead.len() < len {
            self.fill(deadline)?;
        }
        Ok(self.ahead.drain(..len).collect())
    }

    /// Reads a body by its length or its chunks. Calls `piece` for each part; the time limit
    /// of the next part is what `piece` returns.
    pub fn read_body(
        &mut self,
        head: &Head,
        mut deadline: Instant,
        mut piece: impl FnMut(&[u8]) -> Instant,
    ) -> io::Result<()> {
        if !head.is_chunked() {
            let mut left = head.length();
            while left > 0 {
                let part = self.take(left.min(65536), deadline)?;
                left -= part.len();
                deadline = piece(&part);
            }
            return Ok(());
        }
        loop {
            let end = loop {
                if let Some(at) = self.ahead.windows(2).position(|w| w == b"\r\n") {
                    break at;
                }
                self.fill(deadline)?;
            };
            let line: Vec<u8> = self.ahead.drain(..end + 2).collect();
            let line = String::from_utf8_lossy(&line).trim().to_owned();
            let size = usize::from_str_radix(&line, 16).map_err(|_| ended())?;
            let part = self.take(size + 2, deadline)?;
            if size == 0 {
                return Ok(());
            }
            deadline = piece(&part[..size]);
        }
    }

    pub fn read_whole_body(&mut self, head: &Head, deadline: Instant) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        self.read_body(head, deadline, |part| {
            body.extend_from_slice(part);
            deadline
        })?;
        Ok(body)
    }
}
