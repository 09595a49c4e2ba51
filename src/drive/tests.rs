use crate::drive::prompt;
use crate::preset::Preset;
use crate::request::CompletionRequest;
use crate::standin::count_key;
use crate::standin::output_tokens;
use crate::synth::Amount;
use crate::synth::synthesise;

#[test]
fn prompt_carries_length_directives_and_shared_head() {
    let trace = synthesise(&Preset::hoher_grat(), 1, Amount::Load(0.2), 20_000);

    for request in trace.requests.iter().take(50) {
        let text = prompt(request, "run-7");

        assert_eq!(text.len(), request.prompt_tokens as usize * 4);
        assert_eq!(output_tokens(&text), request.output_tokens);
        assert_eq!(count_key(&text), "run-7");
    }
}

#[test]
fn prompts_of_one_head_share_whole_blocks() {
    let trace = synthesise(&Preset::hoher_grat(), 1, Amount::Load(0.2), 20_000);
    let mut alike = trace.requests.iter();
    let first = alike.next().unwrap();
    let second = alike.find(|r| r.prefix == first.prefix).unwrap();
    let hashes = |request| {
        let text = prompt(request, "k");
        let body = serde_json::json!({"model": "m", "prompt": text}).to_string();
        CompletionRequest::parse(body.as_bytes())
            .unwrap()
            .prefix_hashes()
    };

    let shared = first.prefix_hashes().len();
    assert_eq!(hashes(first)[..shared], hashes(second)[..shared]);
}
