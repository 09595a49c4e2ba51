//! A slow link in front of a host: what it sends to those who connect passes at a bounded rate, over all
//! its connections together.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// What passes at once; a few packets.
const BURST_BYTES: usize = 8 << 10;
/// How long a sender that goes ahead of the rate is held up at a time.
const NAP: Duration = Duration::from_millis(1);

/// The rate of a link of 10 Mbit/s.
pub const SLOW_BYTES_PER_S: u64 = 1_250_000;

/// A link; clones share it.
#[derive(Debug, Clone)]
pub struct Link(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    /// 0 holds everything up.
    bytes_per_s: AtomicU64,
    /// What the callers' own links carry, one a connection.
    caller_bytes_per_s: u64,
    /// When what was sent so far has passed.
    free_at: Mutex<Instant>,
}

impl Link {
    /// A link that carries so much, to callers with faster ones.
    pub fn new(bytes_per_s: u64) -> Self {
        Link::to_callers_with(u64::MAX, bytes_per_s)
    }

    /// A link that carries so much, to callers each of whose connections carries `caller_bytes_per_s`.
    pub fn to_callers_with(caller_bytes_per_s: u64, bytes_per_s: u64) -> Self {
        Link(Arc::new(Inner {
            bytes_per_s: AtomicU64::new(bytes_per_s),
            caller_bytes_per_s,
            free_at: Mutex::new(Instant::now()),
        }))
    }

    /// Has those who connect to `outside` speak with `inside` over this link.
    pub fn connect(&self, outside: SocketAddr, inside: SocketAddr) {
        let listener = TcpListener::bind(outside).unwrap();
        let link = self.clone();
        std::thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                let Ok(host) = TcpStream::connect(inside) else {
                    continue;
                };
                let link = link.clone();
                let (upward, downward) = (pair(&caller, &host), pair(&host, &caller));
                std::thread::spawn(move || Link::new(u64::MAX).relay(upward));
                std::thread::spawn(move || link.relay(downward));
            }
        });
    }

    /// From now on it carries so much; with 0 nothing passes.
    pub fn set_rate(&self, bytes_per_s: u64) {
        self.0.bytes_per_s.store(bytes_per_s, Ordering::Relaxed);
    }

    /// Writes bytes at the link's rate.
    pub fn write(&self, writer: &mut impl Write, bytes: &[u8]) -> std::io::Result<()> {
        for part in bytes.chunks(BURST_BYTES) {
            self.pass(part.len());
            writer.write_all(part)?;
        }
        Ok(())
    }

    fn relay(&self, (mut from, mut to): (TcpStream, TcpStream)) {
        let mut buffer = [0; BURST_BYTES];
        let caller = Link::new(self.0.caller_bytes_per_s);
        while let Ok(length @ 1..) = from.read(&mut buffer) {
            caller.pass(length);
            if self.write(&mut to, &buffer[..length]).is_err() {
                break;
            }
        }
        // Either side may be gone already.
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    }

    /// Returns when so many bytes have passed.
    fn pass(&self, bytes: usize) {
        while self.0.bytes_per_s.load(Ordering::Relaxed) == 0 {
            std::thread::park_timeout(NAP);
        }
        let rate = self.0.bytes_per_s.load(Ordering::Relaxed).max(1);
        let takes = Duration::from_secs_f64(bytes as f64 / rate as f64);
        let passed_at = {
            let mut free_at = self.0.free_at.lock().unwrap();
            *free_at = (*free_at).max(Instant::now()) + takes;
            *free_at
        };
        while Instant::now() < passed_at {
            std::thread::park_timeout(passed_at.saturating_duration_since(Instant::now()));
        }
    }
}

fn pair(from: &TcpStream, to: &TcpStream) -> (TcpStream, TcpStream) {
    (from.try_clone().unwrap(), to.try_clone().unwrap())
}
