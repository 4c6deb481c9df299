//! Ends the read of a list that makes no progress.
//!
//! Load pattern: a store that answers with the same page again, or with further pages without
//! end, is called thousands of times a second by each daemon that starts, and the pages read so
//! far fill its memory. Such a read ends with an error, after which the reader pauses.

use std::collections::HashSet;

use super::feed::ReadError;

/// Maximum number of entries of a list: thirty times the targets of the largest deployment.
const MAX_LIST_ENTRIES: usize = 20_000;

/// Progress of the read of one list in pages.
#[derive(Debug, Default)]
pub struct ListProgress {
    /// Hashes of the names after which pages have continued, since names may be long.
    continued_after: HashSet<blake3::Hash>,
    entries: usize,
}

impl ListProgress {
    /// Records a page, given the number of its entries and the name after which the list
    /// continues.
    ///
    /// # Errors
    /// Returns an error if the list has continued after that name before, or has too many
    /// entries.
    pub fn record_page(&mut self, entries: usize, next: Option<&str>) -> Result<(), ReadError> {
        self.entries = self.entries.saturating_add(entries);
        let failed = |reason: String| {
            Err(ReadError::Failed {
                reason: format!("step=list: {reason}").into(),
            })
        };
        if self.entries > MAX_LIST_ENTRIES {
            return failed(format!("more than {MAX_LIST_ENTRIES} entries"));
        }
        let Some(name) = next else {
            return Ok(());
        };
        if !self.continued_after.insert(blake3::hash(name.as_bytes())) {
            return failed("no progress, a page comes again".to_owned());
        }
        Ok(())
    }
}
