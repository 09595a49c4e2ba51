//! The active configuration of a host. Its version never decreases.

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

/// Highest version that is taken. Versions rise in small steps.
const VERSION_MAX: u64 = 1 << 53;

/// A configuration together with its source document, which peers may fetch in pieces.
#[derive(Debug, Clone)]
pub struct ActiveConfig {
    /// The decoded configuration.
    pub configuration: Arc<Configuration>,
    source: Arc<SourceRecord>,
}

/// The record that a configuration was read from.
#[derive(Debug)]
struct SourceRecord {
    key: String,
    version: u64,
    document: Bytes,
    /// Split when the first peer asks: in a small fleet hosts read the log themselves and need no pieces.
    pieces: OnceLock<CutDocument>,
}

impl ActiveConfig {
    /// The document, split into pieces.
    pub fn pieces(&self) -> &CutDocument {
        let source = &self.source;
        source
            .pieces
            .get_or_init(|| CutDocument::cut(&source.key, source.version, source.document.clone()))
    }
}

impl Shared {
    /// The active configuration.
    pub fn active_config(&self) -> Option<ActiveConfig> {
        let in_force = self.0.active_config.read();
        in_force.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The active configuration without its document.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        let in_force = self.0.active_config.read();
        let in_force = in_force.unwrap_or_else(PoisonError::into_inner);
        in_force.as_ref().map(|active| active.configuration.clone())
    }

    /// The version of the active configuration; 0 while there is none.
    pub fn config_version(&self) -> u64 {
        self.0.config_version.load(Ordering::Relaxed)
    }

    /// Decodes a configuration document and activates it if its version is newer than the active one.
    /// `source` names its origin in log entries.
    pub async fn offer_configuration(&self, key: &str, document: &Bytes, source: &str) {
        match self.decode(key, document).await {
            Ok(Some(configuration)) => {
                self.activate(configuration, key, document, OnceLock::new(), source);
            }
            Ok(None) => {}
            Err(error) => self.log_skipped_document(key, source, &error),
        }
    }

    /// Like [`Shared::offer_configuration`], for a document fetched from peers in pieces.
    ///
    /// # Errors
    ///
    /// An error if the document can't be decoded, or is not of the version that its manifest states.
    pub(crate) async fn offer_pieces(&self, pieces: CutDocument, source: &str) -> Result<()> {
        let key = pieces.manifest().key.clone();
        let document = pieces.document().clone();
        let announced = pieces.manifest().version;
        let configuration = match self.decode(&key, &document).await? {
            Some(configuration) if configuration.version == announced => configuration,
            Some(_) => {
                return Err(Error::Document(format!(
                    "the document is not of version {announced}, which its manifest states"
                )));
            }
            None => {
                return Err(Error::Document(format!(
                    "key {key:?} doesn't name a configuration"
                )));
            }
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

    /// Decodes a document on a blocking thread. On hosts with 0.12 cores a document of 3.3 MB took 0.2 s, which
    /// made calls with 150 ms left miss their deadline: in a test day of growing documents, 0.910 of the value
    /// was served with decoding on the request threads and 0.936 with decoding on a blocking thread (one run
    /// each).
    async fn decode(&self, key: &str, document: &Bytes) -> Result<Option<Configuration>> {
        let bytes = document.len() as u64;
        if bytes > DOCUMENT_BYTES_MAX {
            return Err(Error::Document(format!(
                "a document of {bytes} bytes exceeds the limit of {DOCUMENT_BYTES_MAX}"
            )));
        }
        let (protocol, key, document) = (self.0.protocol.clone(), key.to_owned(), document.clone());
        let decoding =
            tokio::task::spawn_blocking(move || protocol.decode_configuration(&key, &document));
        decoding
            .await
            .map_err(|error| Error::Document(error.to_string()))?
    }

    fn log_skipped_document(&self, key: &str, source: &str, error: &Error) {
        let line = self.log().entry(EventCode::RecordSkipped);
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
        if version > VERSION_MAX {
            let reason = format!("version {version} would shut out all later ones");
            self.log_skipped_document(key, source, &Error::Document(reason));
            return;
        }
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
        let line = self.log().entry(EventCode::ConfigReady);
        line.with("version", version)
            .with("bytes", document.len())
            .with("source", source)
            .with_some("behind_ms", behind.map(|behind| behind.as_millis() as u64))
            .write();
        self.announce_now();
    }
}
