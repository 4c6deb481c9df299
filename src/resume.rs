//! Resume tokens: event ids with which a caller can resume a stream at any daemon.
//!
//! An event id is `<generation>~<target>~<mac>.<index>`. The MAC, a keyed hash, binds
//! generation, target and customer, so that a customer can resume only its own
//! streams. It does not cover the index: a caller may resume its own stream at any token.

use crate::wire::{GenerationId, TargetName};

/// Derivation context of the key that authenticates resume tokens.
const KEY_CONTEXT: &str = "bluebelldrift 2026-12 resume tokens";
/// Derivation context of the key that maps idempotency keys to generation ids.
const ID_CONTEXT: &str = "bluebelldrift 2026-12 generation ids";
/// Length of the MAC in a token, in bytes.
const MAC_BYTES: usize = 16;
/// Length of a derived generation id, in bytes.
const ID_BYTES: usize = 12;
/// Separator of the parts of a token; no name or id contains it.
const SEPARATOR: char = '~';

/// Position from which a stream is resumed, as read from a resume token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumePoint {
    /// Id of the run.
    pub generation: GenerationId,
    /// Target that has the run.
    pub target: TargetName,
    /// Index of the last token that the caller received.
    pub index: u64,
}

/// Reason for which a resume token is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum ResumeError {
    /// The text does not have the form of a token.
    Malformed,
    /// The token was issued for another customer, or not by this system.
    Forged,
}

/// Keys that issue and verify resume tokens and derive generation ids.
#[derive(Clone)]
pub struct ResumeKeys {
    /// Key of the MAC in resume tokens.
    tokens: [u8; 32],
    /// Key that derives generation ids.
    ids: [u8; 32],
}

impl ResumeKeys {
    /// Derives the keys from the shared secret.
    #[must_use]
    pub fn new(secret: &str) -> Self {
        Self {
            tokens: blake3::derive_key(KEY_CONTEXT, secret.as_bytes()),
            ids: blake3::derive_key(ID_CONTEXT, secret.as_bytes()),
        }
    }

    /// Returns the prefix of the event ids of a run; `.` and the token index follow.
    #[must_use]
    pub fn prefix(&self, generation: &str, target: &str, customer: &str) -> Box<str> {
        let mac = self.mac(generation, target, customer);
        format!("{generation}{SEPARATOR}{target}{SEPARATOR}{mac}").into()
    }

    /// Verifies an event id that a customer sent back, and returns its position.
    ///
    /// # Errors
    /// The event id is malformed, or was not issued for this customer.
    pub fn check(&self, token: &str, customer: &str) -> Result<ResumePoint, ResumeError> {
        let (prefix, index) = token.rsplit_once('.').ok_or(ResumeError::Malformed)?;
        let mut parts = prefix.split(SEPARATOR);
        let (Some(generation), Some(target), Some(mac), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(ResumeError::Malformed);
        };
        let index = index.parse().map_err(|_| ResumeError::Malformed)?;
        let expected = self.mac(generation, target, customer);
        // The hashes of the MACs are compared, so that the time taken reveals nothing
        // about the key.
        if blake3::hash(mac.as_bytes()) != blake3::hash(expected.as_bytes()) {
            return Err(ResumeError::Forged);
        }
        Ok(ResumePoint {
            generation: generation.into(),
            target: target.into(),
            index,
        })
    }

    /// Returns the generation id derived from an idempotency key of a customer.
    #[must_use]
    pub fn derive_generation_id(&self, customer: &str, key: &str) -> GenerationId {
        keyed_hash(&self.ids, &[customer, key])[..2 * ID_BYTES].into()
    }

    /// Returns the MAC of a token, in hexadecimal.
    fn mac(&self, generation: &str, target: &str, customer: &str) -> String {
        let mut mac = keyed_hash(&self.tokens, &[generation, target, customer]);
        mac.truncate(2 * MAC_BYTES);
        mac
    }
}

/// Returns the keyed hash of the parts, in hexadecimal. Each part is preceded by its
/// length, so that different parts never give the same input.
fn keyed_hash(key: &[u8; 32], parts: &[&str]) -> String {
    let mut hasher = blake3::Hasher::new_keyed(key);
    for part in parts {
        hasher.update(&(part.len() as u64).to_be_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.finalize().to_hex().to_string()
}
