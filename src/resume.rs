//! Resume tokens: event ids with which a caller goes on at any daemon.
//!
//! An event id is `<generation>~<target>~<mac>.<index>`. The keyed hash binds
//! generation, target and customer, so that only the caller's own stream can be
//! resumed; the index is the caller's own business and is left open.

use crate::wire::{GenerationId, TargetName};

/// Context of the key derived from the shared resume key.
const KEY_CONTEXT: &str = "bluebelldrift 2026-12 resume tokens";
/// Context of the key that derives generation ids from idempotency keys.
const ID_CONTEXT: &str = "bluebelldrift 2026-12 generation ids";
/// Bytes of the hash in a token.
const MAC_BYTES: usize = 16;
/// Bytes of a derived generation id.
const ID_BYTES: usize = 12;
/// Between the parts of a token; no name or id contains it.
const SEPARATOR: char = '~';

/// What a resume token says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumePoint {
    /// The run.
    pub generation: GenerationId,
    /// Target that runs it.
    pub target: TargetName,
    /// Last token the caller has.
    pub index: u64,
}

/// Why a resume token was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum ResumeError {
    /// It has not the form of a token.
    Malformed,
    /// It was not made for this customer, or not by this system.
    Forged,
}

/// Makes and checks resume tokens.
#[derive(Clone)]
pub struct ResumeKey {
    tokens: [u8; 32],
    ids: [u8; 32],
}

impl ResumeKey {
    /// Derives the keys from the shared secret.
    #[must_use]
    pub fn new(secret: &str) -> Self {
        Self {
            tokens: blake3::derive_key(KEY_CONTEXT, secret.as_bytes()),
            ids: blake3::derive_key(ID_CONTEXT, secret.as_bytes()),
        }
    }

    /// Front part of the event ids of a run; `.` and the index follow.
    #[must_use]
    pub fn prefix(&self, generation: &str, target: &str, customer: &str) -> Box<str> {
        let mac = self.mac(generation, target, customer);
        format!("{generation}{SEPARATOR}{target}{SEPARATOR}{mac}").into()
    }

    /// Reads an event id that a customer sent back.
    ///
    /// # Errors
    /// It is malformed, or was not made for this customer.
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
        // Compared by hash, so that the time taken tells nothing of the key.
        if blake3::hash(mac.as_bytes()) != blake3::hash(expected.as_bytes()) {
            return Err(ResumeError::Forged);
        }
        Ok(ResumePoint {
            generation: generation.into(),
            target: target.into(),
            index,
        })
    }

    /// Id of the generation that a customer's idempotency key stands for.
    #[must_use]
    pub fn generation_of(&self, customer: &str, key: &str) -> GenerationId {
        keyed(&self.ids, &[customer, key])[..2 * ID_BYTES].into()
    }

    fn mac(&self, generation: &str, target: &str, customer: &str) -> String {
        let mut mac = keyed(&self.tokens, &[generation, target, customer]);
        mac.truncate(2 * MAC_BYTES);
        mac
    }
}

/// Hash of the parts, each with its length before it.
fn keyed(key: &[u8; 32], parts: &[&str]) -> String {
    let mut hasher = blake3::Hasher::new_keyed(key);
    for part in parts {
        hasher.update(&(part.len() as u64).to_be_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.finalize().to_hex().to_string()
}
