//! Who gets in: callers by customer key, operators by theirs.

use hyper::header::AUTHORIZATION;
use viz::Request;

use crate::records::{Customer, Snapshot};

/// Name of a customer record.
pub type CustomerName = Box<str>;

/// Hash of a customer's key, as its record holds it.
#[must_use]
pub fn hash_key(salt: &str, key: &str) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(salt.as_bytes());
    hasher.update(key.as_bytes());
    hasher.finalize().to_hex().to_string()
}

/// The customer whose key the request carries.
pub(crate) fn customer_of(req: &Request, snapshot: &Snapshot) -> Option<CustomerName> {
    let key = bearer(req)?;
    let mut customers = snapshot.customers.iter();
    let found = customers.find(|(_, customer)| has_key(customer, key));
    found.map(|(name, _)| name.clone())
}

fn has_key(customer: &Customer, key: &str) -> bool {
    let given = hash_key(&customer.key_salt, key);
    same(&given, &customer.key_hash)
}

/// Whether the request carries the operators' key.
pub(crate) fn is_operator(req: &Request, key: &str) -> bool {
    bearer(req).is_some_and(|given| same(given, key))
}

/// Compares by hash, so that the time taken tells nothing of the key.
fn same(given: &str, expected: &str) -> bool {
    blake3::hash(given.as_bytes()) == blake3::hash(expected.as_bytes())
}

fn bearer(req: &Request) -> Option<&str> {
    let value = req.headers().get(AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ")
}
