//! Division of client accounts' quotas among shards.
//!
//! One stored value holds, for a group of accounts, the part of each quota that each shard may use.
//! A shard that needs more takes it from what is not granted; one that has more than it needs gives
//! back only what it does not use. Every change is a compare-and-swap of the whole value, so the
//! parts never add up to more than the quota, however many owners write at once.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::Grant;
use model::AccountId;
use model::ShardId;

/// Division of one account's quota among shards.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaParts {
    /// The whole quota, in accelerators.
    pub quota: u32,
    /// Accelerators granted to each shard.
    pub shards: BTreeMap<ShardId, u32>,
}

impl QuotaParts {
    /// Accelerators that are not granted to any shard.
    pub fn ungranted(&self) -> u32 {
        self.quota.saturating_sub(self.granted())
    }

    fn granted(&self) -> u32 {
        self.shards.values().fold(0, |sum, part| sum.saturating_add(*part))
    }
}

/// A shard cannot get the part of a quota that it asks for.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum QuotaError {
    /// The ledger has no such account.
    #[error("client account {account} has no quota")]
    NoAccount {
        /// The account.
        account: AccountId,
    },
    /// Too little of the quota is left for the shard's request.
    #[error("client account {account} has {spare} accelerators left, not {wanted}")]
    Exhausted {
        /// The account.
        account: AccountId,
        /// Accelerators that the shard wanted on top of its present part.
        wanted: u32,
        /// Accelerators that are not granted to any shard.
        spare: u32,
    },
}

/// Division of the quotas of a group of accounts, stored as one value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    accounts: BTreeMap<AccountId, QuotaParts>,
}

impl Ledger {
    /// Division of an account's quota; `None` if the account has none.
    pub fn parts(&self, account: &AccountId) -> Option<&QuotaParts> {
        self.accounts.get(account)
    }

    /// Sets an account's whole quota.
    ///
    /// Parts that are granted stay as they are. After a reduction, shards that have more than the
    /// new quota allows give it back as their jobs end, and until then no shard gets more.
    pub fn set_quota(&mut self, account: &AccountId, quota: u32) {
        self.accounts.entry(account.clone()).or_default().quota = quota;
    }

    /// Sets the part of one shard to `wanted` accelerators.
    ///
    /// # Errors
    ///
    /// [`QuotaError`] if the account has no quota or too little of it is left.
    pub fn set_part(
        &mut self,
        account: &AccountId,
        shard: &ShardId,
        wanted: u32,
    ) -> Result<(), QuotaError> {
        let no_account = || QuotaError::NoAccount { account: account.clone() };
        let parts = self.accounts.get_mut(account).ok_or_else(no_account)?;
        let has = parts.shards.get(shard).copied().unwrap_or(0);
        let more = wanted.saturating_sub(has);
        let spare = parts.ungranted();
        if more > spare {
            let account = account.clone();
            return Err(QuotaError::Exhausted { account, wanted: more, spare });
        }
        match wanted {
            0 => parts.shards.remove(shard),
            _ => parts.shards.insert(shard.clone(), wanted),
        };
        assert!(more == 0 || parts.granted() <= parts.quota, "{account} is granted over its quota");
        Ok(())
    }

    /// The parts that are granted to one shard, zero for accounts without one.
    pub fn grants(&self, shard: &ShardId) -> Vec<Grant> {
        let grant = |(account, parts): (&AccountId, &QuotaParts)| Grant {
            account: account.clone(),
            accelerators: parts.shards.get(shard).copied().unwrap_or(0),
        };
        self.accounts.iter().map(grant).collect()
    }
}
