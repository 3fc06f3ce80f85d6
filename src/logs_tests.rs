use log::Level;

use super::*;

#[test]
fn log_line_has_host_data_centre_and_request_id() {
    let ids = [("request_id", "r-1")];
    let record = Record::builder()
        .args(format_args!("upstream failed"))
        .level(Level::Warn)
        .target("serve")
        .key_values(&ids)
        .build();
    let line = line("a1", "north", &record);
    assert_eq!(line["host"], "a1");
    assert_eq!(line["data_center"], "north");
    assert_eq!(line["request_id"], "r-1");
    assert_eq!(line["level"], "WARN");
    assert_eq!(line["message"], "upstream failed");
    assert!(line["at_ms"].as_u64().is_some_and(|ms| ms > 0));
}

#[test]
fn log_line_without_a_request_has_no_request_id() {
    let record = Record::builder()
        .args(format_args!("a \"quoted\"\nline"))
        .build();
    let text = line("a1", "north", &record).to_string();
    assert!(!text.contains("request_id"));
    assert!(!text.contains('\n'), "one line each");
}
