//! Compression of records sent between routers: the routes of a configuration are similar.

use std::io::{self, Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// Far above the length of any record of the platform's log: longer output of [`decompress`] is
/// refused.
const MAX_BYTES: u64 = 16 << 20;

/// Compresses `record`. A configuration of a thousand routes shrinks to a few percent of its
/// size.
pub(crate) fn compress(record: &[u8]) -> io::Result<Bytes> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(record)?;
    Ok(encoder.finish()?.into())
}

/// Decompresses the output of [`compress`].
pub(crate) fn decompress(compressed: &[u8]) -> io::Result<Bytes> {
    let mut record = Vec::new();
    let mut decoder = DeflateDecoder::new(compressed).take(MAX_BYTES + 1);
    decoder.read_to_end(&mut record)?;
    if record.len() as u64 > MAX_BYTES {
        return Err(io::Error::other("decompressed record exceeds 16 MiB"));
    }
    Ok(record.into())
}
