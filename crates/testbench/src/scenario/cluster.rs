//! Derives the test cluster of a scenario: partners, classes and gateway settings.

use super::settings::{ClassSettings, FaultScenario, PartnerSettings, RuleSettings};
use cloverstile_as2::NewKey;
use cloverstile_as2_gateway::test_cluster::{ClassSpec, ClusterSpec, PartnerSpec};
use cloverstile_fakes::model::ServerProfile;
use std::collections::BTreeSet;
use std::time::Duration;

/// Number of clients: the first submits messages of unordered classes, the second those of ordered classes.
const CLIENTS: usize = 2;
/// Lower bound of the limit on requests that a gateway may have in flight.
const MIN_CONCURRENCY: usize = 24;
/// Seconds of traffic that the gateways may have in flight.
const CONCURRENCY_SECONDS: f64 = 0.25;

impl FaultScenario {
    /// The specification of the test cluster on which this scenario runs.
    pub fn cluster_spec(&self) -> ClusterSpec {
        let expected_in_flight = (self.rate * CONCURRENCY_SECONDS / self.gateways as f64).ceil() as usize;
        let concurrency = expected_in_flight.max(MIN_CONCURRENCY);
        let zones = self.partners.values().flat_map(PartnerSettings::endpoint_zones).max();
        ClusterSpec {
            gateways: self.gateways,
            clients: CLIENTS,
            partners: self
                .partners
                .iter()
                .map(|(name, partner)| partner_spec(name, partner, &self.rules))
                .collect(),
            classes: self.classes.iter().map(|(name, class)| class_spec(name, class)).collect(),
            zones: zones.map_or(1, |last| last + 1),
            gateway_settings: format!(
                "  call_slots = {concurrency}\n  most_held = 4000\n  stop_within = \"4s\"\n  workers = {}",
                self.workers
            ),
            rule_and_kind_blocks: self.rule_blocks(),
        }
    }

    /// The `rules` block and the `kind` blocks of the gateway settings, as HCL; there is one kind for each batch size.
    fn rule_blocks(&self) -> String {
        let rules = &self.rules;
        let batches: BTreeSet<u32> = self.partners.values().map(|partner| partner.batch).collect();
        let kinds: Vec<String> =
            batches.iter().map(|batch| format!("kind \"batch-{batch}\" {{ batch = {batch} }}\n")).collect();
        format!(
            "rules {{\n  answer_slack = \"{}ms\"\n  order_settle = \"{}ms\"\n  cold = \"{}ms\"\n  \
             cold_from = {}\n  tip_multiple = {}\n  fall = \"{}ms\"\n}}\n{}",
            rules.answer_slack_ms,
            rules.order_settle_ms,
            rules.warm_up_ms,
            rules.initial_capacity_share,
            rules.overload_multiple,
            rules.overload_window_ms,
            kinds.concat(),
        )
    }
}

fn partner_spec(name: &str, partner: &PartnerSettings, rules: &RuleSettings) -> PartnerSpec {
    let [min_service_time, mean_extra_service_time] = partner.service_ms.map(Duration::from_millis);
    PartnerSpec {
        name: name.to_owned(),
        kind: format!("batch-{}", partner.batch),
        profile: ServerProfile {
            servers: partner.servers,
            queue: partner.queue,
            min_service_time,
            mean_extra_service_time,
            rate_limit: partner.limit,
            sends_retry_after: partner.sends_retry_after,
            deduplication_window: Duration::from_secs_f64(partner.deduplication_s),
            initial_capacity_share: rules.initial_capacity_share,
            warm_up_time: Duration::from_millis(rules.warm_up_ms),
            collapse_multiple: rules.overload_multiple,
            collapse_window: Duration::from_millis(rules.overload_window_ms),
        },
        zones: partner.endpoint_zones(),
        key: if partner.encrypted { NewKey::Rsa2048 } else { NewKey::P256 },
        async_receipts: partner.deferred,
        certificate_mismatch: partner.certificate_mismatch,
        spill_share: partner.spill_share,
    }
}

fn class_spec(name: &str, class: &ClassSettings) -> ClassSpec {
    ClassSpec {
        name: name.to_owned(),
        effect: class.effect.clone(),
        group: class.group.clone(),
        ordered: class.ordered,
        latency_objective: Duration::from_secs_f64(class.latency_objective),
        deadline: Duration::from_secs_f64(class.deadline),
        repeat_window: Duration::from_secs_f64(class.retry_window),
        priority_weight: class.priority_weight,
    }
}
