//! Authenticates requests: callers by the key of their customer, operators by
//! the operator key.

use hyper::header::AUTHORIZATION;
use viz::Request;

use crate::records::{Customer, Snapshot};

/// Name of a customer record.
pub type CustomerName = Box<str>;

/// Returns the salted hash of a customer's key, in the form stored in the
/// customer record.
#[must_use]
pub fn hash_key(salt: &str, key: &str) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(salt.as_bytes());
    hasher.update(key.as_bytes());
    hasher.finalize().to_hex().to_string()
}

/// Returns the name of the customer whose key the request carries.
pub(crate) fn customer_of(req: &Request, snapshot: &Snapshot) -> Option<CustomerName> {
    let key = bearer_token(req)?;
    let mut customers = snapshot.customers.iter();
    let found = customers.find(|(_, customer)| has_key(customer, key));
    found.map(|(name, _)| name.clone())
}

fn has_key(customer: &Customer, key: &str) -> bool {
    let given = hash_key(&customer.key_salt, key);
    eq_by_hash(&given, &customer.key_hash)
}

/// Returns whether the request carries the operator key.
pub(crate) fn is_operator(req: &Request, key: &str) -> bool {
    bearer_token(req).is_some_and(|given| eq_by_hash(given, key))
}

/// Compares two secrets by their hashes, so that the time taken reveals nothing
/// about the expected one.
fn eq_by_hash(given: &str, expected: &str) -> bool {
    blake3::hash(given.as_bytes()) == blake3::hash(expected.as_bytes())
}

fn bearer_token(req: &Request) -> Option<&str> {
    let value = req.headers().get(AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ")
}
