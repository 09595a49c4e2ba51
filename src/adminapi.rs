//! The messages of the administration API, JSON over HTTP; `docs/API.md` describes them.

use serde::Deserialize;
use serde::Serialize;

use crate::fold::Rejection;
use crate::id::DataCentre;
use crate::id::EditId;
use crate::id::Offset;
use crate::record::RowDelete;
use crate::record::RowEdit;
use crate::row::Row;
use crate::table::Versioned;

/// Answer to `GET /v1/table`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TableView {
    /// Every record before this offset is folded into the rows.
    pub offset: Offset,
    /// Every row with its version: classes, pools, services, then customers, each by name.
    pub rows: Vec<Versioned<Row>>,
}

/// Body of `POST /v1/edits`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EditRequest {
    /// Names the edit, so that the request may be repeated; chosen by the server if missing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub edit_id: Option<EditId>,
    /// Rows to write, each whole and with the version it was made from.
    #[serde(default)]
    pub rows: Vec<RowEdit>,
    /// Rows to delete, each with the version in force.
    #[serde(default)]
    pub deletes: Vec<RowDelete>,
    /// Only tell what would come of it.
    #[serde(default)]
    pub dry_run: bool,
}

/// What came of an edit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum EditResult {
    /// It was read back from the log and is in force here; it never reverts.
    Accepted {
        /// The edit.
        edit_id: EditId,
        /// Its offset, which is the version of the rows it wrote.
        offset: Offset,
    },
    /// A dry run found nothing against it.
    WouldApply {
        /// The offset of the table that it was tried on.
        offset: Offset,
    },
    /// It changed nothing, and never will.
    Rejected {
        /// The edit.
        edit_id: EditId,
        /// Its offset, if it reached the log before it was rejected.
        offset: Option<Offset>,
        /// Row by row, why.
        #[serde(flatten)]
        rejection: Rejection,
    },
    /// It was not written to the log, and never will be by this request.
    NotAppended {
        /// The edit.
        edit_id: EditId,
    },
    /// It may be in the log: look it up by its id, or send the same edit with the same id again.
    Unsettled {
        /// The edit.
        edit_id: EditId,
    },
}

/// Answer to `GET /v1/in-force`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InForce {
    /// The offset asked about.
    pub offset: Offset,
    /// Entry hosts that have it in force.
    pub in_force: usize,
    /// Entry hosts that answered.
    pub reachable: usize,
    /// Every listed entry host.
    pub hosts: Vec<HostInForce>,
}

/// What an entry host has in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HostInForce {
    /// Its peer address.
    pub address: String,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The offset of the next record to fold; none if it did not answer.
    pub next: Option<Offset>,
}

/// Body of every other failure.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AdminError {
    /// What failed.
    pub error: AdminFailure,
}

/// What failed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AdminFailure {
    /// Why.
    pub code: AdminCode,
    /// A sentence for a person.
    pub message: String,
}

/// Why a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdminCode {
    /// The body or a parameter is malformed.
    InvalidRequest,
    /// The token is missing or unknown.
    Unauthorized,
    /// The token's role does not allow the call.
    Forbidden,
    /// There is no such thing.
    NotFound,
    /// The server has no table yet.
    NotReady,
    /// The platform did not answer.
    PlatformUnavailable,
}

impl AdminCode {
    /// The HTTP status that goes with the code.
    pub const fn http_status(self) -> u16 {
        match self {
            AdminCode::InvalidRequest => 400,
            AdminCode::Unauthorized => 401,
            AdminCode::Forbidden => 403,
            AdminCode::NotFound => 404,
            AdminCode::NotReady | AdminCode::PlatformUnavailable => 503,
        }
    }
}

impl EditResult {
    /// The HTTP status that goes with the result.
    pub const fn http_status(&self) -> u16 {
        match self {
            EditResult::Accepted { .. } | EditResult::WouldApply { .. } => 200,
            EditResult::Rejected { rejection, .. } if rejection.conflicts.is_empty() => 422,
            EditResult::Rejected { .. } => 409,
            EditResult::NotAppended { .. } | EditResult::Unsettled { .. } => 503,
        }
    }
}
