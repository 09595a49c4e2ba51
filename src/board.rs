//! Gathers a host's status from its parts.

use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use crate::id::DataCentre;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::status::ConfigStatus;
use crate::status::HostStatus;

type Source = Box<dyn Fn(&mut HostStatus) + Send>;

/// The parts of a host that tell its status; clones share them.
#[derive(Clone)]
pub struct StatusBoard {
    host: HostId,
    data_centre: DataCentre,
    incarnation: Incarnation,
    sources: Arc<Mutex<Vec<Source>>>,
}

impl StatusBoard {
    /// A board for a host whose parts are yet to be added.
    pub fn new(host: HostId, data_centre: DataCentre, incarnation: Incarnation) -> Self {
        StatusBoard {
            host,
            data_centre,
            incarnation,
            sources: Arc::default(),
        }
    }

    /// Adds a part: `fill` writes what the part knows into the status, each time it is asked for.
    pub fn add(&self, fill: impl Fn(&mut HostStatus) + Send + 'static) {
        self.sources
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(Box::new(fill));
    }

    /// The host's status now.
    pub fn status(&self) -> HostStatus {
        let mut status = HostStatus {
            host: self.host.clone(),
            data_centre: self.data_centre.clone(),
            incarnation: self.incarnation,
            not_ready: Vec::new(),
            config: ConfigStatus::default(),
            streams_open: 0,
            requests_waiting: 0,
            claims_waiting: 0,
            upstreams: Vec::new(),
            limits: Vec::new(),
            peers: Vec::new(),
        };
        let sources = self.sources.lock().unwrap_or_else(PoisonError::into_inner);
        for fill in sources.iter() {
            fill(&mut status);
        }
        status
    }
}

impl fmt::Debug for StatusBoard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StatusBoard")
            .field("host", &self.host)
            .field("incarnation", &self.incarnation)
            .finish_non_exhaustive()
    }
}
