//! Layout, faults and length of a simulation run.

use std::time::Duration;

use crate::Message;

/// Entry VMs of one availability zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Site {
    /// Number of the region that the zone belongs to.
    pub region: u32,
    /// Number of entry VMs.
    pub members: u32,
    /// Number of placement shards.
    pub shards: u32,
}

/// Faults to inject. Rates are probabilities from 0 to 1; intervals are means, and zero disables
/// the fault.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// Probability that a message between members is lost.
    pub loss: f64,
    /// Probability that an answer or watch event of the store is lost after the call took effect.
    pub store_loss: f64,
    /// Interval between pauses of a member.
    pub pause: Duration,
    /// Interval between network cuts, in one or both directions, that affect members, availability
    /// zones or the store.
    pub cut: Duration,
    /// Interval between crashes; each crashed member gets a successor.
    pub crash: Duration,
    /// Interval between graceful replacements of a member.
    pub replace: Duration,
    /// Interval between outages of the store.
    pub outage: Duration,
    /// Length of each outage of the store.
    pub outage_length: Duration,
}

/// Parameters of one run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of all random choices.
    pub seed: u64,
    /// Availability zones; the store runs in the first one.
    pub sites: Vec<Site>,
    /// Faults to inject.
    pub faults: Faults,
    /// Mean interval between changes to the configuration.
    pub change: Duration,
    /// Number of operators that make each change concurrently.
    pub operators: u32,
    /// Time before the first fault.
    pub warmup: Duration,
    /// Time during which faults are injected.
    pub length: Duration,
    /// Single outage of the store: its start after the warm-up, and its length.
    pub outage: Option<(Duration, Duration)>,
    /// Single loss of all links between regions: its start after the warm-up, and its length.
    pub partition: Option<(Duration, Duration)>,
    /// Interval at which all members are gracefully replaced, one after another.
    pub rolling_interval: Option<Duration>,
    /// Function that returns the encoded size of a message, in bytes.
    pub measure: fn(&Message) -> u64,
}

impl Plan {
    /// Creates a plan without faults.
    pub fn new(seed: u64, sites: Vec<Site>) -> Plan {
        Plan {
            seed,
            sites,
            faults: Faults::default(),
            change: Duration::from_secs(4),
            operators: 1,
            warmup: Duration::from_secs(30),
            length: Duration::from_secs(120),
            outage: None,
            partition: None,
            rolling_interval: None,
            measure: |_| 0,
        }
    }

    /// Eight entry VMs in three availability zones of two regions, as in the current deployment.
    pub fn small(seed: u64) -> Plan {
        let site = |region, members| Site { region, members, shards: 1 };
        Plan::new(seed, vec![site(0, 3), site(0, 3), site(1, 2)])
    }

    /// 208 entry VMs: 26 availability zones in seven regions, with eight entry VMs each.
    pub fn large(seed: u64) -> Plan {
        let site = |zone: u32| Site { region: zone % 7, members: 8, shards: 2 };
        Plan::new(seed, (0..26).map(site).collect())
    }

    /// Number of members that the plan starts.
    pub fn members(&self) -> u32 {
        self.sites.iter().map(|site| site.members).sum()
    }
}
