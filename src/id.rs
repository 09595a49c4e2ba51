//! Names and numbers that identify things, each a type of its own.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

/// Declares a string newtype with the usual conversions. Clones share the text, since names are
/// copied with every ticket and message.
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps `text`.
            pub fn new(text: impl Into<Arc<str>>) -> Self {
                $name(text.into())
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                $name(Arc::from(text))
            }
        }
    };
}

/// Declares a UUID newtype made by [`Uuid::now_v7`].
macro_rules! uuid_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub Uuid);

        impl $name {
            /// A new id that sorts by the time it was made.
            pub fn generate() -> Self {
                $name(Uuid::now_v7())
            }

            /// A fixed id for tests and replay.
            pub const fn from_u128(value: u128) -> Self {
                $name(Uuid::from_u128(value))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

name_type! {
    /// An entry host, by the name its settings give it.
    HostId
}
name_type! {
    /// A data centre.
    DataCentre
}
name_type! {
    /// A customer.
    CustomerId
}
name_type! {
    /// A priority class.
    ClassId
}
name_type! {
    /// A service, that is a model or a plain service that callers name.
    ServiceId
}
name_type! {
    /// A pool of upstreams.
    PoolId
}
name_type! {
    /// An upstream, by its `address:port`.
    UpstreamId
}
name_type! {
    /// A version of the software that upstreams run.
    VersionId
}
name_type! {
    /// A region, which holds data centres.
    RegionId
}
uuid_type! {
    /// A caller's request, chosen by the entry host that received it.
    RequestId
}
uuid_type! {
    /// One attempt to run a request at one upstream. Upstreams echo it with every token.
    AttemptId
}
uuid_type! {
    /// A claim on an idempotency key.
    ClaimId
}
uuid_type! {
    /// An edit of the table.
    EditId
}

/// Counts the starts of a host: wall-clock milliseconds at its start. Higher is newer.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// A position in a stream of the platform's log.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Offset(pub u64);

impl Offset {
    /// The offset after this one.
    pub const fn next(self) -> Offset {
        Offset(self.0 + 1)
    }
}

impl fmt::Display for Offset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
