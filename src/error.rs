//! The library's one error type. What callers are told is a [`crate::refusal::Refusal`], not this.

use std::net::SocketAddr;

/// What can go wrong at the edges of a process.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// A file could not be read or written.
    #[error("{path}: {source}")]
    File {
        /// The path as given.
        path: String,
        /// The cause.
        source: std::io::Error,
    },
    /// Settings or a table row hold bad values: one line a fault.
    #[error("{}", faults.join("\n"))]
    Invalid {
        /// Each fault with its field's path, the value and what is allowed.
        faults: Vec<String>,
    },
    /// A message could not be encoded or decoded.
    #[error("bad message: {0}")]
    Message(#[from] serde_json::Error),
    /// A datagram of another host could not be decoded.
    #[error("bad datagram: {0}")]
    Datagram(String),
    /// A text is no fingerprint of a request.
    #[error("{0:?} is no fingerprint")]
    Fingerprint(String),
    /// A document or a piece of it that another host sent is not what it should be.
    #[error("bad document: {0}")]
    Document(String),
    /// Another process did not answer, or not as its protocol says.
    #[error("{peer}: {reason}")]
    Remote {
        /// Address of the other process.
        peer: String,
        /// What happened.
        reason: String,
    },
    /// An address of this host could not be opened.
    #[error("{address}: {source}")]
    Socket {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The process may open too few descriptors to serve.
    #[error("the process may open {max} descriptors and needs {needed}")]
    Descriptors {
        /// How many it may open.
        max: u64,
        /// How many it needs without any connection.
        needed: u64,
    },
    /// The threads that serve requests did not start.
    #[error("no thread serves requests after {waited_ms} ms")]
    NoThreads {
        /// For how long they were waited for.
        waited_ms: u64,
    },
    /// A socket could not be opened.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// Result with the library's error.
pub type Result<T> = std::result::Result<T, Error>;
