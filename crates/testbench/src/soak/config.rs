//! Configuration of a gateway under test, in the JSON format of the users' platform.

use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;

/// How long after its first request a message with an idempotency key may be sent again.
pub const REPEAT_WINDOW: Duration = Duration::from_millis(2500);
/// How long an order key stays blocked after an attempt that may still take effect.
pub const SETTLE_TIME: Duration = Duration::from_millis(100);
/// How long a gateway may keep sending to an endpoint after it was told that the endpoint drains.
pub const DRAIN_GRACE: Duration = Duration::from_secs(1);
/// Capacity of an endpoint per gateway, in requests per second, as the endpoint list states it. This is twice the rate at
/// which a gateway's clients submit to it, since the fake endpoint serves every request that it gets.
pub const CAPACITY_PER_GATEWAY: f64 = 50.0;
/// Share of its capacity that an endpoint has right after an outage; it has all of it after [`WARM_UP_TIME`].
pub const INITIAL_CAPACITY_SHARE: f64 = 0.2;
/// Time from the end of an outage until an endpoint has its full capacity again.
pub const WARM_UP_TIME: Duration = Duration::from_secs(10);
/// An endpoint that gets more than this multiple of its current capacity for [`OVERLOAD_WINDOW`] is overloaded.
pub const OVERLOAD_MULTIPLE: f64 = 2.0;
/// Length of the window over which [`OVERLOAD_MULTIPLE`] applies.
pub const OVERLOAD_WINDOW: Duration = Duration::from_secs(2);
/// Memory of a process in MB, its files included: the least that the platform's pages name.
pub const MEMORY_LIMIT_MB: u64 = 32;
/// Number of descriptors of a process.
const DESCRIPTORS: u64 = 1024;
/// Class of keyed messages, which are delivered in the order of their order key.
pub const KEYED_CLASS: &str = "notice";
/// Class of unsafe messages, which must not be sent again once they may have taken effect.
pub const UNSAFE_CLASS: &str = "payment";
/// Numbers of the destinations; each has one endpoint.
pub const DESTINATIONS: [u16; 4] = [1, 2, 3, 4];

fn nanoseconds(time: Duration) -> u64 {
    u64::try_from(time.as_nanos()).unwrap_or(u64::MAX)
}

/// The settings of a class; the caller chooses the effect and whether its messages are delivered in order.
fn class(name: &str, effect: &str, in_order: bool) -> Value {
    json!({
        "Name": name, "Effect": effect, "Group": "all", "Aim": 1_000_000_000u64, "Deadline": 12_000_000_000u64,
        "RepeatWindow": nanoseconds(REPEAT_WINDOW), "OneAtATime": in_order, "Worth": 1.0, "LateShare": 0.4,
    })
}

/// The configuration of the gateway with number `gateway`, of `gateways` in all.
pub fn gateway_config(
    gateway: usize,
    gateways: usize,
    listen: SocketAddr,
    discovery: SocketAddr,
    endpoint_list: &Value,
) -> Value {
    json!({
        "name": format!("n{gateway}"), "listen": listen.to_string(), "discovery": discovery.to_string(),
        "limits": {"cores": 1.0, "memory_mb": MEMORY_LIMIT_MB, "sockets": DESCRIPTORS, "disk_mb": 1}, "known": endpoint_list,
        "settings": {
            "Balancers": gateways, "ClientHabits": {"MarksRetry": false}, "Discovery": "push", "Locality": 0,
            "FamilyInfo": {"CallsOut": 16, "KindBatch": [1], "OwnLimits": [false], "Decay": "line"},
            "Lanes": [class(KEYED_CLASS, "idempotency_key", true), class(UNSAFE_CLASS, "non_idempotent", false)],
            "MachineTypes": ["any"], "Zones": ["here"], "WeightSource": "nominal",
            "Permissions": {"MostHeld": 400, "SendCap": 8, "Cancel": true, "RetryAfter": false,
                "ConnIdle": 5_000_000_000u64, "ConnectTimeout": 1_000_000_000u64},
            "Rules": {"AnswerSlack": 20_000_000, "OrderSettle": nanoseconds(SETTLE_TIME), "Cold": nanoseconds(WARM_UP_TIME),
                "ColdFrom": INITIAL_CAPACITY_SHARE, "TipMultiple": OVERLOAD_MULTIPLE, "Fall": nanoseconds(OVERLOAD_WINDOW),
                "StopSendingWithin": nanoseconds(DRAIN_GRACE)},
        },
    })
}
