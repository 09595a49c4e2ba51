//! The configuration that a host has in force: versions only rise.

use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;

use bytes::Bytes;

use super::Shared;
use crate::event::EventCode;
use crate::gateway::configuration::Configuration;

/// A configuration with the document it was read from, which peers may fetch.
#[derive(Debug, Clone)]
pub struct InForce {
    /// What is in force.
    pub configuration: Arc<Configuration>,
    /// The record's key.
    pub key: String,
    /// The record's value.
    pub document: Bytes,
}

impl Shared {
    /// The configuration in force.
    pub fn in_force(&self) -> Option<InForce> {
        let in_force = self.0.in_force.read();
        in_force.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The configuration in force, without its document.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        let in_force = self.0.in_force.read();
        let in_force = in_force.unwrap_or_else(PoisonError::into_inner);
        in_force.as_ref().map(|held| held.configuration.clone())
    }

    /// The version in force; 0 while there is none.
    pub fn config_version(&self) -> u64 {
        self.0.config_version.load(Ordering::Relaxed)
    }

    /// Takes a configuration document, unless one as new is in force. `source` says where it came
    /// from.
    pub fn offer_configuration(&self, key: &str, document: &Bytes, source: &str) {
        let configuration = match self.protocol().configuration(key, document) {
            Ok(Some(configuration)) => configuration,
            Ok(None) => return,
            Err(error) => {
                let line = self.log().line(EventCode::RecordSkipped);
                line.with("source", source)
                    .with("key", key)
                    .with("reason", error.to_string())
                    .write();
                return;
            }
        };
        let version = configuration.version;
        {
            let in_force = self.0.in_force.write();
            let mut in_force = in_force.unwrap_or_else(PoisonError::into_inner);
            let current = in_force.as_ref().map(|held| held.configuration.version);
            if current.is_some_and(|current| current >= version) {
                return;
            }
            *in_force = Some(InForce {
                configuration: Arc::new(configuration),
                key: key.to_owned(),
                document: document.clone(),
            });
            self.0.config_version.store(version, Ordering::Relaxed);
        }
        let line = self.log().line(EventCode::ConfigReady);
        line.with("version", version)
            .with("bytes", document.len())
            .with("source", source)
            .write();
        self.tell_news();
    }
}
