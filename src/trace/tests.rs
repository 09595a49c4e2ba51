use crate::preset::Preset;
use crate::synth::Amount;
use crate::synth::synthesise;
use crate::trace::Trace;

#[test]
fn written_trace_reads_back_equal() {
    let trace = synthesise(&Preset::hoher_grat(), 3, Amount::Load(0.5), 20_000);
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("trace.jsonl");

    trace.write(&path).unwrap();
    let read = Trace::read(&path).unwrap();

    assert_eq!(read, trace);
}

#[test]
fn unknown_field_is_refused_with_its_line() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("trace.jsonl");
    std::fs::write(
        &path,
        "{\"outcome\": {\"policy\": \"a\", \"metrics\": 1}}\n",
    )
    .unwrap();

    let error = Trace::read(&path).unwrap_err().to_string();

    assert!(error.starts_with("line 1: outcome"), "{error}");
}

#[test]
fn prompts_share_hashes_exactly_as_far_as_their_parts() {
    let trace = synthesise(&Preset::hoher_grat(), 3, Amount::Load(0.5), 20_000);
    let mut same_kind = trace
        .requests
        .iter()
        .filter(|request| request.prefix[0].content == 0);
    let first = same_kind.next().unwrap();
    let other = same_kind.find(|r| r.prefix[1] != first.prefix[1]).unwrap();

    let first_hashes = first.prefix_hashes();
    let other_hashes = other.prefix_hashes();

    let kind_blocks = first.prefix[0].blocks as usize;
    assert_eq!(first_hashes[..kind_blocks], other_hashes[..kind_blocks]);
    assert_ne!(first_hashes[kind_blocks], other_hashes[kind_blocks]);
}
