//! Credits of all targets, as this daemon hands them out and holds them.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use crate::{
    clock::BootTime,
    credits::{Credit, local_share},
    platform::{InstanceRole, Instances},
    records::Snapshot,
    wire::TargetName,
};

/// Credits by target.
pub(crate) struct Owner {
    credits: BTreeMap<TargetName, Arc<Credit>>,
    credit_life: Duration,
}

impl Owner {
    /// Starts without any credits. `credit_life` is the life of a grant.
    pub fn new(credit_life: Duration) -> Self {
        Self {
            credits: BTreeMap::new(),
            credit_life,
        }
    }

    /// Credits held for a target; none for one that is not known.
    pub fn credit(&self, target: &str) -> Arc<Credit> {
        self.credits.get(target).cloned().unwrap_or_default()
    }

    /// The baseline: each of `daemons` uses its share of every target's limit.
    pub fn renew(
        &mut self,
        instances: &Instances,
        snapshot: &Snapshot,
        daemons: usize,
        now: BootTime,
    ) {
        let lapses_at = now + self.credit_life;
        for instance in instances.values() {
            let InstanceRole::Target { service } = &instance.role else {
                continue;
            };
            let Some(service) = snapshot.services.get(service) else {
                continue;
            };
            let share = local_share(service.capacity.limit, daemons);
            let credit = self.credits.entry(instance.name.clone()).or_default();
            credit.grant(share, lapses_at);
        }
    }
}
