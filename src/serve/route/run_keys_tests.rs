use crate::serve::route::run_keys::RunKey;

/// Host names contain dots, so the key is split from its end.
#[test]
fn run_key_with_a_dotted_host_name_is_parsed() {
    let key = "run.a1.north.example.0190abcd.01a2-7";
    let parsed = RunKey::parse(key).unwrap();
    assert_eq!(parsed.host, "a1.north.example");
    assert_eq!(parsed.prefix, "run.a1.north.example.0190abcd");
    assert_eq!(parsed.id, "01a2-7");
    assert_eq!(RunKey::parse("01a23871-a948-72df-a498-631eef5e3a32"), None);
    assert_eq!(RunKey::parse("run.a1"), None);
}
