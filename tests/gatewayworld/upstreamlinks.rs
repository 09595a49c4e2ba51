//! A host's links to its upstreams, which can be cut while its callers, peers and log still reach it.

use std::io::Error;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Result;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;

use cedargauge::gateway::connection::Connector;

/// How a cut shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// Open connections are closed, and new ones are refused.
    Reset,
    /// Nothing passes on open connections, and new ones are never established.
    Silent,
    /// Open connections live on, and new ones are refused.
    NewRefused,
}

/// How often a held-up connection looks whether it may go on.
const LOOK: Duration = Duration::from_millis(2);

#[derive(Debug, Default)]
struct State {
    /// Whether connections pass through threads that obey cuts.
    may_be_cut: bool,
    cut: Option<Cut>,
}

/// The links of one host; clones share them.
#[derive(Debug, Clone, Default)]
pub struct UpstreamLinks(Arc<Mutex<State>>);

impl UpstreamLinks {
    /// From now on connections are opened so that they can be cut.
    pub fn prepare_cuts(&self) {
        self.0.lock().unwrap().may_be_cut = true;
    }

    /// From now on all links are cut.
    pub fn cut(&self, cut: Cut) {
        self.0.lock().unwrap().cut = Some(cut);
    }

    /// From now on all links work.
    pub fn heal(&self) {
        self.0.lock().unwrap().cut = None;
    }

    fn state(&self) -> Option<Cut> {
        self.0.lock().unwrap().cut
    }

    /// Opens a connection. If it may be cut, its bytes pass through threads that obey the cut.
    async fn open(&self, address: SocketAddr) -> Result<tokio::net::TcpStream> {
        if !self.0.lock().unwrap().may_be_cut {
            return tokio::net::TcpStream::connect(address).await;
        }
        match self.state() {
            None => {}
            Some(Cut::Silent) => std::future::pending().await,
            Some(Cut::Reset | Cut::NewRefused) => {
                return Err(Error::from(ErrorKind::ConnectionRefused));
            }
        }
        let upstream = tokio::net::TcpStream::connect(address).await?.into_std()?;
        upstream.set_nonblocking(false)?;
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let near = TcpStream::connect(listener.local_addr()?)?;
        let (far, _) = listener.accept()?;
        for (from, to) in [(&far, &upstream), (&upstream, &far)] {
            let (links, from, to) = (self.clone(), from.try_clone()?, to.try_clone()?);
            std::thread::spawn(move || links.pass(from, to));
        }
        near.set_nonblocking(true)?;
        tokio::net::TcpStream::from_std(near)
    }

    /// Moves bytes one way until an end is closed or the link is reset.
    fn pass(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = [0; 16_384];
        // Only closed sockets refuse options, and the next read will tell.
        let _ = from.set_read_timeout(Some(LOOK));
        let _ = to.set_nodelay(true);
        while self.state() != Some(Cut::Reset) {
            match from.read(&mut buffer) {
                Ok(0) => break,
                Ok(length) => {
                    if !self.hold(&from) || to.write_all(&buffer[..length]).is_err() {
                        break;
                    }
                }
                Err(error)
                    if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => break,
            }
        }
        for stream in [&from, &to] {
            // It may be closed already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Holds bytes up while the link is silent; false if they are lost, as their sender has closed.
    fn hold(&self, from: &TcpStream) -> bool {
        while self.state() == Some(Cut::Silent) {
            if matches!(from.peek(&mut [0]), Ok(0)) {
                return false;
            }
            std::thread::sleep(LOOK);
        }
        true
    }
}

impl Connector for UpstreamLinks {
    fn connect(&self, address: SocketAddr) -> LocalBoxFuture<'_, Result<tokio::net::TcpStream>> {
        Box::pin(self.open(address))
    }
}
