//! Choice of victims by whole groups.
//!
//! All tasks of a step need the same, so a set of groups suffices if enough tasks fit on all sites
//! together. The search adds the groups that cost least for each task that they make room for, and
//! then removes those that later ones have made superfluous. Since a gang may be dear for one task
//! and cheap for many, the search is also begun with each of a few gangs.

use std::collections::BTreeSet;

use crate::Amount;
use crate::Ending;
use crate::Plan;
use crate::Request;
use crate::Site;
use crate::Victims;
use crate::trial::Move;
use crate::trial::Trial;

/// Number of gangs with which the search is begun anew. Each costs about as much processor time as
/// the search without one.
const MAX_SEEDS: usize = 3;

/// Finds a cheap set of groups to stop for the tasks of a step, on unsuspected sites first.
///
/// Groups that end by themselves sooner than they could be stopped are treated as the request says.
pub fn plan_groups<A: Amount>(
    sites: &[Site<'_, A>],
    victims: &Victims<A>,
    request: &Request<'_, A>,
) -> Option<Plan> {
    let treatments = match request.ending {
        Ending::Stopped => vec![Ending::Ignored, Ending::Stopped],
        ending => vec![ending],
    };
    let suspects = sites.iter().any(|site| site.room > 0 && site.suspect);
    let avoidances = match request.avoid_suspects || !suspects {
        true => vec![true],
        false => vec![true, false],
    };
    avoidances.into_iter().find_map(|avoid_suspects| {
        let mut treatments = treatments.iter();
        treatments.find_map(|&ending| {
            cheapest(sites, victims, &Request { avoid_suspects, ending, ..*request })
        })
    })
}

/// Finds the cheapest plan on a single rack if the step should share one and fits there, otherwise
/// on all racks.
fn cheapest<A: Amount>(
    sites: &[Site<'_, A>],
    victims: &Victims<A>,
    request: &Request<'_, A>,
) -> Option<Plan> {
    let usable = |site: &Site<'_, A>| !(request.avoid_suspects && site.suspect);
    let everywhere = Trial::new(sites, victims, request, usable);
    if !everywhere.may_fit(request.count as u64) {
        return None;
    }
    let mut best: Option<Trial<'_, '_, A>> = None;
    if request.one_rack {
        let racks: BTreeSet<&str> = sites.iter().map(|site| site.rack).collect();
        for rack in racks {
            let trial = everywhere.narrowed(|site| site.rack == rack);
            if !trial.may_fit(request.count as u64) {
                continue;
            }
            if let Some(found) = complete(trial, request)
                && best.as_ref().is_none_or(|best| found.cost() < best.cost())
            {
                best = Some(found);
            }
        }
    }
    let best = best.or_else(|| search(&everywhere, request))?;
    Some(best.into_plan(request.count, request.rack))
}

/// Completes a trial without and with each of the gangs that cost least for their tasks, and returns
/// the cheapest result.
fn search<'v, 's, A: Amount>(
    trial: &Trial<'v, 's, A>,
    request: &Request<'_, A>,
) -> Option<Trial<'v, 's, A>> {
    let missing = (request.count as u64).saturating_sub(trial.total);
    let mut best = complete(trial.clone(), request)?;
    let mut seeds = trial.group_moves();
    seeds.retain(|seed| seed.cost < best.cost() && seed.gain > 1);
    seeds.sort_by(|a, b| match (a.is_cheaper(b, missing), b.is_cheaper(a, missing)) {
        (true, _) => std::cmp::Ordering::Less,
        (_, true) => std::cmp::Ordering::Greater,
        _ => a.groups.cmp(&b.groups),
    });
    for seed in seeds.into_iter().take(MAX_SEEDS) {
        let mut seeded = trial.clone();
        seed.groups.iter().for_each(|&group| seeded.take(group));
        if let Some(found) = complete(seeded, request)
            && found.cost() < best.cost()
        {
            best = found;
        }
    }
    Some(best)
}

/// Adds groups until all tasks fit; `None` if they do not fit.
fn complete<'v, 's, A: Amount>(
    mut trial: Trial<'v, 's, A>,
    request: &Request<'_, A>,
) -> Option<Trial<'v, 's, A>> {
    let count = request.count as u64;
    let mut site_moves: Vec<Option<Move>> =
        (0..trial.len()).map(|at| trial.site_move(at)).collect();
    while trial.total < count {
        let missing = count - trial.total;
        let group_moves = trial.group_moves();
        let mut best: Option<&Move> = None;
        for found in site_moves.iter().flatten().chain(&group_moves) {
            if best.is_none_or(|best| found.is_cheaper(best, missing)) {
                best = Some(found);
            }
        }
        let groups = best?.groups.clone();
        for group in groups {
            trial.take(group);
            for at in trial.sites_of(group) {
                site_moves[at] = trial.site_move(at);
            }
        }
    }
    trial.prune(count);
    Some(trial)
}
