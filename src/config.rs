//! The configuration in force, as the rest of the process sees it.

use std::sync::Arc;

use tokio::sync::watch;

use crate::id::Offset;
use crate::table::Table;

/// What is in force, and why nothing is if nothing is.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigState {
    /// The table in force; empty while not ready.
    pub table: Arc<Table>,
    /// Whether the host may serve by it.
    pub is_ready: bool,
    /// Why the host may not serve, or what is wrong although it does; empty if all is well.
    pub reason: String,
}

/// A handle on the configuration in force; clones share it.
#[derive(Debug, Clone)]
pub struct ConfigHandle {
    state: watch::Receiver<ConfigState>,
    sender: Arc<watch::Sender<ConfigState>>,
}

impl ConfigHandle {
    /// A handle on a table that never changes, for tests and demos.
    pub fn fixed(table: Table) -> Self {
        ConfigHandle::starting_with(ConfigState {
            table: Arc::new(table),
            is_ready: true,
            reason: String::new(),
        })
    }

    /// The table in force.
    pub fn table(&self) -> Arc<Table> {
        Arc::clone(&self.state.borrow().table)
    }

    /// Whether the host has a configuration to serve by.
    pub fn is_ready(&self) -> bool {
        self.state.borrow().is_ready
    }

    /// What is in force, and why nothing is if nothing is.
    pub fn state(&self) -> ConfigState {
        self.state.borrow().clone()
    }

    /// Waits until a table beyond `seen`, an earlier table's `next`, is in force.
    pub async fn changed(&self, seen: Offset) -> Arc<Table> {
        let mut state = self.state.clone();
        let beyond = state.wait_for(|state| state.table.next > seen).await;
        // The handle holds the sender, so the channel is open while it waits.
        beyond.map_or_else(|_| self.table(), |state| Arc::clone(&state.table))
    }

    pub(crate) fn starting_with(state: ConfigState) -> Self {
        let (sender, receiver) = watch::channel(state);
        ConfigHandle {
            state: receiver,
            sender: Arc::new(sender),
        }
    }

    /// Puts a state in force.
    pub fn publish(&self, state: ConfigState) {
        self.sender.send_replace(state);
    }
}
