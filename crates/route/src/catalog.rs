//! Services and client accounts, addressed by index.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::AccountPolicy;
use crate::Policy;
use crate::ServicePolicy;
use crate::budget::RetryBudget;
use crate::budget::TokenBucket;
use crate::run_time::RunTimeEstimate;
use model::AccountId;
use model::ServiceId;

/// A service; it stays here after the configuration has dropped it.
#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) id: ServiceId,
    pub(crate) policy: ServicePolicy,
    /// Whether the current configuration has it.
    pub(crate) active: bool,
    /// Index of its pool.
    pub(crate) pool: usize,
    /// Indexes of the services that it depends on.
    pub(crate) depends: Vec<usize>,
    pub(crate) run_time: RunTimeEstimate,
    pub(crate) retry_budget: RetryBudget,
}

/// A run longer than this multiple of the service's tail run time counts as a straggler.
const STRAGGLER_TAIL_FACTOR: u32 = 2;

impl Service {
    /// Run time from which a run counts as a straggler, at most the timeout.
    pub(crate) fn straggler_time(&self) -> Duration {
        if !self.run_time.is_known() {
            return self.policy.timeout;
        }
        (self.run_time.tail() * STRAGGLER_TAIL_FACTOR).min(self.policy.timeout)
    }
}

/// A client account; it stays here after the configuration has dropped it.
#[derive(Debug)]
pub(crate) struct Account {
    pub(crate) id: AccountId,
    pub(crate) policy: AccountPolicy,
    pub(crate) active: bool,
    pub(crate) rate: TokenBucket,
    /// Number of its queued requests.
    pub(crate) waiting: u32,
}

/// All services and client accounts that any configuration so far has had.
#[derive(Debug, Default)]
pub(crate) struct Catalog {
    pub(crate) services: Vec<Service>,
    pub(crate) accounts: Vec<Account>,
    service_index: BTreeMap<ServiceId, usize>,
    account_index: BTreeMap<AccountId, usize>,
}

impl Catalog {
    /// Index of a service of the current configuration.
    pub(crate) fn service(&self, id: &ServiceId) -> Option<usize> {
        self.service_index.get(id).copied().filter(|index| self.services[*index].active)
    }

    /// Index of a client account of the current configuration.
    pub(crate) fn account(&self, id: &AccountId) -> Option<usize> {
        self.account_index.get(id).copied().filter(|index| self.accounts[*index].active)
    }

    /// Applies a configuration; `pool` returns the index of the pool of a service.
    pub(crate) fn apply(&mut self, policy: &Policy, mut pool: impl FnMut(&ServicePolicy) -> usize) {
        for service in &mut self.services {
            service.active = false;
        }
        for account in &mut self.accounts {
            account.active = false;
        }
        for (id, policy) in &policy.services {
            let index = self.add_service(id, policy);
            let service = &mut self.services[index];
            service.active = true;
            service.policy = policy.clone();
            service.pool = pool(policy);
        }
        for (id, policy) in &policy.services {
            let depends = policy.depends.iter().filter_map(|d| self.service(d)).collect();
            if let Some(index) = self.service(id) {
                self.services[index].depends = depends;
            }
        }
        for (id, policy) in &policy.accounts {
            self.set_account(id, policy);
        }
    }

    fn add_service(&mut self, id: &ServiceId, policy: &ServicePolicy) -> usize {
        if let Some(index) = self.service_index.get(id) {
            return *index;
        }
        let index = self.services.len();
        self.service_index.insert(id.clone(), index);
        self.services.push(Service {
            id: id.clone(),
            policy: policy.clone(),
            active: true,
            pool: 0,
            depends: Vec::new(),
            run_time: RunTimeEstimate::new(),
            retry_budget: RetryBudget::new(),
        });
        index
    }

    fn set_account(&mut self, id: &AccountId, policy: &AccountPolicy) {
        let rate = u64::from(policy.rate.unwrap_or(0));
        let burst = u64::from(policy.burst);
        if let Some(index) = self.account_index.get(id) {
            let account = &mut self.accounts[*index];
            account.active = true;
            account.policy = policy.clone();
            account.rate.resize(rate, burst);
            return;
        }
        self.account_index.insert(id.clone(), self.accounts.len());
        self.accounts.push(Account {
            id: id.clone(),
            policy: policy.clone(),
            active: true,
            rate: TokenBucket::new(rate, burst),
            waiting: 0,
        });
    }
}
