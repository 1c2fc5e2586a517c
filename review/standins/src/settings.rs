//! Settings of a small deployment, with the names and units of the simulator's first message.

/// The values in which the cases differ.
pub struct Settings {
    pub couriers: usize,
    pub slots: usize,
    /// Seconds that a message may be delivered for.
    pub deadline_s: u64,
    /// Seconds for which destinations drop repeats of a key.
    pub repeat_window_s: u64,
    pub cold_s: u64,
    pub cold_from: f64,
    pub fall_s: u64,
    pub tip_multiple: f64,
    pub drain_grace_ms: u64,
}

impl Default for Settings {
    /// Figures of the deployment kingston-payroll; deadlines are at most 12 s on real days.
    fn default() -> Self {
        Settings {
            couriers: 1,
            slots: 28,
            deadline_s: 12,
            repeat_window_s: 10,
            cold_s: 14,
            cold_from: 0.16,
            fall_s: 2,
            tip_multiple: 2.5,
            drain_grace_ms: 2000,
        }
    }
}

impl Settings {
    /// The settings as JSON.
    pub fn json(&self) -> String {
        let Settings { couriers, slots, deadline_s, repeat_window_s, cold_s, cold_from, .. } = self;
        let Settings { fall_s, tip_multiple, drain_grace_ms, .. } = self;
        let class = |name: &str, effect: &str, in_order: bool, worth: f64| {
            format!(
                r#"{{"Name":"{name}","Effect":"{effect}","Group":"all","Aim":3000000000,"Deadline":{deadline_s}000000000,"RepeatWindow":{repeat_window_s}000000000,"OneAtATime":{in_order},"Stream":false,"Worth":{worth:?},"LateShare":0.5}}"#
            )
        };
        let lanes = [
            class("pay-notice", "idempotency_key", true, 1.0),
            class("salary-payment", "non_idempotent", false, 3.0),
        ]
        .join(",");
        format!(
            r#"{{"Balancers":{couriers},"ClientHabits":{{"MarksRetry":true}},
 "Costs":{{"Connection":0.0,"Handshake":0.02,"LateFail":0.02,"Waste":0.08}},"Discovery":"push","Family":"deliver",
 "FamilyInfo":{{"CallsOut":{slots},"Decay":"line","KindBatch":[1,1],"OwnLimits":[false,false],"RefusalCost":0.05}},
 "Lanes":[{lanes}],"Locality":0,"MachineTypes":["banks","employer-systems"],
 "Permissions":{{"Cancel":true,"ConnIdle":15000000000,"ConnectTimeout":1000000000,"MaxStreams":1,"MostHeld":519,
  "Peers":false,"Probes":false,"RetryAfter":false,"MaxRetryAfter":2000000000,"SecondCopies":false,"SendCap":8}},
 "Projects":[],"Rank":0,"Report":{{"Fields":["x0","x1"],"Source":"piggyback"}},
 "Rules":{{"AnswerSlack":20000000,"AskEvery":10000000000,"Cold":{cold_s}000000000,"ColdFrom":{cold_from},"Fall":{fall_s}000000000,
  "OrderSettle":100000000,"StopSendingWithin":{drain_grace_ms}000000,"TipMultiple":{tip_multiple}}},
 "Tier":0,"Tiers":["partner-network"],"WeightSource":"nominal","WorthBy":"request","Zones":["kingston-dc"]}}"#
        )
    }
}
