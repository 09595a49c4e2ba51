//! Every file of `examples/` is read as its program reads it, and the files fit together.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

use cedargauge::admin::AdminSettings;
use cedargauge::fold::Outcome;
use cedargauge::id::Offset;
use cedargauge::platform::HostKind;
use cedargauge::platform::HostList;
use cedargauge::platform::Record;
use cedargauge::record::first_edit;
use cedargauge::row::Row;
use cedargauge::settings;
use cedargauge::settings::EntrySettings;
use cedargauge::table::Table;

fn directory() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/small-deployment")
}

fn read<S: serde::de::DeserializeOwned>(name: &str) -> S {
    settings::read(&directory().join(name)).unwrap_or_else(|fault| panic!("{name}: {fault}"))
}

fn names() -> Vec<String> {
    fs::read_dir(directory())
        .expect("the directory")
        .map(|entry| entry.expect("an entry").file_name())
        .map(|name| name.to_string_lossy().into_owned())
        .collect()
}

fn entries() -> Vec<EntrySettings> {
    names()
        .iter()
        .filter(|name| name.starts_with("entry-"))
        .map(|name| read(name))
        .collect()
}

fn listed(kind: HostKind) -> BTreeSet<(String, String)> {
    read::<HostList>("hosts.json")
        .hosts
        .into_iter()
        .filter(|host| host.kind == kind)
        .map(|host| (host.address, host.data_centre.to_string()))
        .collect()
}

#[test]
fn every_file_is_of_a_known_kind() {
    for name in names() {
        match name.as_str() {
            "README.md" | "start.sh" => {}
            "admin.json" => drop(read::<AdminSettings>(&name)),
            "table.json" => drop(read::<Vec<Row>>(&name)),
            "hosts.json" => drop(read::<HostList>(&name)),
            name if name.starts_with("entry-") => drop(read::<EntrySettings>(name)),
            name => panic!("{name}: no test reads it"),
        }
    }
}

#[test]
fn the_table_is_accepted() {
    let record = Record {
        offset: Offset(0),
        appended_at_ms: 0,
        data: first_edit(read("table.json")).unwrap(),
    };

    let outcome = Table::default().apply(&record);

    assert!(matches!(outcome, Outcome::Applied(_)), "{outcome:?}");
}

#[test]
fn the_host_list_names_the_entry_hosts_and_upstreams_where_they_are() {
    let in_settings: BTreeSet<_> = entries()
        .into_iter()
        .map(|entry| (entry.peer_address, entry.data_centre.to_string()))
        .collect();
    let in_table: BTreeSet<_> = read::<Vec<Row>>("table.json")
        .into_iter()
        .filter_map(|row| match row {
            Row::Pool(pool) => Some(pool.upstreams),
            _ => None,
        })
        .flatten()
        .map(|row| (row.upstream.to_string(), row.data_centre.to_string()))
        .collect();

    assert_eq!(in_settings.len(), 8);
    assert_eq!(listed(HostKind::Entry), in_settings);
    assert_eq!(listed(HostKind::Upstream), in_table);
}

#[test]
fn no_address_is_used_twice() {
    let addresses: Vec<String> = entries()
        .into_iter()
        .flat_map(|entry| [entry.caller_address, entry.peer_address])
        .chain(
            listed(HostKind::Upstream)
                .into_iter()
                .map(|(address, _)| address),
        )
        .collect();

    let distinct: BTreeSet<&String> = addresses.iter().collect();

    assert_eq!(distinct.len(), addresses.len());
}
