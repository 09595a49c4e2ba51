//! The claim writer: the fold of a claim stream by number of keys within the window.

use crate::fit::Series;
use crate::fit::bytes_held;
use crate::fit::nanos_each;
use cedargauge::claim::ClaimEnd;
use cedargauge::claim::ClaimKey;
use cedargauge::claim::ClaimRecord;
use cedargauge::claim::Summary;
use cedargauge::holdings::Coverage;
use cedargauge::holdings::Holdings;
use cedargauge::id::ClaimId;
use cedargauge::id::CustomerId;
use cedargauge::id::HostId;
use cedargauge::id::Incarnation;
use cedargauge::id::Offset;
use cedargauge::key::IdempotencyKey;
use cedargauge::platform::Record;

const KEYS: [usize; 4] = [1_000, 4_000, 12_000, 48_000];
const RECORDS: usize = 2_000;
const WINDOW_MS: u64 = 900_000;
const NOW_MS: u64 = 1_790_000_000_000;
const CUSTOMERS: usize = 500;

/// Prints the slopes of the claim writer.
pub fn measure() {
    Series::measure("claims, held by keys in the window", &KEYS, |keys| {
        bytes_held(|| holdings(keys))
    })
    .print("bytes");
    Series::measure("fold of a claim and its outcome", &KEYS, |keys| {
        let mut holdings = holdings(keys);
        nanos_each(RECORDS, |index| fold_pair(&mut holdings, keys + index))
    })
    .print("ns");
    println!("claim and outcome records: {} bytes", pair_bytes());
}

fn holdings(keys: usize) -> Holdings {
    let mut holdings = Holdings::new(WINDOW_MS);
    holdings.restart(Offset(0), Coverage::Everything);
    for index in 0..keys {
        fold_pair(&mut holdings, index);
    }
    assert_eq!(holdings.len(), keys);
    holdings
}

fn fold_pair(holdings: &mut Holdings, index: usize) {
    for data in pair(index) {
        let record = Record {
            offset: holdings.next(),
            appended_at_ms: NOW_MS,
            data,
        };
        holdings.apply(&record);
    }
}

fn pair_bytes() -> usize {
    pair(0).iter().map(String::len).sum()
}

fn pair(index: usize) -> [String; 2] {
    let key = ClaimKey {
        customer: CustomerId::new(format!("customer-{:05}", index % CUSTOMERS)),
        key: IdempotencyKey::from_parts(NOW_MS, index as u64),
    };
    let claim = ClaimId::from_u128(index as u128);
    let claimed = ClaimRecord::Claim {
        key: key.clone(),
        claim,
        host: HostId::from("host-0001"),
        incarnation: Incarnation(1),
    };
    let ended = ClaimRecord::Outcome {
        key,
        claim,
        end: ClaimEnd::Done(Summary::default()),
    };
    [claimed.encode(), ended.encode()]
}
