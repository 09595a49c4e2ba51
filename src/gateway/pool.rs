//! Idle connections to upstreams, kept for requests that may run again.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::gateway::connection::Connection;
use crate::gateway::instance::InstanceId;

/// An idle connection is closed after this time. Upstreams announce timeouts in whole seconds, and
/// some drop idle connections sooner without a word.
const IDLE_TIMEOUT: Duration = Duration::from_millis(900);
/// Idle connections kept to one upstream.
const IDLE_CONNECTIONS_MAX: usize = 4;

/// Idle connections by the instance that they lead to.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: HashMap<InstanceId, Vec<(Connection, Instant)>>,
}

impl ConnectionPool {
    /// An idle connection that still looks alive.
    pub fn take(&mut self, upstream: &InstanceId) -> Option<Connection> {
        let connections = self.idle.get_mut(upstream)?;
        while let Some((connection, since)) = connections.pop() {
            if since.elapsed() < IDLE_TIMEOUT && connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer was read to its end.
    pub fn put(&mut self, upstream: &InstanceId, connection: Connection) {
        let connections = self.idle.entry(upstream.clone()).or_default();
        if connections.len() < IDLE_CONNECTIONS_MAX {
            connections.push((connection, Instant::now()));
        }
    }

    /// Closes connections that were idle for too long.
    pub fn close_expired(&mut self) {
        for connections in self.idle.values_mut() {
            connections.retain(|(connection, since)| {
                since.elapsed() < IDLE_TIMEOUT && connection.is_usable()
            });
        }
        self.idle.retain(|_, connections| !connections.is_empty());
    }
}
