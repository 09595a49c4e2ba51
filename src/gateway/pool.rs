//! A pool of idle connections to upstreams, used for requests that may be retried.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::gateway::connection::Connection;
use crate::gateway::instance::InstanceId;

/// Time after which an idle connection is closed. Upstreams announce their timeouts in whole seconds, and
/// some drop idle connections earlier than announced.
const IDLE_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum number of idle connections per upstream instance.
const IDLE_CONNECTIONS_MAX: usize = 4;

/// Idle connections, by upstream instance.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: HashMap<InstanceId, Vec<(Connection, Instant)>>,
}

impl ConnectionPool {
    /// Takes an idle connection to `upstream` that has not expired and is still usable.
    pub fn take(&mut self, upstream: &InstanceId) -> Option<Connection> {
        let connections = self.idle.get_mut(upstream)?;
        while let Some((connection, since)) = connections.pop() {
            if since.elapsed() < IDLE_TIMEOUT && connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool. The last response on it must have been read completely.
    pub fn put(&mut self, upstream: &InstanceId, connection: Connection) {
        let connections = self.idle.entry(upstream.clone()).or_default();
        if connections.len() < IDLE_CONNECTIONS_MAX {
            connections.push((connection, Instant::now()));
        }
    }

    /// Closes connections that have been idle for too long or are no longer usable.
    pub fn close_expired(&mut self) {
        for connections in self.idle.values_mut() {
            connections.retain(|(connection, since)| {
                since.elapsed() < IDLE_TIMEOUT && connection.is_usable()
            });
        }
        self.idle.retain(|_, connections| !connections.is_empty());
    }
}
