//! Generates the settings files of a test cluster's gateways as HCL text.

use super::spec::{gateway_name, ClassSpec, ClusterSpec, PartnerSpec};
use cloverstile_as2::NewKey;
use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::net::SocketAddr;

/// Input for the settings file of one gateway.
pub(crate) struct SettingsInput<'a> {
    pub spec: &'a ClusterSpec,
    /// Number of the gateway instance.
    pub gateway: usize,
    /// Address that the gateway listens on.
    pub listen: SocketAddr,
    /// AS2 names of the clients.
    pub clients: Vec<&'a str>,
    /// Addresses of the endpoints of each partner, in the order of the specification.
    pub partner_addresses: &'a [Vec<SocketAddr>],
    /// Draining endpoints, each given as the number of the partner and the number of the endpoint there.
    pub draining: &'a BTreeSet<(usize, usize)>,
}

impl SettingsInput<'_> {
    /// The complete text of the settings file.
    pub fn to_hcl(&self) -> String {
        let mut text = self.gateway_blocks();
        self.spec.classes.iter().for_each(|class| text.push_str(&class_block(class)));
        self.clients.iter().for_each(|client| text.push_str(&client_block(client)));
        for (number, partner) in self.spec.partners.iter().enumerate() {
            text.push_str(&self.partner_block(number, partner));
        }
        text
    }

    fn gateway_blocks(&self) -> String {
        let spec = self.spec;
        let name = gateway_name(self.gateway);
        let zones: Vec<String> = (0..spec.zones).map(|zone| format!("\"zone-{zone}\"")).collect();
        format!(
            "zones = [{}]\n\ncourier {{\n  name = \"{name}\"\n  key = \"{name}.key\"\n  certificate = \"{name}.crt\"\n  \
             couriers = {}\n  place = {}\n  zone = \"zone-{}\"\n{}\n}}\n\nfront {{\n  listen = \"{}\"\n  connections = 4000\n}}\n\n{}\n",
            zones.join(", "),
            spec.gateways,
            self.gateway,
            self.gateway % spec.zones.max(1),
            spec.gateway_settings,
            self.listen,
            spec.rule_and_kind_blocks,
        )
    }

    fn partner_block(&self, number: usize, partner: &PartnerSpec) -> String {
        let profile = &partner.profile;
        let rate = profile.rate_limit.unwrap_or_else(|| profile.capacity());
        let encrypt = if partner.key == NewKey::P256 { "none" } else { "aes128-cbc" };
        let receipt = if partner.async_receipts { "async" } else { "signed" };
        let mut text = format!(
            "\npartner \"{0}\" {{\n  certificate = \"{0}.crt\"\n  kind = \"{1}\"\n  rate = {rate}\n  \
             encrypt = \"{encrypt}\"\n  receipt = \"{receipt}\"\n",
            partner.name, partner.kind,
        );
        // Writing to a `String` cannot fail, so the results are ignored.
        if let Some(share) = partner.spill_share {
            let _ = writeln!(text, "  spill_share = {share}\n  lost_after = \"500ms\"\n  ramp = \"5s\"");
            for zone in partner.zones.iter().collect::<BTreeSet<_>>() {
                let _ = writeln!(text, "  tier \"zone-{zone}\" {{ rate = {rate} }}");
            }
        }
        for (endpoint, zone) in partner.zones.iter().enumerate() {
            let mode = if self.draining.contains(&(number, endpoint)) { "draining" } else { "ready" };
            let _ = writeln!(
                text,
                "  endpoint \"e{endpoint}\" {{\n    address = \"{}\"\n    zone = \"zone-{zone}\"\n    mode = \"{mode}\"\n  }}",
                self.partner_addresses[number][endpoint],
            );
        }
        text.push_str("}\n");
        text
    }
}

fn class_block(class: &ClassSpec) -> String {
    format!(
        "\nclass \"{}\" {{\n  aim = \"{}ms\"\n  deadline = \"{}ms\"\n  effect = \"{}\"\n  group = \"{}\"\n  \
         repeat_window = \"{}ms\"\n  in_order = {}\n  worth = {}\n  late_share = 0.4\n}}\n",
        class.name,
        class.latency_objective.as_millis(),
        class.deadline.as_millis(),
        class.effect,
        class.group,
        class.repeat_window.as_millis(),
        class.ordered,
        class.priority_weight,
    )
}

fn client_block(name: &str) -> String {
    format!(
        "\nclient \"{name}\" {{\n  certificate = \"{name}.crt\"\n  receipts = \"http://127.0.0.1:\"\n}}\n"
    )
}
