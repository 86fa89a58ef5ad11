//! A set of groups during the search, with the capacity that stopping them would free.

use crate::Amount;
use crate::Ending;
use crate::Group;
use crate::Plan;
use crate::Request;
use crate::Site;
use crate::Victims;

/// Groups to stop for one more task on a site.
#[derive(Clone, Debug)]
pub(crate) struct Move {
    pub groups: Vec<usize>,
    /// Cost of all of them together.
    pub cost: u64,
    /// Number of tasks that fit thereafter beyond those that fit before, over all sites.
    pub gain: u64,
}

impl Move {
    /// Whether it costs less than `other` for each task, if `missing` tasks are left to place.
    pub fn is_cheaper(&self, other: &Move, missing: u64) -> bool {
        let useful = |found: &Move| u128::from(found.gain.min(missing));
        u128::from(self.cost) * useful(other) < u128::from(other.cost) * useful(self)
    }
}

/// A set of groups to stop. Groups that become free without a further stop are in it from the start.
#[derive(Clone, Debug)]
pub(crate) struct Trial<'v, 's, A> {
    victims: &'v Victims<A>,
    before: &'v [Site<'s, A>],
    need: A,
    /// Whether the capacity of groups that end by themselves counts.
    awaits_ending: bool,
    /// Sites with the capacity that is free once the groups are stopped.
    sites: Vec<Site<'s, A>>,
    /// Number of tasks that fit on each site.
    copies: Vec<u32>,
    /// Number of tasks that fit on all sites together.
    pub total: u64,
    /// Whether each group is in the set or may not be added to it.
    taken: Vec<bool>,
    /// Groups that have to be stopped.
    chosen: Vec<usize>,
}

impl<'v, 's, A: Amount> Trial<'v, 's, A> {
    /// Creates the set of the groups that become free without a further stop. Only sites in `scope` are used.
    pub fn new(
        before: &'v [Site<'s, A>],
        victims: &'v Victims<A>,
        request: &Request<'_, A>,
        scope: impl Fn(&Site<'s, A>) -> bool,
    ) -> Trial<'v, 's, A> {
        let mut sites = before.to_vec();
        for site in &mut sites {
            site.room = if scope(site) { site.room } else { 0 };
        }
        let left_alone = |group: &Group<A>| group.ending && request.ending != Ending::Stopped;
        let taken = victims.groups().iter().map(left_alone).collect();
        let mut trial = Trial {
            victims,
            before,
            need: request.need,
            awaits_ending: request.ending == Ending::Awaited,
            copies: vec![0; sites.len()],
            sites,
            total: 0,
            taken,
            chosen: Vec::new(),
        };
        for (number, group) in victims.groups().iter().enumerate() {
            if trial.is_freed(group) {
                trial.taken[number] = true;
                for (at, amount) in &group.members {
                    trial.sites[*at].release(amount);
                }
            }
        }
        for at in 0..trial.sites.len() {
            trial.count(at);
        }
        trial
    }

    /// Returns the same set with only the sites in `scope`.
    pub fn narrowed(&self, scope: impl Fn(&Site<'s, A>) -> bool) -> Trial<'v, 's, A> {
        let mut trial = self.clone();
        for at in 0..trial.sites.len() {
            if trial.sites[at].room > 0 && !scope(&trial.sites[at]) {
                trial.sites[at].room = 0;
                trial.count(at);
            }
        }
        trial
    }

    /// Whether the capacity of a group becomes free without a further stop.
    fn is_freed(&self, group: &Group<A>) -> bool {
        group.stopping || group.ending && self.awaits_ending
    }

    /// Number of sites.
    pub fn len(&self) -> usize {
        self.sites.len()
    }

    /// Counts the tasks that fit on a site.
    fn count(&mut self, at: usize) {
        let copies = self.sites[at].copies(&self.need);
        self.total = self.total - u64::from(self.copies[at]) + u64::from(copies);
        self.copies[at] = copies;
    }

    /// Whether all tasks would fit if every group was stopped.
    pub fn may_fit(&self, count: u64) -> bool {
        let mut total = self.total;
        for (at, site) in self.sites.iter().enumerate() {
            if total >= count {
                break;
            }
            if site.room > self.copies[at] {
                let all = self.victims.on_site(at).iter().filter(|(group, _)| !self.taken[*group]);
                let mut left = *site;
                all.for_each(|(_, amount)| left.release(amount));
                total += u64::from(left.copies(&self.need).saturating_sub(self.copies[at]));
            }
        }
        total >= count
    }

    /// Cost of the chosen groups.
    pub fn cost(&self) -> u64 {
        let costs = self.chosen.iter().map(|&group| self.victims.group(group).cost);
        costs.fold(0, u64::saturating_add)
    }

    /// Sites on which a group has runs.
    pub fn sites_of(&self, group: usize) -> impl Iterator<Item = usize> + use<'v, A> {
        self.victims.group(group).members.iter().map(|(at, _)| *at)
    }

