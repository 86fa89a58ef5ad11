//! What a run consists of.

use std::time::Duration;

use crate::Message;

/// Entry VMs of one availability zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Site {
    /// Number of the region.
    pub region: u32,
    /// Number of entry VMs.
    pub members: u32,
    /// Number of placement shards.
    pub shards: u32,
}

/// What goes wrong. Shares are from 0 to 1; intervals are means, and zero means never.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// Messages between members that are lost.
    pub loss: f64,
    /// Answers and watch events of the store that are lost after the effect.
    pub store_loss: f64,
    /// Between two pauses of a member.
    pub pause: Duration,
    /// Between two cuts, in one direction or both, of a member or an availability zone.
    pub cut: Duration,
    /// Between two crashes, each followed by a new process.
    pub crash: Duration,
    /// Between two graceful replacements.
    pub replace: Duration,
    /// Between two outages of the store.
    pub outage: Duration,
    /// Length of an outage.
    pub outage_length: Duration,
}

/// One run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Decides everything random.
    pub seed: u64,
    /// Availability zones; the store is in the first one.
    pub sites: Vec<Site>,
    /// What goes wrong.
    pub faults: Faults,
    /// Between two changes to the configuration, in the mean.
    pub change: Duration,
    /// Number of operators.
    pub operators: u32,
    /// Time before the faults.
    pub warmup: Duration,
    /// Time with faults.
    pub length: Duration,
    /// One outage of the store at a given time after the warm-up, and its length.
    pub outage: Option<(Duration, Duration)>,
    /// One loss of all links between regions, as `outage`.
    pub partition: Option<(Duration, Duration)>,
    /// Replaces every member gracefully, one after another, so far apart.
    pub rolling_interval: Option<Duration>,
    /// Size of a message on the wire, in bytes.
    pub measure: fn(&Message) -> u64,
}

impl Plan {
    /// A run without faults.
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

    /// Eight entry VMs in three availability zones of two regions, the size of today.
    pub fn small(seed: u64) -> Plan {
        let site = |region, members| Site { region, members, shards: 1 };
        Plan::new(seed, vec![site(0, 3), site(0, 3), site(1, 2)])
    }

    /// Seven regions with 26 availability zones of eight entry VMs each.
    pub fn large(seed: u64) -> Plan {
        let site = |zone: u32| Site { region: zone % 7, members: 8, shards: 2 };
        Plan::new(seed, (0..26).map(site).collect())
    }

    /// Number of members.
    pub fn members(&self) -> u32 {
        self.sites.iter().map(|site| site.members).sum()
    }
}
