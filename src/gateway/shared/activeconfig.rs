//! The configuration that a host has in force: versions only rise.

use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;

use bytes::Bytes;

use super::Shared;
use crate::error::Error;
use crate::error::Result;
use crate::event::EventCode;
use crate::gateway::configuration::Configuration;
use crate::gateway::document::CutDocument;
use crate::gateway::document::DOCUMENT_BYTES_MAX;

/// A configuration with the document it was read from, of which peers may fetch pieces.
#[derive(Debug, Clone)]
pub struct ActiveConfig {
    /// What is in force.
    pub configuration: Arc<Configuration>,
    source: Arc<SourceRecord>,
}

/// The record that a configuration was read from.
#[derive(Debug)]
struct SourceRecord {
    key: String,
    version: u64,
    document: Bytes,
    /// Cut when the first peer asks: hosts that read the log for themselves need no pieces.
    pieces: OnceLock<CutDocument>,
}

impl ActiveConfig {
    /// The document in pieces.
    pub fn pieces(&self) -> &CutDocument {
        let source = &self.source;
        source
            .pieces
            .get_or_init(|| CutDocument::cut(&source.key, source.version, source.document.clone()))
    }
}

impl Shared {
    /// The configuration in force.
    pub fn active_config(&self) -> Option<ActiveConfig> {
        let in_force = self.0.active_config.read();
        in_force.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The configuration in force, without its document.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        let in_force = self.0.active_config.read();
        let in_force = in_force.unwrap_or_else(PoisonError::into_inner);
        in_force.as_ref().map(|active| active.configuration.clone())
    }

    /// The version in force; 0 while there is none.
    pub fn config_version(&self) -> u64 {
        self.0.config_version.load(Ordering::Relaxed)
    }

    /// Takes a configuration document, unless one as new is in force. `source` says where it came
    /// from.
    pub async fn offer_configuration(&self, key: &str, document: &Bytes, source: &str) {
        match self.decode(key, document).await {
            Ok(Some(configuration)) => {
                self.activate(configuration, key, document, OnceLock::new(), source);
            }
            Ok(None) => {}
            Err(error) => self.log_skipped_document(key, source, &error),
        }
    }

    /// The same for a document that peers told in pieces.
    ///
    /// # Errors
    ///
    /// What is wrong with it.
    pub(crate) async fn offer_pieces(&self, pieces: CutDocument, source: &str) -> Result<()> {
        let key = pieces.manifest().key.clone();
        let document = pieces.document().clone();
        let announced = pieces.manifest().version;
        let configuration = match self.decode(&key, &document).await? {
            Some(configuration) if configuration.version == announced => configuration,
            Some(_) => return Err(Error::Document(format!("it is not version {announced}"))),
            None => return Err(Error::Document(format!("{key} names no configuration"))),
        };
        self.activate(
            configuration,
            &key,
            &document,
            OnceLock::from(pieces),
            source,
        );
        Ok(())
    }

    /// Reads a document apart from the threads that relay. On hosts of 0.12 cores one of 3.3 MB took them 0.2 s
    /// at each change, in which calls with 150 ms to go came late: 0.910 of the worth of a day of growing
    /// documents was served with the reading between the calls, 0.936 with it apart (one play each).
    async fn decode(&self, key: &str, document: &Bytes) -> Result<Option<Configuration>> {
        let bytes = document.len() as u64;
        if bytes > DOCUMENT_BYTES_MAX {
            return Err(Error::Document(format!("{bytes} bytes are too many")));
        }
        let (protocol, key, document) = (self.0.protocol.clone(), key.to_owned(), document.clone());
        let decoding = tokio::task::spawn_blocking(move || protocol.configuration(&key, &document));
        decoding
            .await
            .map_err(|error| Error::Document(error.to_string()))?
    }

    fn log_skipped_document(&self, key: &str, source: &str, error: &Error) {
        let line = self.log().line(EventCode::RecordSkipped);
        line.with("source", source)
            .with("key", key)
            .with("reason", error.to_string())
            .write();
    }

    fn activate(
        &self,
        configuration: Configuration,
        key: &str,
        document: &Bytes,
        pieces: OnceLock<CutDocument>,
        source: &str,
    ) {
        let version = configuration.version;
        {
            let in_force = self.0.active_config.write();
            let mut in_force = in_force.unwrap_or_else(PoisonError::into_inner);
            let current = in_force.as_ref().map(|active| active.configuration.version);
            if current.is_some_and(|current| current >= version) {
                return;
            }
            let source = SourceRecord {
                key: key.to_owned(),
                version,
                document: document.clone(),
                pieces,
            };
            *in_force = Some(ActiveConfig {
                configuration: Arc::new(configuration),
                source: Arc::new(source),
            });
            self.0.config_version.store(version, Ordering::Relaxed);
        }
        self.drop_assembly(version);
        let behind = self.track_newer_version();
        let line = self.log().line(EventCode::ConfigReady);
        line.with("version", version)
            .with("bytes", document.len())
            .with("source", source)
            .with_some("behind_ms", behind.map(|behind| behind.as_millis() as u64))
            .write();
        self.announce_now();
    }
}
