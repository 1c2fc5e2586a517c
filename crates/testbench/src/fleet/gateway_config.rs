//! Configuration of a gateway process, in the JSON format of the platform.

use cloverstile_simulator::{ClassSpec, LoadBalanceScenario};
use serde_json::{json, Value};
use std::net::SocketAddr;

/// Odd multiplier (2^64 divided by the golden ratio) that makes seeds of consecutive gateways differ in all bits.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// The parts of the configuration that all gateways of a fleet share.
pub(super) struct GatewayConfig<'a> {
    /// Source of the classes, limits and rules.
    pub scenario: &'a LoadBalanceScenario,
    /// Address of service discovery.
    pub discovery: SocketAddr,
    /// Initial endpoint list, in the JSON format of service discovery.
    pub endpoint_list: &'a Value,
    /// Seed of the run, from which each gateway's own seed is derived.
    pub seed: u64,
}

fn nanos(seconds: f64) -> u64 {
    (seconds * 1e9) as u64
}

fn class_to_json(name: &str, class: &ClassSpec) -> Value {
    let effect = match class.effect.as_str() {
        "safe" => "read_like",
        "keyed" => "idempotency_key",
        _ => "non_idempotent",
    };
    json!({
        "Name": name, "Effect": effect, "Group": "all", "Aim": nanos(class.latency_objective),
        "Deadline": nanos(class.deadline), "RepeatWindow": nanos(class.retry_window), "OneAtATime": false,
        "Worth": class.priority_weight, "LateShare": class.late_value_ratio,
    })
}

impl GatewayConfig<'_> {
    /// Builds the configuration of the gateway with this index, which listens on `listen`.
    pub fn to_json(&self, gateway: usize, listen: SocketAddr) -> Value {
        let seed = self.seed.wrapping_add(gateway as u64).wrapping_mul(SEED_MULTIPLIER);
        json!({
            "name": format!("n{gateway}"), "listen": listen.to_string(), "discovery": self.discovery.to_string(),
            "seed": format!("{seed:x}"),
            "limits": {"cores": 0.2, "memory_mb": 64, "sockets": 256, "disk_mb": 2}, "known": self.endpoint_list,
            "settings": self.settings(),
        })
    }

    fn settings(&self) -> Value {
        let (scenario, rules) = (self.scenario, &self.scenario.rules);
        json!({
            "Balancers": scenario.instances, "Discovery": "push", "Locality": 0, "ClientHabits": {"MarksRetry": false},
            "FamilyInfo": {"CallsOut": scenario.concurrency_limit, "KindBatch": [1, 1], "OwnLimits": [false, true], "Decay": "line",
                "ReportX0": "share_of_the_allowance_that_is_left", "ReportX1": "calls_a_second"},
            "Lanes": scenario.class.iter().map(|(name, class)| class_to_json(name, class)).collect::<Vec<_>>(),
            "MachineTypes": ["shared", "apart"], "Zones": ["here"], "WeightSource": "nominal",
            "Report": {"Fields": ["x0", "x1"], "Source": "piggyback"},
            "Permissions": {"MostHeld": scenario.max_queued, "SendCap": 8, "Cancel": true, "RetryAfter": true,
                "MaxRetryAfter": nanos(5.0), "ConnIdle": nanos(scenario.connection_idle_timeout), "ConnectTimeout": nanos(1.0)},
            "Rules": {"AnswerSlack": nanos(rules.outcome_grace), "ColdFrom": rules.warm_up_capacity,
                "Cold": nanos(rules.warm_up_time), "TipMultiple": rules.overload_multiple, "Fall": nanos(rules.overload_window),
                "OrderSettle": nanos(rules.key_cooldown)},
        })
    }
}
