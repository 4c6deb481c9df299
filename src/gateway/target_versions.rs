//! Applies the versions of targets to this daemon's view of the fleet.

use super::model::{Change, Fleet, TargetId};
use crate::log::shown;

impl Fleet {
    pub(super) fn put_version(&mut self, id: &TargetId, version: &str) {
        let Some(known) = self.targets.get_mut(id) else {
            return;
        };
        if known.version.as_deref() != Some(version) {
            log::info!(
                "event=target_version id={id} version={version}",
                id = shown(&id),
                version = shown(&version)
            );
            known.version = Some(version.into());
        }
    }

    /// Removes the versions that this daemon knows from a batch of changes, before it is
    /// forwarded to daemons that know them as well: targets write their entries every second or
    /// two, and their versions stay the same. Versions of lapsed targets are left, since other
    /// daemons may have removed these.
    pub fn remove_known_versions(&self, changes: &mut Vec<Change>) {
        let is_removal =
            |c: &Change| matches!(c, Change::TargetGone(_) | Change::Unreadable { .. });
        // A target may be removed and return within the batch.
        if changes.iter().any(is_removal) {
            return;
        }
        changes.retain(|change| {
            let Change::TargetVersion(id, version) = change else {
                return true;
            };
            let known = self.targets.get(id);
            let known = known.filter(|known| known.removal_due_at.is_none());
            known.is_none_or(|known| known.version.as_ref() != Some(version))
        });
    }
}
