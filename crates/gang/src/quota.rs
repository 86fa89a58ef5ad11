//! Quotas of client accounts over all shards.
//!
//! One stored value holds, for a group of accounts, the part of each quota that each shard may
//! hand out. A shard that needs more takes it from what is not granted; one that has more than it
//! needs gives back only what it does not use. Every change is one compare-and-swap of the whole
//! value, so the parts never add up to more than the quota, however many owners act at once.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::Grant;
use model::AccountId;
use model::ShardId;

/// Parts of one account's quota.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaParts {
    /// The whole quota, in accelerators.
    pub quota: u32,
    /// Parts by shard.
    pub shards: BTreeMap<ShardId, u32>,
}

impl QuotaParts {
    /// What no shard has.
    pub fn ungranted(&self) -> u32 {
        self.quota.saturating_sub(self.granted())
    }

    fn granted(&self) -> u32 {
        self.shards.values().fold(0, |sum, part| sum.saturating_add(*part))
    }
}

/// A shard may not have the part that it asks for.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum QuotaError {
    /// The ledger has no such account.
    #[error("client account {account} has no quota")]
    NoAccount {
        /// The account.
        account: AccountId,
    },
    /// Other shards have the rest.
    #[error("client account {account} has {spare} accelerators left, not {wanted}")]
    Exhausted {
        /// The account.
        account: AccountId,
        /// What more the shard wanted.
        wanted: u32,
        /// What is left.
        spare: u32,
    },
}

/// Parts of the quotas of a group of accounts, one stored value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    accounts: BTreeMap<AccountId, QuotaParts>,
}

impl Ledger {
    /// Parts of an account's quota.
    pub fn parts(&self, account: &AccountId) -> Option<&QuotaParts> {
        self.accounts.get(account)
    }

    /// Sets an account's whole quota.
    ///
    /// Parts stay as they are: shards that have more than a smaller quota allows give it back as
    /// their jobs end, and nobody gets more before.
    pub fn set_quota(&mut self, account: &AccountId, quota: u32) {
        self.accounts.entry(account.clone()).or_default().quota = quota;
    }

    /// Changes the part of one shard to `wanted`.
    ///
    /// # Errors
    ///
    /// [`QuotaError`] if the account is not known or other shards have the rest.
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

    /// The parts of one shard.
    pub fn grants(&self, shard: &ShardId) -> Vec<Grant> {
        let grant = |(account, parts): (&AccountId, &QuotaParts)| Grant {
            account: account.clone(),
            accelerators: parts.shards.get(shard).copied().unwrap_or(0),
        };
        self.accounts.iter().map(grant).collect()
    }
}
