//! Follows the configuration stream from its first record.

use std::sync::Arc;
use std::time::Duration;

use awc::Client;

use crate::config::ConfigHandle;
use crate::config::ConfigState;
use crate::platform::CONFIG_STREAM;
use crate::platform::ReadAnswer;
use crate::table::Table;

/// Long polls wait this long, in milliseconds.
const WAIT_MS: u64 = 1_000;

/// Timeout of a read, in milliseconds.
const READ_TIMEOUT_MS: u64 = 5_000;

/// Pause after a read that failed, in milliseconds.
const RETRY_MS: u64 = 200;

/// Follows the stream of the platform at `address` in the background.
pub fn follow(address: String) -> ConfigHandle {
    let config = ConfigHandle::starting_with(ConfigState {
        table: Arc::default(),
        is_ready: false,
        reason: "the configuration stream was not read yet".to_owned(),
    });
    actix_rt::spawn(run(address, config.clone()));
    config
}

async fn run(address: String, config: ConfigHandle) {
    let client = Client::builder()
        .timeout(Duration::from_millis(READ_TIMEOUT_MS))
        .finish();
    let mut table = Table::default();
    loop {
        let url = format!(
            "http://{address}/v1/streams/{CONFIG_STREAM}/records?from={}&limit=1000&wait_ms={WAIT_MS}",
            table.next
        );
        match read(&client, &url).await {
            Some(answer) => fold(&mut table, &answer, &config),
            None => tokio::time::sleep(Duration::from_millis(RETRY_MS)).await,
        }
    }
}

async fn read(client: &Client, url: &str) -> Option<ReadAnswer> {
    let mut response = client.get(url).send().await.ok()?;
    response.json().await.ok()
}

fn fold(table: &mut Table, answer: &ReadAnswer, config: &ConfigHandle) {
    for record in &answer.records {
        if record.offset == table.next {
            table.apply(record);
        }
    }
    if !answer.records.is_empty() {
        config.publish(ConfigState {
            table: Arc::new(table.clone()),
            is_ready: true,
            reason: String::new(),
        });
    }
}
