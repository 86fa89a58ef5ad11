//! Runs that may be stopped, and what is asked of and returned by the search.

use crate::Amount;

/// Runs that are stopped together: all members of a gang, or a single run.
#[derive(Clone, Debug)]
pub struct Group<A> {
    /// Cost of stopping it; nothing if it is being stopped already.
    pub cost: u64,
    /// Whether it is being stopped already.
    pub stopping: bool,
    /// Whether it ends by itself sooner than it could be stopped.
    pub ending: bool,
    /// Site of each member and the capacity that it frees there.
    pub members: Vec<(usize, A)>,
}

impl<A: Amount> Group<A> {
    /// Adds up the members that share a site.
    fn merge_members(&mut self) {
        self.members.sort_by_key(|(site, _)| *site);
        self.members.dedup_by(|next, kept| {
            let same = next.0 == kept.0;
            if same {
                kept.1.add(&next.1);
            }
            same
        });
    }
}

/// Groups that may be stopped, with the groups of each site, the cheapest first.
#[derive(Clone, Debug)]
pub struct Victims<A> {
    groups: Vec<Group<A>>,
    /// Groups of each site with the capacity that they free there.
    by_site: Vec<Vec<(usize, A)>>,
}

impl<A: Amount> Victims<A> {
    /// Indexes `groups` by their sites, of which there are `sites`. Among groups of equal cost the
    /// first ones are preferred.
    pub fn new(mut groups: Vec<Group<A>>, sites: usize) -> Victims<A> {
        let mut by_site: Vec<Vec<(usize, A)>> = vec![Vec::new(); sites];
        for (number, group) in groups.iter_mut().enumerate() {
            group.merge_members();
            for (site, amount) in &group.members {
                by_site[*site].push((number, *amount));
            }
        }
        let mut victims = Victims { groups, by_site };
        for site in 0..sites {
            victims.sort_site(site);
        }
        victims
    }

    /// Records that a group is being stopped now, so that further steps of the same pass get the
    /// rest of its capacity at no cost.
    pub fn mark_stopping(&mut self, group: usize) {
        self.groups[group].stopping = true;
        self.groups[group].cost = 0;
        for member in 0..self.groups[group].members.len() {
            let (site, _) = self.groups[group].members[member];
            self.sort_site(site);
        }
    }

    /// Removes a group from the choice.
    pub fn remove(&mut self, group: usize) {
        for (site, _) in std::mem::take(&mut self.groups[group].members) {
            self.by_site[site].retain(|(number, _)| *number != group);
        }
    }

    fn sort_site(&mut self, site: usize) {
        let groups = &self.groups;
        self.by_site[site].sort_by_key(|(number, _)| (groups[*number].cost, *number));
    }

    /// Returns a group.
    pub fn group(&self, number: usize) -> &Group<A> {
        &self.groups[number]
    }

    pub(crate) fn groups(&self) -> &[Group<A>] {
        &self.groups
    }

    /// Groups with runs on a site, the cheapest first, and what they free there.
    pub(crate) fn on_site(&self, site: usize) -> &[(usize, A)] {
        &self.by_site[site]
    }
}

/// Tasks that have to be placed.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a, A> {
    /// Resources of each task.
    pub need: A,
    /// Number of tasks; all of them are placed, or none.
    pub count: usize,
    /// Whether the tasks should share a rack.
    pub one_rack: bool,
    /// Rack that is preferred at the same cost.
    pub rack: Option<&'a str>,
    /// Whether suspected sites are left out even if the tasks fit nowhere else.
    pub avoid_suspects: bool,
    /// How groups that end by themselves are treated.
    pub ending: Ending,
}

/// Treatment of groups that end by themselves sooner than they could be stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// They are left alone, and their capacity counts as if they were being stopped already.
    Awaited,
    /// They are left alone, and their capacity does not count.
    Ignored,
    /// They are stopped like others if the tasks fit in no other way, since that end is only
    /// expected.
    Stopped,
}

/// Groups to stop, with the placement that this makes possible.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Cost of all stopped groups together.
    pub cost: u64,
    /// Site of each task.
    pub places: Vec<usize>,
    /// Groups to stop, each with the site for which [`plan_runs`](crate::plan_runs) chose it.
    pub stopped: Vec<(usize, usize)>,
}
