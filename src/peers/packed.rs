//! Records on their way between routers, made smaller: a configuration is much the same line a thousand times.

use std::io::{self, Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// No record of the platform's log is longer, by far: what unpacks to more is refused.
const MAX_BYTES: u64 = 16 << 20;

/// Makes `record` smaller. A configuration of a thousand routes shrinks to some hundredths.
pub(crate) fn pack(record: &[u8]) -> io::Result<Bytes> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(record)?;
    Ok(encoder.finish()?.into())
}

/// The record that [`pack`] made smaller.
pub(crate) fn unpack(packed: &[u8]) -> io::Result<Bytes> {
    let mut record = Vec::new();
    let mut decoder = DeflateDecoder::new(packed).take(MAX_BYTES + 1);
    decoder.read_to_end(&mut record)?;
    if record.len() as u64 > MAX_BYTES {
        return Err(io::Error::other("longer than any record"));
    }
    Ok(record.into())
}
