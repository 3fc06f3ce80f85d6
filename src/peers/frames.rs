//! Frames between routers: a length, followed by the message encoded with bincode.

use bytes::{Buf, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;

/// Upper limit of a frame: a request body of the largest accepted size, with its headers.
pub(crate) const MAX_FRAME_BYTES: usize = 16 << 20;

const LENGTH_BYTES: usize = 4;

/// Error of encoding or decoding a frame.
#[derive(Debug, Snafu)]
pub(crate) enum FrameError {
    #[snafu(display("frame of {len} bytes exceeds the limit of 16 MiB"))]
    TooLong { len: usize },
    #[snafu(display("frame can't be encoded or decoded: {detail}"))]
    Malformed { detail: String },
}

/// Encodes one message with its length in front.
pub(crate) fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, FrameError> {
    let mut out = vec![0; LENGTH_BYTES];
    let config = bincode::config::standard();
    let written = bincode::serde::encode_into_std_write(message, &mut out, config);
    let len = written.map_err(|e| FrameError::Malformed {
        detail: e.to_string(),
    })?;
    let len = u32::try_from(len).unwrap_or(u32::MAX);
    out[..LENGTH_BYTES].copy_from_slice(&len.to_be_bytes());
    Ok(out)
}

pub(crate) fn to_vec<T: Serialize>(message: &T) -> Result<Vec<u8>, FrameError> {
    bincode::serde::encode_to_vec(message, bincode::config::standard()).map_err(|e| {
        FrameError::Malformed {
            detail: e.to_string(),
        }
    })
}

pub(crate) fn from_slice<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, FrameError> {
    let config = bincode::config::standard().with_limit::<MAX_FRAME_BYTES>();
    bincode::serde::decode_from_slice(bytes, config)
        .map(|(message, _)| message)
        .map_err(|e| FrameError::Malformed {
            detail: e.to_string(),
        })
}

/// Decodes one message with its length in front.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, FrameError> {
    match bytes.split_first_chunk::<LENGTH_BYTES>() {
        Some((head, payload)) if u32::from_be_bytes(*head) as usize == payload.len() => {
            from_slice(payload)
        }
        _ => MalformedSnafu {
            detail: "its length is not that of its payload",
        }
        .fail(),
    }
}

/// Splits a byte stream into messages.
#[derive(Debug, Default)]
pub(crate) struct Decoder {
    pending: BytesMut,
}

impl Decoder {
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    pub(crate) fn next<T: DeserializeOwned>(&mut self) -> Result<Option<T>, FrameError> {
        let Some(head) = self.pending.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let len = u32::from_be_bytes(*head) as usize;
        if len > MAX_FRAME_BYTES {
            return TooLongSnafu { len }.fail();
        }
        if self.pending.len() < LENGTH_BYTES + len {
            return Ok(None);
        }
        self.pending.advance(LENGTH_BYTES);
        let payload = self.pending.split_to(len);
        from_slice(&payload).map(Some)
    }
}
