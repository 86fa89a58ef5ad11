//! Choice of victims run by run: each task is placed where the runs to stop for it cost least.
//!
//! The capacity that a gang frees on other sites is not counted.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::Amount;
use crate::Plan;
use crate::Request;
use crate::Site;
use crate::Victims;

/// Runs to stop on a site and what each frees there.
type Freed<A> = Vec<(usize, A)>;

/// Finds a cheap set of runs to stop for the tasks of a step, on unsuspected sites first.
pub fn plan_runs<A: Amount>(
    sites: &[Site<'_, A>],
    victims: &Victims<A>,
    request: &Request<'_, A>,
) -> Option<Plan> {
    let all: Vec<usize> = (0..sites.len()).filter(|&at| sites[at].room > 0).collect();
    let unsuspected: Vec<usize> = all.iter().copied().filter(|&at| !sites[at].suspect).collect();
    let best = cheapest_among(sites, &unsuspected, victims, request);
    if request.avoid_suspects || best.is_some() || unsuspected.len() == all.len() {
        return best;
    }
    cheapest_among(sites, &all, victims, request)
}

/// Finds the cheapest plan on some of the sites, on a single rack if the step should share one and
/// fits there.
fn cheapest_among<A: Amount>(
    sites: &[Site<'_, A>],
    all: &[usize],
    victims: &Victims<A>,
    request: &Request<'_, A>,
) -> Option<Plan> {
    let mut best: Option<Plan> = None;
    if request.one_rack {
        let mut racks: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
        for &at in all {
            racks.entry(sites[at].rack).or_default().push(at);
        }
        for scope in racks.values() {
            if let Some(found) = cheapest_in_scope(sites, scope, victims, request)
                && best.as_ref().is_none_or(|best| found.cost < best.cost)
            {
                best = Some(found);
            }
        }
    }
    best.or_else(|| cheapest_in_scope(sites, all, victims, request))
}

/// Places the tasks one by one on the sites of `scope`, each where the runs to stop for it cost
/// least; `None` if a task cannot be placed.
fn cheapest_in_scope<A: Amount>(
    sites: &[Site<'_, A>],
    scope: &[usize],
    victims: &Victims<A>,
    request: &Request<'_, A>,
) -> Option<Plan> {
    let mut trial_sites: Vec<Site<'_, A>> = scope.iter().map(|&at| sites[at]).collect();
    let mut plan = Plan { cost: 0, places: Vec::new(), stopped: Vec::new() };
    let mut stopped: BTreeSet<usize> = BTreeSet::new();
    let fits = |site: &Site<'_, A>| site.room > 0 && request.need.fits(&site.free);
    for _ in 0..request.count {
        let mut best: Option<(u64, usize, Freed<A>)> = None;
        for (number, &at) in scope.iter().enumerate() {
            let mut left = trial_sites[number];
            let mut cost = 0;
            let mut chosen = Freed::new();
            let list = victims.on_site(at).iter().filter(|(run, _)| !stopped.contains(run));
            for (run, amount) in list {
                if fits(&left) {
                    break;
                }
                left.release(amount);
                cost += victims.group(*run).cost;
                chosen.push((*run, *amount));
            }
            if fits(&left) && best.as_ref().is_none_or(|best| cost < best.0) {
                best = Some((cost, number, chosen));
            }
        }
        let (cost, number, chosen) = best?;
        plan.cost += cost;
        let site = &mut trial_sites[number];
        for (run, amount) in chosen {
            site.release(&amount);
            stopped.insert(run);
            plan.stopped.push((run, scope[number]));
        }
        site.free = site.free.less(&request.need);
        site.room -= 1;
        plan.places.push(scope[number]);
    }
    Some(plan)
}