    /// Adds a group to the set.
    pub fn take(&mut self, group: usize) {
        self.taken[group] = true;
        self.chosen.push(group);
        for (at, amount) in &self.victims.group(group).members {
            self.sites[*at].release(amount);
            self.count(*at);
        }
    }

    /// Removes a group from the set.
    fn give_back(&mut self, group: usize) {
        self.taken[group] = false;
        self.chosen.retain(|&chosen| chosen != group);
        for (at, _) in &self.victims.group(group).members {
            self.restore(*at);
        }
    }

    /// Computes the free capacity of a site anew.
    fn restore(&mut self, at: usize) {
        let room = self.sites[at].room;
        self.sites[at] = Site { room, ..self.before[at] };
        for (group, amount) in self.victims.on_site(at) {
            if self.is_freed(self.victims.group(*group)) || self.chosen.contains(group) {
                self.sites[at].release(amount);
            }
        }
        self.count(at);
    }

    /// Removes groups, the most expensive first, as long as `count` tasks still fit.
    pub fn prune(&mut self, count: u64) {
        let mut order = self.chosen.clone();
        order.sort_by_key(|&group| std::cmp::Reverse(self.victims.group(group).cost));
        for group in order {
            self.give_back(group);
            if self.total < count {
                self.take(group);
            }
        }
    }

    /// The cheapest groups on a site whose stop makes room for one more task there.
    pub fn site_move(&self, at: usize) -> Option<Move> {
        let site = &self.sites[at];
        if site.room <= self.copies[at] {
            return None;
        }
        let more = |left: &Site<'s, A>| left.copies(&self.need) > self.copies[at];
        let mut left = *site;
        let mut chosen: Vec<(usize, A)> = Vec::new();
        for (group, amount) in self.victims.on_site(at) {
            if more(&left) {
                break;
            }
            if !self.taken[*group] {
                left.release(amount);
                chosen.push((*group, *amount));
            }
        }
        if !more(&left) {
            return None;
        }
        // A cheap run may free none of what is missing.
        for number in (0..chosen.len().saturating_sub(1)).rev() {
            let mut without = *site;
            let others = chosen.iter().enumerate().filter(|(other, _)| *other != number);
            others.for_each(|(_, (_, amount))| without.release(amount));
            if more(&without) {
                chosen.remove(number);
                left = without;
            }
        }
        let here = u64::from(left.copies(&self.need) - self.copies[at]);
        let elsewhere = chosen.iter().map(|(group, _)| self.gain_beside(*group, Some(at)));
        let gain = here + elsewhere.sum::<u64>();
        let groups: Vec<usize> = chosen.iter().map(|(group, _)| *group).collect();
        let costs = groups.iter().map(|&group| self.victims.group(group).cost);
        Some(Move { cost: costs.fold(0, u64::saturating_add), groups, gain })
    }

    /// The stop of one group alone; `None` if it makes room for no task.
    fn group_move(&self, group: usize) -> Option<Move> {
        if self.taken[group] {
            return None;
        }
        let gain = self.gain_beside(group, None);
        let cost = self.victims.group(group).cost;
        (gain > 0).then(|| Move { groups: vec![group], cost, gain })
    }

    /// The stops of each gang with runs on several sites that makes room for a task.
    pub fn group_moves(&self) -> Vec<Move> {
        let gangs = self.victims.groups().iter().enumerate();
        let gangs = gangs.filter(|(_, group)| group.members.len() > 1);
        gangs.filter_map(|(number, _)| self.group_move(number)).collect()
    }

    /// Number of further tasks that fit on the sites of a group other than `at` once it is stopped.
    fn gain_beside(&self, group: usize, at: Option<usize>) -> u64 {
        let members = self.victims.group(group).members.iter();
        let mut gain = 0;
        for (site, amount) in members.filter(|(site, _)| Some(*site) != at) {
            if self.sites[*site].room > self.copies[*site] {
                let mut left = self.sites[*site];
                left.release(amount);
                gain += u64::from(left.copies(&self.need).saturating_sub(self.copies[*site]));
            }
        }
        gain
    }

    /// Places `count` tasks, on sites where they need not wait first, then on sites that are not
    /// slow, then near `rack`.
    pub fn into_plan(self, count: usize, rack: Option<&str>) -> Plan {
        let mut places: Vec<((bool, bool, bool), usize, u32)> = Vec::new();
        for (at, site) in self.sites.iter().enumerate().filter(|(at, _)| self.copies[*at] > 0) {
            let far = rack.is_some_and(|rack| rack != site.rack);
            let free = Site { room: site.room, ..self.before[at] }.copies(&self.need);
            let free = free.min(self.copies[at]);
            places.push(((false, site.slow, far), at, free));
            places.push(((true, site.slow, far), at, self.copies[at] - free));
        }
        places.sort_unstable();
        let all = places.iter().flat_map(|(_, at, copies)| (0..*copies).map(|_| *at));
        let stopped = self.chosen.iter().map(|&group| (group, self.sites_of(group).next()));
        Plan {
            cost: self.cost(),
            places: all.take(count).collect(),
            stopped: stopped.map(|(group, at)| (group, at.unwrap_or_default())).collect(),
        }
    }
}
