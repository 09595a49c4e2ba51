use std::time::Duration;

use async_trait::async_trait;
use jsonrpsee::core::RpcResult;
use jsonrpsee::server::Server;
use jsonrpsee::server::ServerHandle;
use jsonrpsee::types::ErrorCode;

use super::fetch_config;
use crate::id::Offset;
use crate::peer::ConfigTail;
use crate::peer::Envelope;
use crate::peer::Receipt;
use crate::peerapi::PeerApiServer;

/// A host whose link takes this time for the whole table.
struct SlowLink(Duration);

#[async_trait]
impl PeerApiServer for SlowLink {
    async fn deliver(&self, _envelope: Envelope) -> RpcResult<Receipt> {
        Err(ErrorCode::InternalError.into())
    }

    async fn config_tail(&self, next: Offset) -> RpcResult<ConfigTail> {
        tokio::time::sleep(self.0).await;
        Ok(ConfigTail {
            next,
            base: None,
            snapshot: None,
            records: Vec::new(),
        })
    }
}

async fn serve(link: SlowLink) -> (String, ServerHandle) {
    let server = Server::builder().build("127.0.0.1:0").await.unwrap();
    let address = server.local_addr().unwrap().to_string();
    (address, server.start(link.into_rpc()))
}

// A host that lacks a part of the configuration asks another one for it, and that had 300 ms, as a message
// of some bytes has. A table of 36,000 customers is 9.8 MB, which takes a link of 10 Mbit/s 7.9 s; 512 KB of
// records take it 0.4 s. The host asked again each 500 ms, in vain and beside its own earlier question.
#[actix_rt::test]
async fn a_table_that_takes_a_link_longer_than_a_message_may_take_arrives() {
    let (address, _server) = serve(SlowLink(Duration::from_millis(700))).await;

    let tail = fetch_config(&address, Offset(7), Duration::from_millis(300)).await;

    assert_eq!(tail.unwrap().next, Offset(7));
}
