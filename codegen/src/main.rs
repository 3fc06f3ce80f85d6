//! Regenerates `src/gen` from `schema` with `protox`, so no `protoc` is needed.

use std::error::Error;
use std::path::Path;

const FILES: [&str; 6] = [
    "config.proto",
    "operator.proto",
    "peer.proto",
    "settings.proto",
    "event.proto",
    "records.proto",
];

fn main() -> Result<(), Box<dyn Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let out = std::env::args_os()
        .nth(1)
        .map_or_else(|| root.join("src/gen"), Into::into);
    let schema = root.join("schema");
    let fds = protox::compile(FILES, [&schema])?;
    std::fs::create_dir_all(&out)?;
    tonic_prost_build::configure()
        .build_transport(false)
        .boxed(".peer.Refusal.suspicion")
        .out_dir(&out)
        .type_attribute(".", "#[derive(serde::Serialize, serde::Deserialize)]")
        .message_attribute(".", "#[serde(default, deny_unknown_fields)]")
        // The order of the fields makes positions compare by era first.
        .message_attribute("peer.StreamPosition", "#[derive(PartialOrd, Ord)]")
        .enum_attribute(
            "event.Kind",
            "#[derive(strum::EnumIter, strum::IntoStaticStr, strum::EnumString)]",
        )
        // A log that was never restored gets records that builds without eras can parse.
        .field_attribute(
            ".config.Record.era",
            "#[serde(skip_serializing_if = \"crate::util::is_zero\")]",
        )
        .field_attribute(
            ".records.ClaimRecord.era",
            "#[serde(skip_serializing_if = \"crate::util::is_zero\")]",
        )
        .field_attribute(
            ".records.Lease.era",
            "#[serde(skip_serializing_if = \"crate::util::is_zero\")]",
        )
        .bytes(".peer.Forward.body")
        .bytes(".peer.DelegatedRequest.body")
        .field_attribute(".peer.Header.value", "#[serde(with = \"serde_bytes\")]")
        .field_attribute(
            ".peer.LogSyncReply.config",
            "#[serde(with = \"serde_bytes\")]",
        )
        .field_attribute(
            ".peer.LogSyncReply.changes",
            "#[serde(with = \"serde_bytes\")]",
        )
        .field_attribute(
            ".peer.LogSyncReply.all_upstreams",
            "#[serde(with = \"serde_bytes\")]",
        )
        .field_attribute(
            ".peer.UpstreamChange.record",
            "#[serde(with = \"serde_bytes\")]",
        )
        .field_attribute(
            ".peer.StoredAnswer.body",
            "#[serde(with = \"serde_bytes\")]",
        )
        .field_attribute(".peer.Frame.body.chunk", "#[serde(with = \"serde_bytes\")]")
        .compile_fds(fds)?;
    Ok(())
}
