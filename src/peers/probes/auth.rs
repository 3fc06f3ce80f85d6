//! Authentication of datagrams by a keyed digest.

use sha2::{Digest, Sha256};

pub(super) const TAG_BYTES: usize = 8;

/// Computes and checks the digest that proves that a router of the fleet sent a datagram.
///
/// Failure guarded against: stray or forged datagrams by which live routers would be declared dead.
/// Only routers with the fleet key can compute the digest. Incarnations and ages make a replayed
/// datagram harmless.
#[derive(Clone)]
pub(super) struct DatagramAuth {
    key: [u8; 32],
}

impl DatagramAuth {
    pub(super) fn new(fleet_key: &str) -> Self {
        let key = Sha256::digest(fleet_key.as_bytes()).into();
        Self { key }
    }

    pub(super) fn tag(&self, payload: &[u8]) -> [u8; TAG_BYTES] {
        let digest = Sha256::new()
            .chain_update(self.key)
            .chain_update(payload)
            .chain_update(self.key)
            .finalize();
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&digest[..TAG_BYTES]);
        tag
    }

    pub(super) fn sign(&self, payload: &[u8]) -> Vec<u8> {
        let mut out = self.tag(payload).to_vec();
        out.extend_from_slice(payload);
        out
    }

    pub(super) fn verify<'a>(&self, datagram: &'a [u8]) -> Option<&'a [u8]> {
        let (tag, payload) = datagram.split_at_checked(TAG_BYTES)?;
        (tag == self.tag(payload)).then_some(payload)
    }
}
