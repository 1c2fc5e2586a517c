//! Tests which demand is carried in an outage, and which limit is reported where it is not.

use cloverstile_capacity_planning::{
    plan_outage, plan_outages, Bottleneck, Network, PartnerDemand, Site, Zone,
};

fn zone(name: &str, capacity: Option<f64>) -> Zone {
    Zone { name: name.into(), capacity }
}

fn partner(
    name: &str,
    demand: f64,
    priority_weight: f64,
    sites: &[(usize, f64)],
    spill_share: f64,
) -> PartnerDemand {
    let sites = sites.iter().map(|(zone, capacity)| Site { zone: *zone, capacity: *capacity }).collect();
    PartnerDemand { name: name.into(), demand, priority_weight, sites, spill_share, spill_rate: None }
}

/// Two partners with a second site in zone "south", whose capacity is `south`, and one partner without a second site.
fn three_partners(spill_share: f64, south: Option<f64>) -> Network {
    Network {
        zones: vec![zone("north", None), zone("south", south), zone("west", None)],
        partners: vec![
            partner("alpha", 100.0, 3.0, &[(0, 200.0), (1, 80.0)], spill_share),
            partner("beta", 100.0, 1.0, &[(0, 200.0), (1, 200.0)], spill_share),
            partner("gamma", 50.0, 1.0, &[(2, 60.0)], 0.0),
        ],
    }
}

#[test]
fn configured_share_limits_first_and_the_best_share_is_reported() {
    let north = plan_outage(&three_partners(0.5, None), &[0]).expect("a solution");
    assert!(!north.fully_carried);
    let reported: Vec<_> =
        north.partners.iter().map(|p| (p.partner.as_str(), p.carried, p.bottleneck.clone())).collect();
    assert_eq!(reported, [("alpha", 50.0, Bottleneck::SpillShare), ("beta", 50.0, Bottleneck::SpillShare)]);
    // The sites in "south" can carry 80 of alpha's 100 messages per second and all of beta's.
    assert_eq!(north.partners.iter().map(|p| p.best_share).collect::<Vec<_>>(), [Some(0.8), Some(1.0)]);
    assert_eq!(
        (north.offered_weight, north.carried_weight, north.best_carried_weight),
        (450.0, 250.0, 390.0)
    );
}

#[test]
fn capacity_of_a_full_zone_goes_to_the_greatest_priority_weight() {
    let north = plan_outage(&three_partners(1.0, Some(120.0)), &[0]).expect("a solution");
    let reported: Vec<_> = north.partners.iter().map(|p| (p.carried.round(), p.bottleneck.clone())).collect();
    assert_eq!(
        reported,
        [(80.0, Bottleneck::Site("south".into())), (40.0, Bottleneck::Zone("south".into()))]
    );
}

#[test]
fn demand_without_another_site_is_not_carried_and_the_spill_rate_limits() {
    let mut network = three_partners(1.0, None);
    network.partners[1].spill_rate = Some(30.0);
    let west = plan_outage(&network, &[2]).expect("a solution");
    assert_eq!(
        (west.fully_carried, &west.partners[0].bottleneck, west.partners[0].best_share),
        (false, &Bottleneck::NoSite, None)
    );
    let north = plan_outage(&network, &[0]).expect("a solution");
    assert_eq!((north.partners[1].carried, &north.partners[1].bottleneck), (30.0, &Bottleneck::SpillRate));
    let south = plan_outage(&network, &[1]).expect("a solution");
    assert!(south.fully_carried, "no partner has its preferred site in zone south");
}

#[test]
fn behind_two_lost_sites_a_share_of_the_share_is_carried() {
    let sites = [(0, 100.0), (1, 100.0), (2, 100.0)];
    let network = Network {
        zones: vec![zone("a", None), zone("b", None), zone("c", None)],
        partners: vec![partner("gamma", 100.0, 1.0, &sites, 0.5)],
    };
    let all = plan_outages(&network, true).expect("solutions");
    assert_eq!(all.len(), 1 + 3 + 3);
    let both = all
        .iter()
        .find(|report| report.zones == ["a", "b"])
        .expect("a report on the outage of zones a and b");
    assert!((both.partners[0].carried - 25.0).abs() < 1e-6, "{both:?}");
    assert!(all[0].fully_carried && all[0].zones.is_empty());
}
