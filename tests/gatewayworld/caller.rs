//! A caller that speaks raw HTTP, so that it sees each byte and may misbehave.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;

use socket2::Domain;
use socket2::Socket;
use socket2::Type;

use super::BOUND;

/// What a slow caller's system takes for it.
const SLOW_RECEIVE_BYTES: usize = 4_096;

/// What came back.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Answer {
    /// 0 where no head came.
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the body was whole by its framing.
    pub whole: bool,
}

impl Answer {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// The value of a header in a head.
pub fn header<'h>(head: &'h str, name: &str) -> Option<&'h str> {
    head.lines().skip(1).find_map(|line| {
        let (given, value) = line.split_once(':')?;
        given.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// An open connection of a caller.
pub struct Caller {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Caller {
    /// Connects.
    pub fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(BOUND)).unwrap();
        Caller {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Connects, and takes little of what it doesn't read.
    pub fn connect_slow(address: SocketAddr) -> Self {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(SLOW_RECEIVE_BYTES).unwrap();
        socket.connect(&address.into()).unwrap();
        Caller {
            stream: socket.into(),
            buffer: Vec::new(),
        }
    }

    /// Sends bytes.
    pub fn send(&mut self, bytes: impl AsRef<[u8]>) {
        self.stream.write_all(bytes.as_ref()).unwrap();
    }

    fn fill(&mut self) -> bool {
        let mut chunk = [0; 4096];
        match self.stream.read(&mut chunk) {
            Ok(0) | Err(_) => false,
            Ok(length) => {
                self.buffer.extend_from_slice(&chunk[..length]);
                true
            }
        }
    }

    /// Reads until `text` has come; false if the connection ended before.
    pub fn read_until(&mut self, text: &str) -> bool {
        loop {
            if String::from_utf8_lossy(&self.buffer).contains(text) {
                return true;
            }
            if !self.fill() {
                return false;
            }
        }
    }

    /// Reads one answer.
    pub fn read(&mut self) -> Answer {
        let Some(head) = self.read_head() else {
            return Answer::default();
        };
        let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
        let (body, whole) = if header(&head, "transfer-encoding").is_some() {
            self.read_chunks()
        } else {
            let length = header(&head, "content-length").and_then(|text| text.parse().ok());
            self.read_length(length.unwrap_or(0))
        };
        Answer {
            status: status.unwrap_or(0),
            head,
            body,
            whole,
        }
    }

    fn read_head(&mut self) -> Option<String> {
        loop {
            let end = self.buffer.windows(4).position(|four| four == b"\r\n\r\n");
            if let Some(end) = end {
                let head = self.buffer.drain(..end + 4).collect::<Vec<u8>>();
                return Some(String::from_utf8_lossy(&head).into_owned());
            }
            if !self.fill() {
                return None;
            }
        }
    }

    fn read_length(&mut self, length: usize) -> (Vec<u8>, bool) {
        while self.buffer.len() < length {
            if !self.fill() {
                return (std::mem::take(&mut self.buffer), false);
            }
        }
        (self.buffer.drain(..length).collect(), true)
    }

    fn read_chunks(&mut self) -> (Vec<u8>, bool) {
        let mut body = Vec::new();
        loop {
            let Some(line) = self.read_line() else {
                return (body, false);
            };
            let Ok(length) = usize::from_str_radix(line.trim(), 16) else {
                return (body, false);
            };
            let (chunk, whole) = self.read_length(length + 2);
            if !whole {
                return (body, false);
            }
            body.extend_from_slice(&chunk[..length]);
            if length == 0 {
                return (body, true);
            }
        }
    }

    fn read_line(&mut self) -> Option<String> {
        loop {
            let end = self.buffer.windows(2).position(|two| two == b"\r\n");
            if let Some(end) = end {
                let line = self.buffer.drain(..end + 2).collect::<Vec<u8>>();
                return Some(String::from_utf8_lossy(&line).into_owned());
            }
            if !self.fill() {
                return None;
            }
        }
    }
}

/// Sends one request on a connection of its own and reads the answer.
pub fn ask(address: SocketAddr, request: &str) -> Answer {
    let mut caller = Caller::connect(address);
    caller.send(request);
    caller.read()
}
