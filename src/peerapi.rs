//! The calls between entry hosts, over JSON-RPC.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

use crate::id::Offset;
use crate::peer::ConfigTail;
use crate::peer::Envelope;
use crate::peer::Receipt;

/// What an entry host offers to the others.
#[rpc(server, client)]
pub(crate) trait PeerApi {
    /// Takes a batch of messages.
    #[method(name = "deliver")]
    async fn deliver(&self, envelope: Envelope) -> RpcResult<Receipt>;

    /// The configuration from `next` on.
    #[method(name = "config_tail")]
    async fn config_tail(&self, next: Offset) -> RpcResult<ConfigTail>;
}
