//! Losses that can be carried, and what stands in the way of those that can't.

use cloverstile_capacity_planning::{loss, losses, Binds, Demand, Network, Site, Zone};

fn zone(name: &str, rate: Option<f64>) -> Zone {
    Zone { name: name.into(), rate }
}

fn demand(name: &str, wanted: f64, worth: f64, sites: &[(usize, f64)], spill_share: f64) -> Demand {
    let sites = sites.iter().map(|(zone, rate)| Site { zone: *zone, rate: *rate }).collect();
    Demand { name: name.into(), wanted, worth, sites, spill_share, spill_rate: None }
}

/// Two banks that meet in the south, and one that has no second site.
fn three(spill_share: f64, south: Option<f64>) -> Network {
    Network {
        zones: vec![zone("north", None), zone("south", south), zone("west", None)],
        partners: vec![
            demand("alpha", 100.0, 3.0, &[(0, 200.0), (1, 80.0)], spill_share),
            demand("beta", 100.0, 1.0, &[(0, 200.0), (1, 200.0)], spill_share),
            demand("gamma", 50.0, 1.0, &[(2, 60.0)], 0.0),
        ],
    }
}

#[test]
fn the_stated_share_binds_first_and_a_better_one_is_told() {
    let north = loss(&three(0.5, None), &[0]).expect("a solution");
    assert!(!north.whole);
    let told: Vec<_> =
        north.partners.iter().map(|p| (p.partner.as_str(), p.carried, p.binds.clone())).collect();
    assert_eq!(told, [("alpha", 50.0, Binds::SpillShare), ("beta", 50.0, Binds::SpillShare)]);
    // The south takes 80 of alpha's 100 and all of beta's.
    assert_eq!(north.partners.iter().map(|p| p.best_share).collect::<Vec<_>>(), [Some(0.8), Some(1.0)]);
    assert_eq!((north.worth_wanted, north.worth, north.best_worth), (450.0, 250.0, 390.0));
}

#[test]
fn a_zone_that_is_full_goes_to_those_of_most_worth() {
    let north = loss(&three(1.0, Some(120.0)), &[0]).expect("a solution");
    let told: Vec<_> = north.partners.iter().map(|p| (p.carried.round(), p.binds.clone())).collect();
    assert_eq!(told, [(80.0, Binds::Site("south".into())), (40.0, Binds::Zone("south".into()))]);
}

#[test]
fn what_has_no_other_site_is_not_carried_and_a_rate_of_spill_binds_too() {
    let mut network = three(1.0, None);
    network.partners[1].spill_rate = Some(30.0);
    let west = loss(&network, &[2]).expect("a solution");
    assert_eq!(
        (west.whole, &west.partners[0].binds, west.partners[0].best_share),
        (false, &Binds::NoSite, None)
    );
    let north = loss(&network, &[0]).expect("a solution");
    assert_eq!((north.partners[1].carried, &north.partners[1].binds), (30.0, &Binds::SpillRate));
    let south = loss(&network, &[1]).expect("a solution");
    assert!(south.whole, "nobody prefers the south");
}

#[test]
fn behind_two_lost_sites_a_share_of_the_share_is_left() {
    let sites = [(0, 100.0), (1, 100.0), (2, 100.0)];
    let network = Network {
        zones: vec![zone("a", None), zone("b", None), zone("c", None)],
        partners: vec![demand("bank", 100.0, 1.0, &sites, 0.5)],
    };
    let all = losses(&network, true).expect("solutions");
    assert_eq!(all.len(), 1 + 3 + 3);
    let both = all.iter().find(|loss| loss.zones == ["a", "b"]).expect("that loss");
    assert!((both.partners[0].carried - 25.0).abs() < 1e-6, "{both:?}");
    assert!(all[0].whole && all[0].zones.is_empty());
}
